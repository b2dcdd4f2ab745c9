//! Runs a stand-in on its own thread.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};

use futures_channel::oneshot;
use monoio::{LegacyDriver, RuntimeBuilder};

use crate::control::ControlClient;
use crate::http_server::{self, StandinService};

/// The loopback address with port 0, for which the system chooses a free port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A running stand-in, which is stopped when the handle is dropped.
#[derive(Debug)]
pub struct StandinHandle {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Client of its control port, which stays reachable during every injected fault.
    pub control: ControlClient,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl StandinHandle {
    /// Prints the lines `listening ADDRESS` and `control ADDRESS`, then blocks until the process is
    /// killed.
    pub fn run_as_process(mut self) {
        use io::Write;

        println!("listening {}", self.address);
        println!("control {}", self.control.address());
        let _ = io::stdout().flush();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for StandinHandle {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts a stand-in for an HTTP service, which is built on the new thread.
pub fn start_service<S: StandinService>(
    listen: SocketAddr,
    build_service: impl FnOnce() -> S + Send + 'static,
) -> io::Result<StandinHandle> {
    start(listen, move |listener, control_listener| {
        let service = Rc::new(build_service());
        service.start();
        monoio::spawn(http_server::serve(service.clone(), listener));
        monoio::spawn(http_server::serve_control(service, control_listener));
    })
}

/// Binds the service's and the control listener on a new thread with its own runtime, and passes
/// them to `spawn_tasks`.
pub(crate) fn start(
    listen: SocketAddr,
    spawn_tasks: impl FnOnce(monoio::net::TcpListener, monoio::net::TcpListener) + Send + 'static,
) -> io::Result<StandinHandle> {
    let (stop, stopped) = oneshot::channel::<()>();
    let (bound_sender, bound) = mpsc::channel();
    let thread = thread::spawn(move || {
        let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
        let mut runtime = runtime.expect("the runtime can be built");
        runtime.block_on(async move {
            match bind_both(listen) {
                Ok((listener, control_listener, addresses)) => {
                    spawn_tasks(listener, control_listener);
                    let _ = bound_sender.send(Ok(addresses));
                    let _ = stopped.await;
                }
                Err(error) => drop(bound_sender.send(Err(error))),
            }
        });
    });
    let (address, control_address) = bound.recv().map_err(io::Error::other)??;
    let control = ControlClient::new(control_address);
    Ok(StandinHandle { address, control, stop: Some(stop), thread: Some(thread) })
}

type BoundListeners =
    (monoio::net::TcpListener, monoio::net::TcpListener, (SocketAddr, SocketAddr));

fn bind_both(listen: SocketAddr) -> io::Result<BoundListeners> {
    let listener = http_server::bind(listen)?;
    let control_listener = http_server::bind(SocketAddr::new(listen.ip(), 0))?;
    let addresses = (listener.local_addr()?, control_listener.local_addr()?);
    Ok((listener, control_listener, addresses))
}
