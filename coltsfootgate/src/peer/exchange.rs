//! Exchange of one request and one reply over an h2 stream.

use bytes::{Bytes, BytesMut};
use h2::client::SendRequest;
use h2::{RecvStream, SendStream};
use http::{Request, StatusCode};

use coltsfootgate_wire::{MESSAGE_BYTES_MAX, PeerReply, WireError, decode_reply};

use super::PeerError;

/// URI of all requests; their content is in the message.
const PEER_URI: &str = "http://peer/";

/// Sends an encoded request and waits for the reply.
///
/// Dropping the future resets the stream, which cancels the call at the peer.
pub(super) async fn call(
    sender: SendRequest<Bytes>,
    message: Bytes,
) -> Result<PeerReply, PeerError> {
    let mut sender = sender.ready().await?;
    let request =
        Request::post(PEER_URI).body(()).map_err(|error| PeerError::Broken(error.to_string()))?;
    let (response, stream) = sender.send_request(request, false)?;
    // Released before the reply arrives, so that other calls do not wait for this one.
    drop(sender);
    let sending = send_message(stream, message);
    let receiving = async {
        let response = response.await?;
        if response.status() != StatusCode::OK {
            return Err(PeerError::Unhandled);
        }
        Ok(decode_reply(&read_message(response.into_body()).await?)?)
    };
    let (_, reply) = futures_util::try_join!(sending, receiving)?;
    Ok(reply)
}

/// Sends a message within the flow-control window of the other side, and ends the stream.
pub(super) async fn send_message(
    mut stream: SendStream<Bytes>,
    mut message: Bytes,
) -> Result<(), PeerError> {
    loop {
        stream.reserve_capacity(message.len());
        while stream.capacity() == 0 && !message.is_empty() {
            let capacity = std::future::poll_fn(|context| stream.poll_capacity(context)).await;
            capacity.ok_or_else(|| PeerError::Broken("stream closed".to_owned()))??;
        }
        let part = message.split_to(stream.capacity().min(message.len()));
        let is_last = message.is_empty();
        stream.send_data(part, is_last)?;
        if is_last {
            return Ok(());
        }
    }
}

/// Reads a message of at most [`MESSAGE_BYTES_MAX`] bytes.
pub(super) async fn read_message(mut body: RecvStream) -> Result<Bytes, PeerError> {
    let mut message = BytesMut::new();
    while let Some(part) = body.data().await {
        let part = part?;
        let size = message.len() + part.len();
        if size > MESSAGE_BYTES_MAX {
            return Err(WireError::TooLarge(size).into());
        }
        message.extend_from_slice(&part);
        body.flow_control().release_capacity(part.len())?;
    }
    Ok(message.freeze())
}
