//! Messages with which an instance sends a request to an endpoint through another instance.
//!
//! The bytes of the answer follow the reply in the same stream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootgate_core::answer::AnswerFraming;
use coltsfootgate_core::ids::{EndpointId, PoolId};
use serde::{Deserialize, Serialize};

use crate::error::WireError;
use crate::frame::{check_size, decode, decode_start, encode};
use crate::names::{check_name, from_micros, to_micros};

/// Maximum number of headers of a request or an answer.
const HEADERS_MAX: usize = 512;

/// Headers with their values, in order.
pub type HeaderRows = Vec<(Arc<str>, Vec<u8>)>;

/// One attempt of a request, for another instance to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardRequest {
    /// The pool of the endpoint.
    pub pool: PoolId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The id that the answer must echo.
    pub attempt: Arc<str>,
    /// The caller's method.
    pub method: Arc<str>,
    /// The caller's path and query.
    pub path: Arc<str>,
    /// The headers to send.
    pub headers: HeaderRows,
    /// The caller's body.
    pub body: Bytes,
    /// Maximum time to wait for the head of the answer.
    pub head_timeout: Duration,
    /// Maximum time without data from the endpoint after the head.
    pub silence: Duration,
}

/// What became of a [`ForwardRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardReply {
    /// The endpoint answers; the bytes of the answer follow.
    Answered {
        /// The status of the answer.
        status: u16,
        /// The headers of the answer.
        headers: HeaderRows,
        /// How the end of the answer is marked.
        framing: AnswerFraming,
    },
    /// Nothing was sent, for a reason of the forwarding instance; another one may be asked.
    Refused(ForwardRefusal),
    /// The endpoint could not be reached, so nothing was sent.
    NeverSent,
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// The endpoint sent nothing in time after the request was sent.
    Stalled,
}

/// Why an instance does not forward a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ForwardRefusal {
    /// It has no path to endpoints itself.
    PathLost,
    /// It does not know the endpoint, or knows that it is leaving.
    EndpointUnknown,
    /// The endpoint wants no requests from it now.
    EndpointResting,
    /// It is shutting down.
    Leaving,
}

/// An encoded request in three parts that are sent one after the other, so that the body is not copied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardMessage {
    /// What precedes the body.
    pub head: Bytes,
    /// The body.
    pub body: Bytes,
    /// What follows the body.
    pub tail: Bytes,
}

impl ForwardMessage {
    /// Size of the whole message, in bytes.
    pub fn size(&self) -> usize {
        self.head.len() + self.body.len() + self.tail.len()
    }
}

/// What precedes the body of a request; with the length of the body it is coded like the fields of one message.
#[derive(Deserialize, Serialize)]
struct WireForwardHead {
    pool: Arc<str>,
    endpoint: Arc<str>,
    attempt: Arc<str>,
    method: Arc<str>,
    path: Arc<str>,
    headers: HeaderRows,
    body_bytes: u64,
}

/// What follows the body of a request.
#[derive(Deserialize, Serialize)]
struct WireForwardTail {
    head_micros: u64,
    silence_micros: u64,
}

#[derive(Deserialize, Serialize)]
enum WireForwardReply {
    Answered { status: u16, headers: HeaderRows, framing: WireFraming },
    Refused(ForwardRefusal),
    NeverSent,
    ConnectionLost,
    Stalled,
}

#[derive(Deserialize, Serialize)]
enum WireFraming {
    Length,
    Chunks,
    ConnectionClose,
}

impl From<&ForwardRequest> for WireForwardHead {
    fn from(request: &ForwardRequest) -> Self {
        Self {
            pool: request.pool.clone(),
            endpoint: request.endpoint.clone(),
            attempt: request.attempt.clone(),
            method: request.method.clone(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            body_bytes: request.body.len() as u64,
        }
    }
}

impl From<&ForwardRequest> for WireForwardTail {
    fn from(request: &ForwardRequest) -> Self {
        Self {
            head_micros: to_micros(request.head_timeout),
            silence_micros: to_micros(request.silence),
        }
    }
}

impl TryFrom<(WireForwardHead, Bytes, WireForwardTail)> for ForwardRequest {
    type Error = WireError;

