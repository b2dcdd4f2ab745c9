//! Mutual proof of the shared secret, in frames of fixed size, before any message is read.
//!
//! The connecting side sends a hello, the accepting side a challenge, the connecting side its proof
//! and, once that holds, the accepting side its own. A stranger thus never receives anything that
//! was computed from the secret. The proofs cover both nonces, the version, both addresses and the
//! side that gives them, so that none can be replayed, reflected or used at another instance.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::net::{IpAddr, Ipv6Addr, SocketAddr};

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Version of the protocol between instances.
pub const PROTOCOL_VERSION: u16 = 3;
/// Bytes of a nonce.
pub const NONCE_BYTES: usize = 32;
/// Bytes of a proof.
pub const PROOF_BYTES: usize = 32;
/// Bytes of a hello.
pub const HELLO_BYTES: usize = MAGIC.len() + 2 + NONCE_BYTES + 2 * ADDRESS_BYTES;
/// Bytes of a challenge.
pub const CHALLENGE_BYTES: usize = MAGIC.len() + 2 + NONCE_BYTES;

/// First bytes of both sides' first frames.
const MAGIC: &[u8; 8] = b"cfgpeer\n";
/// Bytes of an address: 16 of IPv6, with IPv4 mapped into it, and 2 of the port.
const ADDRESS_BYTES: usize = 18;
const CLIENT_LABEL: &[u8] = b"coltsfootgate connecting side";
const SERVER_LABEL: &[u8] = b"coltsfootgate accepting side";

/// Why the other side is not taken for an instance of the same deployment.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ProofError {
    /// The first bytes are not those of this protocol.
    WrongMagic,
    /// The other side speaks another version.
    UnknownVersion(u16),
    /// The hello is meant for another instance.
    WrongAddress,
    /// The proof does not hold, so the other side has another secret.
    WrongProof,
}

impl ProofError {
    /// The name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::WrongMagic => "wrong-magic",
            Self::UnknownVersion(_) => "unknown-version",
            Self::WrongAddress => "wrong-address",
            Self::WrongProof => "wrong-proof",
        }
    }
}

impl Display for ProofError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::WrongMagic => formatter.write_str("not the protocol between instances"),
            Self::UnknownVersion(version) => write!(formatter, "unknown version {version}"),
            Self::WrongAddress => formatter.write_str("meant for another instance"),
            Self::WrongProof => formatter.write_str("another secret"),
        }
    }
}

impl Error for ProofError {}

/// What the connecting side sends first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HelloFrame {
    /// Random bytes of the connecting side.
    pub nonce: [u8; NONCE_BYTES],
    /// The instance that connects.
    pub from: SocketAddr,
    /// The instance that it means to reach.
    pub to: SocketAddr,
}

impl HelloFrame {
    /// The bytes to send.
    pub fn encode(&self) -> [u8; HELLO_BYTES] {
        let mut writer = FrameWriter::new([0; HELLO_BYTES]);
        writer.preamble(&self.nonce);
        writer.address(self.from);
        writer.address(self.to);
        writer.bytes
    }

    /// Reads the bytes that the other side sent.
    ///
    /// # Errors
    ///
    /// Fails for another protocol or version.
    pub fn decode(bytes: &[u8; HELLO_BYTES]) -> Result<Self, ProofError> {
        let mut reader = FrameReader { bytes };
        let nonce = reader.preamble()?;
        Ok(Self { nonce, from: reader.address(), to: reader.address() })
    }
}

/// What the accepting side answers to a hello.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChallengeFrame {
    /// Random bytes of the accepting side.
    pub nonce: [u8; NONCE_BYTES],
}

impl ChallengeFrame {
    /// The bytes to send.
    pub fn encode(&self) -> [u8; CHALLENGE_BYTES] {
        let mut writer = FrameWriter::new([0; CHALLENGE_BYTES]);
        writer.preamble(&self.nonce);
        writer.bytes
    }

