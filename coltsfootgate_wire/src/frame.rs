//! Encoding of messages with bincode, within a size limit.

use std::time::Instant;

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bincode::error::{DecodeError, EncodeError};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::WireError;
use crate::message::{PeerReply, PeerRequest};
use crate::names::TimedMessage;
use crate::wire::{WireReply, WireRequest};

/// Largest encoded message in bytes: 1 MiB for a value of the platform's store and 1 KiB around it.
pub const MESSAGE_BYTES_MAX: usize = (1 << 20) + 1024;

type WireConfiguration = Configuration<LittleEndian, Varint, Limit<MESSAGE_BYTES_MAX>>;

const CONFIGURATION: WireConfiguration = bincode::config::standard().with_limit();

/// Encodes a request; points in time are sent as durations relative to `now`.
///
/// # Errors
///
/// Fails if the message is too large.
pub fn encode_request(request: PeerRequest, now: Instant) -> Result<Vec<u8>, WireError> {
    encode(&WireRequest::from(TimedMessage { message: request, now }))
}

/// Decodes a request that was received at `now`.
///
/// # Errors
///
/// Fails unless the bytes are exactly one valid request.
pub fn decode_request(bytes: &[u8], now: Instant) -> Result<PeerRequest, WireError> {
    let message = decode::<WireRequest>(bytes)?;
    PeerRequest::try_from(TimedMessage { message, now })
}

/// Encodes a reply.
///
/// # Errors
///
/// Fails if the message is too large.
pub fn encode_reply(reply: PeerReply) -> Result<Vec<u8>, WireError> {
    encode(&WireReply::from(reply))
}

/// Decodes a reply.
///
/// # Errors
///
/// Fails unless the bytes are exactly one valid reply.
pub fn decode_reply(bytes: &[u8]) -> Result<PeerReply, WireError> {
    decode::<WireReply>(bytes)?.try_into()
}

pub(crate) fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, WireError> {
    let bytes = bincode::serde::encode_to_vec(message, CONFIGURATION)
        .map_err(|error: EncodeError| WireError::Malformed(error.to_string()))?;
    check_size(bytes.len())?;
    Ok(bytes)
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    let (message, read) = decode_start(bytes)?;
    if read < bytes.len() {
        return Err(WireError::Malformed("trailing bytes after the message".to_owned()));
    }
    Ok(message)
}

/// Decodes a value at the start of a message, and returns it with the number of bytes that encode it.
pub(crate) fn decode_start<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, usize), WireError> {
    check_size(bytes.len())?;
    bincode::serde::decode_from_slice(bytes, CONFIGURATION)
        .map_err(|error: DecodeError| WireError::Malformed(error.to_string()))
}

pub(crate) fn check_size(bytes: usize) -> Result<(), WireError> {
    if bytes > MESSAGE_BYTES_MAX {
        return Err(WireError::TooLarge(bytes));
    }
    Ok(())
}
