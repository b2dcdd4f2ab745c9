//! Accepts connections on a listener.

use std::time::Duration;

use monoio::net::{TcpListener, TcpStream};

/// Pause after a failed accept; without file descriptors left, an immediate retry would busy-loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
