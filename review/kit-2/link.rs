//! A proxy on the way to a replica, which can be cut: its connections are reset and new ones refused.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::free_address;

/// How often the proxy looks for a new connection.
const ACCEPT_PERIOD: Duration = Duration::from_millis(1);

/// A link that is whole until it is cut; clones share the same state.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    /// The open connections; `None` once the link is cut.
    open: Arc<Mutex<Option<Vec<TcpStream>>>>,
}

impl Link {
    /// Opens a link to an address.
    pub fn open(target: SocketAddr) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).unwrap();
        listener.set_nonblocking(true).unwrap();
        let link = Self { address, open: Arc::new(Mutex::new(Some(Vec::new()))) };
        let shared = link.clone();
        thread::spawn(move || {
            while !shared.is_cut() {
                match listener.accept() {
                    Ok((stream, _)) => drop(shared.join(stream, target)),
                    Err(_) => thread::sleep(ACCEPT_PERIOD),
                }
            }
        });
        link
    }

    /// Ends all connections and refuses new ones.
    pub fn cut(&self) {
        let open = self.open.lock().unwrap().take();
        for stream in open.into_iter().flatten() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn is_cut(&self) -> bool {
        self.open.lock().unwrap().is_none()
    }

    fn join(&self, near: TcpStream, target: SocketAddr) -> io::Result<()> {
        near.set_nonblocking(false)?;
        near.set_nodelay(true)?;
        let far = TcpStream::connect(target)?;
        far.set_nodelay(true)?;
        let mut open = self.open.lock().unwrap();
        let Some(open) = open.as_mut() else { return Ok(()) };
        open.extend([near.try_clone()?, far.try_clone()?]);
        let (near_read, far_write) = (near.try_clone()?, far.try_clone()?);
        thread::spawn(move || copy(near_read, far_write));
        thread::spawn(move || copy(far, near));
        Ok(())
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut piece = vec![0; 65_536];
    while let Ok(read @ 1..) = from.read(&mut piece) {
        if to.write_all(&piece[..read]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
