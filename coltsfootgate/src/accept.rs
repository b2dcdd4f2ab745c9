//! Accepts connections on a listener, one after the other.

use std::time::Duration;

use monoio::net::{TcpListener, TcpStream};

/// Pause after a connection could not be accepted; out of descriptors, trying at once would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Hands each connection over until the future is dropped; `side` names the listener in the log.
pub async fn accept_connections(
    listener: &TcpListener,
    side: &str,
    mut start: impl FnMut(TcpStream),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => start(stream),
            Err(error) => {
                log::warn!("could not accept a connection of {side}: {error}");
                monoio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
