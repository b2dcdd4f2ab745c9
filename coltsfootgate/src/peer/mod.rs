//! Connections between instances.

mod client;
mod counted;
mod dispatch;
mod exchange;
mod forwarded;
mod forwarder;
mod handshake;
mod link;
mod server;

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

use coltsfootgate_core::ids::InstanceId;
use coltsfootgate_wire::{ProofError, WireError};

use crate::options::PeerSecret;

pub use self::client::PeerHandle;
pub use self::dispatch::PeerDispatch;
pub use self::forwarded::{ANSWER_WINDOW_BYTES, ForwardedAnswer, ForwardedBody};
pub use self::forwarder::{EndpointRules, ForwardLoad, RequestForwarder};
pub use self::server::{PeerCall, PeerListener};

/// The identity with which this instance authenticates to its peers.
#[derive(Clone, Debug)]
pub struct PeerIdentity {
    /// The id of this instance, which is the address that peers connect to.
    pub instance: InstanceId,
    /// The id, parsed as an address.
    pub address: SocketAddr,
    /// The secret that all instances share.
    pub secret: PeerSecret,
}

impl PeerIdentity {
    /// Creates the identity of an instance; returns `None` if its id is not an address.
    pub fn new(instance: InstanceId, secret: PeerSecret) -> Option<Self> {
        let address = instance.parse().ok()?;
        Some(Self { instance, address, secret })
    }
}

/// Why a call to a peer, or a connection of one, failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerError {
    /// No connection could be made, so the peer never received the request.
    Unreachable(String),
    /// The other side did not authenticate as an instance of this deployment.
    Unauthenticated(ProofError),
    /// The connection broke, or was dropped because a ping was not answered.
    Broken(String),
    /// A message or reply did not arrive in time.
    TimedOut,
    /// A message is invalid or too large.
    Invalid(WireError),
    /// The peer did not handle the request.
    Unhandled,
    /// No memory is left for a message.
    MemoryFull,
}

impl PeerError {
    /// Returns the name used in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::Unauthenticated(error) => error.name(),
            Self::Broken(_) => "broken",
            Self::TimedOut => "timed-out",
            Self::Invalid(_) => "invalid-message",
            Self::Unhandled => "unhandled",
            Self::MemoryFull => "memory-full",
        }
    }
}

impl Display for PeerError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(cause) => write!(formatter, "unreachable: {cause}"),
            Self::Unauthenticated(error) => write!(formatter, "authentication failed: {error}"),
            Self::Broken(cause) => write!(formatter, "connection broke: {cause}"),
            Self::TimedOut => formatter.write_str("timed out"),
            Self::Invalid(error) => write!(formatter, "{error}"),
            Self::Unhandled => formatter.write_str("the peer did not handle the request"),
            Self::MemoryFull => formatter.write_str("no memory is left for the message"),
        }
    }
}

impl std::error::Error for PeerError {}

impl From<WireError> for PeerError {
    fn from(error: WireError) -> Self {
        Self::Invalid(error)
    }
}

impl From<ProofError> for PeerError {
    fn from(error: ProofError) -> Self {
        Self::Unauthenticated(error)
    }
}

impl From<h2::Error> for PeerError {
    fn from(error: h2::Error) -> Self {
        Self::Broken(error.to_string())
    }
}

impl From<std::io::Error> for PeerError {
    fn from(error: std::io::Error) -> Self {
        Self::Broken(error.to_string())
    }
}
