//! Accepts connections on a listener.

use std::time::Duration;

use monoio::net::{TcpListener, TcpStream};
use monoio::time::timeout;

/// Pause after a failed accept; without file descriptors left, an immediate retry would busy-loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time for accepting the connections that wait when a listener is about to close.
const BACKLOG_TIME: Duration = Duration::from_millis(20);

/// Calls `start` with each accepted connection until the future is dropped.
///
/// `side` names the listener in the log.
pub async fn accept_connections(
    listener: &TcpListener,
    side: &str,
    mut start: impl FnMut(TcpStream),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => start(stream),
            Err(error) => {
                log::warn!("failed to accept a connection from {side}: {error}");
                monoio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Calls `start` with each connection that waits to be accepted.
///
/// Closing the listener would reset these connections, on which callers may already have sent a request.
pub async fn accept_backlog(listener: &TcpListener, side: &str, start: impl FnMut(TcpStream)) {
    let accepting = accept_connections(listener, side, start);
    // Ends only by the timeout.
    let _ = timeout(BACKLOG_TIME, accepting).await;
}
