//! Exchange of one request and one reply over an h2 stream, which the bytes of an answer may follow.

use std::pin::pin;

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use futures_util::future::{Either, select};
use h2::client::SendRequest;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::header::CONTENT_LENGTH;
use http::{HeaderValue, Request, Response, StatusCode};

use coltsfootgate_wire::{
    ForwardMessage, ForwardRefusal, ForwardReply, MESSAGE_BYTES_MAX, PeerReply, WireError,
    decode_forward_reply, decode_reply, encode_forward_reply,
};

use super::PeerError;
use crate::transfer::{HeldBuffer, MemoryFull};

/// URI of all requests but those to forward; their content is in the message.
const PEER_URI: &str = "http://peer/";
/// URI of requests that the peer is asked to forward to an endpoint.
const FORWARD_URI: &str = "http://peer/forward";
/// Path of [`FORWARD_URI`].
pub(super) const FORWARD_PATH: &str = "/forward";
/// Header of a reply that refuses a request for want of memory. Builds that do not know it read the reason in the
/// reply, which says that there is no way through the instance.
const MEMORY_FULL_HEADER: &str = "x-memory-full";
/// Size of the length before the reply to such a request, in bytes.
const LENGTH_BYTES: usize = size_of::<u32>();

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
        Ok(decode_reply(&read_reply(response.into_body()).await?)?)
    };
    let (_, reply) = futures_util::try_join!(sending, receiving)?;
    Ok(reply)
}

/// The reply to a request that the peer was asked to forward, and the bytes that follow it.
pub(super) struct ForwardedHead {
    pub(super) reply: ForwardReply,
    /// Bytes of the answer that arrived with the reply.
    pub(super) first: Bytes,
    pub(super) body: RecvStream,
}

/// Sends an encoded request that the peer is asked to forward, and waits for the reply. The peer may refuse it by its
/// size before it has read all of it.
///
/// Dropping the future or the body resets the stream, which cancels the request at the endpoint.
///
/// # Errors
///
/// After [`PeerError::Unreachable`] nothing was sent to the peer, and after [`PeerError::MemoryFull`] the peer forwards
/// nothing.
pub(super) async fn forward(
    sender: SendRequest<Bytes>,
    message: ForwardMessage,
) -> Result<ForwardedHead, PeerError> {
    let unsent = |error: h2::Error| PeerError::Unreachable(error.to_string());
    let mut sender = sender.ready().await.map_err(unsent)?;
    let request = Request::post(FORWARD_URI).header(CONTENT_LENGTH, message.size()).body(());
    let request = request.map_err(|error| PeerError::Broken(error.to_string()))?;
    let (response, stream) = sender.send_request(request, false).map_err(unsent)?;
    drop(sender);
    let receiving = async {
        let response = response.await?;
        if response.headers().contains_key(MEMORY_FULL_HEADER) {
            return Err(PeerError::MemoryFull);
        }
        if response.status() != StatusCode::OK {
            return Err(PeerError::Unhandled);
        }
        read_forward_reply(response.into_body()).await
    };
    let (sending, mut receiving) = (pin!(send_forward(stream, message)), pin!(receiving));
    match select(sending, receiving.as_mut()).await {
        Either::Right((head, _)) => head,
        Either::Left((Ok(()), _)) => receiving.await,
        // A peer that refused stops reading, and its reply may have arrived with that.
        Either::Left((Err(error), _)) => receiving.now_or_never().unwrap_or(Err(error)),
    }
}

async fn send_forward(
    mut stream: SendStream<Bytes>,
    message: ForwardMessage,
) -> Result<(), PeerError> {
    send_part(&mut stream, message.head).await?;
    send_part(&mut stream, message.body).await?;
    send_message(stream, message.tail).await
}

