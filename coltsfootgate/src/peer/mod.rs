//! Connections between instances.

mod client;
mod counted;
mod dispatch;
mod exchange;
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
pub use self::server::{PeerCall, PeerListener};

/// Who this instance is to its peers.
#[derive(Clone, Debug)]
pub struct PeerIdentity {
    /// The name of this instance, which is the address that peers connect to.
    pub instance: InstanceId,
    /// The same as an address.
    pub address: SocketAddr,
    /// The secret that all instances share.
    pub secret: PeerSecret,
}

impl PeerIdentity {
    /// Makes the identity of an instance; `None` if its name is not an address.
    pub fn new(instance: InstanceId, secret: PeerSecret) -> Option<Self> {
        let address = instance.parse().ok()?;
        Some(Self { instance, address, secret })
    }
}

/// Why a peer gave no usable answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerError {
    /// No connection could be made, so the peer never saw the request.
    Unreachable(String),
    /// The other side is not an instance of this deployment.
    Unproven(ProofError),
    /// The connection broke, or went silent and was dropped.
    Broken(String),
    /// No answer came in time.
    TimedOut,
    /// A message is not valid or too large.
    Invalid(WireError),
    /// The peer did not handle the request.
    Unhandled,
}

impl PeerError {
    /// The name used in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::Unproven(error) => error.name(),
            Self::Broken(_) => "broken",
            Self::TimedOut => "timed-out",
            Self::Invalid(_) => "invalid-message",
            Self::Unhandled => "unhandled",
        }
    }
}

impl Display for PeerError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(cause) => write!(formatter, "unreachable: {cause}"),
            Self::Unproven(error) => write!(formatter, "not a peer: {error}"),
            Self::Broken(cause) => write!(formatter, "connection broke: {cause}"),
            Self::TimedOut => formatter.write_str("timed out"),
            Self::Invalid(error) => write!(formatter, "{error}"),
            Self::Unhandled => formatter.write_str("request not handled"),
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
        Self::Unproven(error)
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