    fn try_from(
        (head, body, tail): (WireForwardHead, Bytes, WireForwardTail),
    ) -> Result<Self, WireError> {
        Ok(Self {
            pool: check_name(head.pool, "pool")?,
            endpoint: check_name(head.endpoint, "endpoint")?,
            attempt: check_name(head.attempt, "attempt")?,
            method: check_name(head.method, "method")?,
            path: head.path,
            headers: check_headers(head.headers)?,
            body,
            head_timeout: from_micros(tail.head_micros)?,
            silence: from_micros(tail.silence_micros)?,
        })
    }
}

impl From<ForwardReply> for WireForwardReply {
    fn from(reply: ForwardReply) -> Self {
        match reply {
            ForwardReply::Answered { status, headers, framing } => {
                Self::Answered { status, headers, framing: framing.into() }
            }
            ForwardReply::Refused(refusal) => Self::Refused(refusal),
            ForwardReply::NeverSent => Self::NeverSent,
            ForwardReply::ConnectionLost => Self::ConnectionLost,
            ForwardReply::Stalled => Self::Stalled,
        }
    }
}

impl TryFrom<WireForwardReply> for ForwardReply {
    type Error = WireError;

    fn try_from(reply: WireForwardReply) -> Result<Self, WireError> {
        Ok(match reply {
            WireForwardReply::Answered { status, headers, framing } => {
                let headers = check_headers(headers)?;
                Self::Answered { status, headers, framing: framing.into() }
            }
            WireForwardReply::Refused(refusal) => Self::Refused(refusal),
            WireForwardReply::NeverSent => Self::NeverSent,
            WireForwardReply::ConnectionLost => Self::ConnectionLost,
            WireForwardReply::Stalled => Self::Stalled,
        })
    }
}

impl From<AnswerFraming> for WireFraming {
    fn from(framing: AnswerFraming) -> Self {
        match framing {
            AnswerFraming::Length => Self::Length,
            AnswerFraming::Chunks => Self::Chunks,
            AnswerFraming::ConnectionClose => Self::ConnectionClose,
        }
    }
}

impl From<WireFraming> for AnswerFraming {
    fn from(framing: WireFraming) -> Self {
        match framing {
            WireFraming::Length => Self::Length,
            WireFraming::Chunks => Self::Chunks,
            WireFraming::ConnectionClose => Self::ConnectionClose,
        }
    }
}

impl ForwardRefusal {
    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::PathLost => "path-lost",
            Self::EndpointUnknown => "endpoint-unknown",
            Self::EndpointResting => "endpoint-resting",
            Self::Leaving => "leaving",
        }
    }
}

fn check_headers(headers: HeaderRows) -> Result<HeaderRows, WireError> {
    if headers.len() > HEADERS_MAX {
        return Err(WireError::WrongValue("headers"));
    }
    Ok(headers)
}

/// Encodes a request.
///
/// # Errors
///
/// Fails if it is too large, which a caller's body may be.
pub fn encode_forward_request(request: ForwardRequest) -> Result<ForwardMessage, WireError> {
    let head = encode(&WireForwardHead::from(&request))?.into();
    let tail = encode(&WireForwardTail::from(&request))?.into();
    let message = ForwardMessage { head, body: request.body, tail };
    check_size(message.size())?;
    Ok(message)
}

/// Decodes a request; its body is a slice of the message.
///
/// # Errors
///
/// Fails unless the bytes are exactly one valid request.
pub fn decode_forward_request(message: &Bytes) -> Result<ForwardRequest, WireError> {
    let (head, read) = decode_start::<WireForwardHead>(message)?;
    let body_bytes = usize::try_from(head.body_bytes).unwrap_or(usize::MAX);
    let end = read.saturating_add(body_bytes);
    if end > message.len() {
        return Err(WireError::Malformed("the body is not complete".to_owned()));
    }
    let tail = decode::<WireForwardTail>(&message[end..])?;
    (head, message.slice(read..end), tail).try_into()
}

/// Encodes a reply.
///
/// # Errors
///
/// Fails if it is too large.
pub fn encode_forward_reply(reply: ForwardReply) -> Result<Vec<u8>, WireError> {
    encode(&WireForwardReply::from(reply))
}

/// Decodes a reply.
///
/// # Errors
///
/// Fails unless the bytes are exactly one valid reply.
pub fn decode_forward_reply(bytes: &[u8]) -> Result<ForwardReply, WireError> {
    decode::<WireForwardReply>(bytes)?.try_into()
}