async fn read_forward_reply(mut body: RecvStream) -> Result<ForwardedHead, PeerError> {
    let mut received = BytesMut::new();
    loop {
        if let Some((length, rest)) = received.split_first_chunk::<LENGTH_BYTES>() {
            let length = u32::from_be_bytes(*length) as usize;
            if length > MESSAGE_BYTES_MAX {
                return Err(WireError::TooLarge(length).into());
            }
            if rest.len() >= length {
                let reply = decode_forward_reply(&rest[..length])?;
                let first = received.split_off(LENGTH_BYTES + length).freeze();
                return Ok(ForwardedHead { reply, first, body });
            }
        }
        let Some(part) = body.data().await else {
            return Err(PeerError::Broken("the reply ended early".to_owned()));
        };
        let part = part?;
        received.extend_from_slice(&part);
        body.flow_control().release_capacity(part.len())?;
    }
}

/// Sends the reply to a request that was to be forwarded; the bytes of the answer may follow.
pub(super) async fn send_forward_reply(
    stream: &mut SendStream<Bytes>,
    reply: ForwardReply,
) -> Result<(), PeerError> {
    let encoded = encode_forward_reply(reply)?;
    let mut message = BytesMut::with_capacity(LENGTH_BYTES + encoded.len());
    message.extend_from_slice(&(encoded.len() as u32).to_be_bytes());
    message.extend_from_slice(&encoded);
    send_part(stream, message.freeze()).await
}

/// Tells a peer that its request is not forwarded, for want of memory.
pub(super) async fn refuse_forward(respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
    let mut response = Response::new(());
    response.headers_mut().insert(MEMORY_FULL_HEADER, HeaderValue::from_static("1"));
    let mut stream = respond.send_response(response, false)?;
    let reply = ForwardReply::Refused(ForwardRefusal::PathLost);
    send_forward_reply(&mut stream, reply).await?;
    Ok(stream.send_data(Bytes::new(), true)?)
}

/// Sends bytes within the flow-control window of the other side, without ending the stream.
pub(super) async fn send_part(
    stream: &mut SendStream<Bytes>,
    mut part: Bytes,
) -> Result<(), PeerError> {
    while !part.is_empty() {
        stream.reserve_capacity(part.len());
        while stream.capacity() == 0 {
            let capacity = std::future::poll_fn(|context| stream.poll_capacity(context)).await;
            capacity.ok_or_else(|| PeerError::Broken("stream closed".to_owned()))??;
        }
        let sent = part.split_to(stream.capacity().min(part.len()));
        stream.send_data(sent, false)?;
    }
    Ok(())
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

/// Reads a reply of at most [`MESSAGE_BYTES_MAX`] bytes.
async fn read_reply(mut body: RecvStream) -> Result<Bytes, PeerError> {
    let mut message = BytesMut::new();
    while let Some(part) = next_part(&mut body, message.len()).await? {
        message.extend_from_slice(&part);
    }
    Ok(message.freeze())
}

/// Reads a message of at most [`MESSAGE_BYTES_MAX`] bytes into a buffer.
///
/// # Errors
///
/// Fails with [`PeerError::MemoryFull`] if the memory does not cover the message.
pub(super) async fn read_message(
    body: &mut RecvStream,
    mut buffer: HeldBuffer,
) -> Result<Bytes, PeerError> {
    while let Some(part) = next_part(body, buffer.len()).await? {
        buffer.extend(&part).map_err(|MemoryFull| PeerError::MemoryFull)?;
    }
    Ok(buffer.freeze())
}

/// Reads the rest of a message and keeps nothing of it.
pub(super) async fn discard_message(body: &mut RecvStream) -> Result<(), PeerError> {
    while next_part(body, 0).await?.is_some() {}
    Ok(())
}

/// The next part of a message of which so many bytes were read before; `None` at its end.
async fn next_part(body: &mut RecvStream, read: usize) -> Result<Option<Bytes>, PeerError> {
    let Some(part) = body.data().await else { return Ok(None) };
    let part = part?;
    let size = read + part.len();
    if size > MESSAGE_BYTES_MAX {
        return Err(WireError::TooLarge(size).into());
    }
    body.flow_control().release_capacity(part.len())?;
    Ok(Some(part))
}