    /// Reads the bytes that the other side sent.
    ///
    /// # Errors
    ///
    /// Fails for another protocol or version.
    pub fn decode(bytes: &[u8; CHALLENGE_BYTES]) -> Result<Self, ProofError> {
        let nonce = FrameReader { bytes }.preamble()?;
        Ok(Self { nonce })
    }
}

/// Everything that both sides have sent before the proofs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProofTranscript {
    /// The connecting side's first frame.
    pub hello: HelloFrame,
    /// The accepting side's first frame.
    pub challenge: ChallengeFrame,
}

impl ProofTranscript {
    /// The proof of the connecting side.
    pub fn client_proof(&self, secret: &[u8]) -> [u8; PROOF_BYTES] {
        self.mac(secret, CLIENT_LABEL).finalize().into_bytes().into()
    }

    /// The proof of the accepting side.
    pub fn server_proof(&self, secret: &[u8]) -> [u8; PROOF_BYTES] {
        self.mac(secret, SERVER_LABEL).finalize().into_bytes().into()
    }

    /// Checks the proof of the connecting side in constant time.
    ///
    /// # Errors
    ///
    /// Fails if the other side has another secret or saw other frames.
    pub fn check_client(&self, secret: &[u8], proof: &[u8; PROOF_BYTES]) -> Result<(), ProofError> {
        let mac = self.mac(secret, CLIENT_LABEL);
        mac.verify_slice(proof).map_err(|_| ProofError::WrongProof)
    }

    /// Checks the proof of the accepting side in constant time.
    ///
    /// # Errors
    ///
    /// Fails if the other side has another secret or saw other frames.
    pub fn check_server(&self, secret: &[u8], proof: &[u8; PROOF_BYTES]) -> Result<(), ProofError> {
        let mac = self.mac(secret, SERVER_LABEL);
        mac.verify_slice(proof).map_err(|_| ProofError::WrongProof)
    }

    fn mac(&self, secret: &[u8], label: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("any key length is taken");
        mac.update(label);
        mac.update(&self.hello.encode());
        mac.update(&self.challenge.encode());
        mac
    }
}

struct FrameWriter<const N: usize> {
    bytes: [u8; N],
    end: usize,
}

impl<const N: usize> FrameWriter<N> {
    fn new(bytes: [u8; N]) -> Self {
        Self { bytes, end: 0 }
    }

    fn write(&mut self, part: &[u8]) {
        self.bytes[self.end..self.end + part.len()].copy_from_slice(part);
        self.end += part.len();
    }

    fn preamble(&mut self, nonce: &[u8; NONCE_BYTES]) {
        self.write(MAGIC);
        self.write(&PROTOCOL_VERSION.to_be_bytes());
        self.write(nonce);
    }

    fn address(&mut self, address: SocketAddr) {
        let ip = match address.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped(),
            IpAddr::V6(ip) => ip,
        };
        self.write(&ip.octets());
        self.write(&address.port().to_be_bytes());
    }
}

struct FrameReader<'a> {
    bytes: &'a [u8],
}

impl FrameReader<'_> {
    fn read<const N: usize>(&mut self) -> [u8; N] {
        let mut part = [0; N];
        let (head, rest) = self.bytes.split_at(N);
        part.copy_from_slice(head);
        self.bytes = rest;
        part
    }

    fn preamble(&mut self) -> Result<[u8; NONCE_BYTES], ProofError> {
        if self.read::<8>() != *MAGIC {
            return Err(ProofError::WrongMagic);
        }
        match u16::from_be_bytes(self.read()) {
            PROTOCOL_VERSION => Ok(self.read()),
            version => Err(ProofError::UnknownVersion(version)),
        }
    }

    fn address(&mut self) -> SocketAddr {
        let ip = Ipv6Addr::from(self.read::<16>());
        let port = u16::from_be_bytes(self.read());
        SocketAddr::new(ip.to_canonical(), port)
    }
}
