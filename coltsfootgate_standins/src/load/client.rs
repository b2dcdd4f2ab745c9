//! Connection pool that distributes calls over the instances by round-robin, like a load balancer.

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

/// Pool of idle connections for each instance.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    entries: Vec<SocketAddr>,
    idle: RefCell<Vec<Vec<EntryConnection>>>,
    /// Counter that, modulo the number of entries, gives the next entry.
    next: Cell<usize>,
}

/// A connection that is in use by a call.
pub(super) struct PooledConnection {
    entry: usize,
    connection: EntryConnection,
}

impl ConnectionPool {
    pub(super) fn new(entries: Vec<SocketAddr>, seed: u64) -> Self {
        let idle = RefCell::new(entries.iter().map(|_| Vec::new()).collect());
        Self { entries, idle, next: Cell::new(seed as usize) }
    }

    /// Returns an idle or new connection to the next instance that is reachable.
    pub(super) async fn acquire(&self) -> Option<PooledConnection> {
        for _ in 0..self.entries.len() {
            let entry = self.next.get() % self.entries.len();
            self.next.set(self.next.get().wrapping_add(1));
            if let Some(connection) = self.take_idle(entry) {
                return Some(PooledConnection { entry, connection });
            }
            if let Some(connection) = open(self.entries[entry]).await {
                return Some(PooledConnection { entry, connection });
            }
        }
        None
    }

    fn take_idle(&self, entry: usize) -> Option<EntryConnection> {
        let mut idle = self.idle.borrow_mut();
        let idle = &mut idle[entry];
        idle.retain(|connection| !connection.is_closed());
        let ready = idle.iter().rposition(EntryConnection::is_ready)?;
        Some(idle.swap_remove(ready))
    }

    /// Returns a connection to the pool; its last answer must have been read to the end.
    pub(super) fn release(&self, pooled: PooledConnection) {
        self.idle.borrow_mut()[pooled.entry].push(pooled.connection);
    }
}

impl PooledConnection {
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
