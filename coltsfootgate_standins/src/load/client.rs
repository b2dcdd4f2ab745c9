//! Connections to the instances, chosen the way a balancer would.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;

type EntryConnection = SendRequest<Full<Bytes>>;

/// Keeps idle connections for each instance.
#[derive(Debug)]
pub(super) struct EntryClient {
    entries: Vec<SocketAddr>,
    idle: RefCell<Vec<Vec<EntryConnection>>>,
    turn: Cell<usize>,
}

/// A connection on loan.
pub(super) struct LentConnection {
    entry: usize,
    connection: EntryConnection,
}

impl EntryClient {
    pub(super) fn new(entries: Vec<SocketAddr>, seed: u64) -> Self {
        let idle = RefCell::new(entries.iter().map(|_| Vec::new()).collect());
        Self { entries, idle, turn: Cell::new(seed as usize) }
    }

    /// Takes a connection to the next instance that accepts one.
    pub(super) async fn connect(&self) -> Option<LentConnection> {
        for _ in 0..self.entries.len() {
            let entry = self.turn.get() % self.entries.len();
            self.turn.set(self.turn.get().wrapping_add(1));
            if let Some(connection) = self.idle_connection(entry) {
                return Some(LentConnection { entry, connection });
            }
            if let Some(connection) = open(self.entries[entry]).await {
                return Some(LentConnection { entry, connection });
            }
        }
        None
    }

    fn idle_connection(&self, entry: usize) -> Option<EntryConnection> {
        let mut idle = self.idle.borrow_mut();
        let idle = &mut idle[entry];
        idle.retain(|connection| !connection.is_closed());
        let ready = idle.iter().rposition(EntryConnection::is_ready)?;
        Some(idle.swap_remove(ready))
    }

    /// Takes back a connection after its answer was read whole.
    pub(super) fn give_back(&self, lent: LentConnection) {
        self.idle.borrow_mut()[lent.entry].push(lent.connection);
    }
}

impl LentConnection {
    /// Sends a request.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        self.connection.send_request(request).await
    }
}

async fn open(address: SocketAddr) -> Option<EntryConnection> {
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let stream = stream.into_poll_io().ok()?;
    let (connection, task) = http1::handshake(MonoioIo::new(stream)).await.ok()?;
    monoio::spawn(async move { drop(task.await) });
    Some(connection)
}
