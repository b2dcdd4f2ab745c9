//! Mutual authentication with a shared secret, in frames of fixed size, before any message.
//!
//! The connecting side sends a hello, the accepting side a challenge, the connecting side its proof
//! and, if that proof is valid, the accepting side its own. A side without the secret thus never
//! receives data that was computed from it. Each proof is an HMAC over both nonces, the version,
//! both addresses and the side that sends it, which prevents replay, reflection and use at another
//! instance.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::net::{IpAddr, Ipv6Addr, SocketAddr};

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Version of the protocol between instances.
pub const PROTOCOL_VERSION: u16 = 12;
/// Size of a nonce, in bytes.
pub const NONCE_BYTES: usize = 32;
/// Size of a proof, in bytes.
pub const PROOF_BYTES: usize = 32;
/// Size of an encoded hello, in bytes.
pub const HELLO_BYTES: usize = MAGIC.len() + 2 + NONCE_BYTES + 2 * ADDRESS_BYTES;
/// Size of an encoded challenge, in bytes.
pub const CHALLENGE_BYTES: usize = MAGIC.len() + 2 + NONCE_BYTES;

/// First bytes of hellos and challenges.
const MAGIC: &[u8; 8] = b"cfgpeer\n";
/// Size of an address: 16 bytes of IPv6, to which IPv4 is mapped, and 2 bytes of the port.
const ADDRESS_BYTES: usize = 18;
const CLIENT_LABEL: &[u8] = b"coltsfootgate connecting side";
const SERVER_LABEL: &[u8] = b"coltsfootgate accepting side";

/// Why the other side could not be authenticated as an instance of the same deployment.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ProofError {
    /// The frame does not start with the magic bytes of this protocol.
    WrongMagic,
    /// The other side uses another version of the protocol, which is given here.
    UnknownVersion(u16),
    /// The hello is addressed to another instance.
    WrongAddress,
    /// The proof is invalid; usually the other side has another secret.
    WrongProof,
}

impl ProofError {
    /// Returns the name used in metrics.
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
            Self::WrongMagic => formatter.write_str("not a frame of the peer protocol"),
            Self::UnknownVersion(version) => {
                write!(formatter, "unsupported protocol version {version}")
            }
            Self::WrongAddress => formatter.write_str("hello is addressed to another instance"),
            Self::WrongProof => formatter.write_str("invalid proof of the shared secret"),
        }
    }
}

impl Error for ProofError {}

/// The first frame of the connecting side.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HelloFrame {
    /// Random bytes chosen by the connecting side.
    pub nonce: [u8; NONCE_BYTES],
    /// The address of the connecting instance.
    pub from: SocketAddr,
    /// The address of the instance that it connects to.
    pub to: SocketAddr,
}

impl HelloFrame {
    /// Encodes the frame.
    pub fn encode(&self) -> [u8; HELLO_BYTES] {
        let mut writer = FrameWriter::new([0; HELLO_BYTES]);
        writer.write_preamble(&self.nonce);
        writer.write_address(self.from);
        writer.write_address(self.to);
        writer.bytes
    }

    /// Decodes a frame that the other side sent.
    ///
    /// # Errors
    ///
    /// Fails if the frame belongs to another protocol or protocol version.
    pub fn decode(bytes: &[u8; HELLO_BYTES]) -> Result<Self, ProofError> {
        let mut reader = FrameReader { bytes };
        let nonce = reader.read_preamble()?;
        Ok(Self { nonce, from: reader.read_address(), to: reader.read_address() })
    }
}

/// The accepting side's response to a hello.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChallengeFrame {
    /// Random bytes chosen by the accepting side.
    pub nonce: [u8; NONCE_BYTES],
}

impl ChallengeFrame {
    /// Encodes the frame.
    pub fn encode(&self) -> [u8; CHALLENGE_BYTES] {
        let mut writer = FrameWriter::new([0; CHALLENGE_BYTES]);
        writer.write_preamble(&self.nonce);
        writer.bytes
    }

    /// Decodes a frame that the other side sent.
    ///
    /// # Errors
    ///
    /// Fails if the frame belongs to another protocol or protocol version.
    pub fn decode(bytes: &[u8; CHALLENGE_BYTES]) -> Result<Self, ProofError> {
        let nonce = FrameReader { bytes }.read_preamble()?;
        Ok(Self { nonce })
    }
}

/// The frames that both sides have sent before the proofs, which the proofs authenticate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProofTranscript {
    /// The connecting side's first frame.
    pub hello: HelloFrame,
    /// The accepting side's first frame.
    pub challenge: ChallengeFrame,
}

impl ProofTranscript {
    /// Computes the proof of the connecting side.
    pub fn client_proof(&self, secret: &[u8]) -> [u8; PROOF_BYTES] {
        self.mac(secret, CLIENT_LABEL).finalize().into_bytes().into()
    }

    /// Computes the proof of the accepting side.
    pub fn server_proof(&self, secret: &[u8]) -> [u8; PROOF_BYTES] {
        self.mac(secret, SERVER_LABEL).finalize().into_bytes().into()
    }

    /// Verifies the proof of the connecting side in constant time.
    ///
    /// # Errors
    ///
    /// Fails if the other side has another secret or exchanged other frames.
    pub fn verify_client(
        &self,
        secret: &[u8],
        proof: &[u8; PROOF_BYTES],
    ) -> Result<(), ProofError> {
        let mac = self.mac(secret, CLIENT_LABEL);
        mac.verify_slice(proof).map_err(|_| ProofError::WrongProof)
    }

    /// Verifies the proof of the accepting side in constant time.
    ///
    /// # Errors
    ///
    /// Fails if the other side has another secret or exchanged other frames.
    pub fn verify_server(
        &self,
        secret: &[u8],
        proof: &[u8; PROOF_BYTES],
    ) -> Result<(), ProofError> {
        let mac = self.mac(secret, SERVER_LABEL);
        mac.verify_slice(proof).map_err(|_| ProofError::WrongProof)
    }

    fn mac(&self, secret: &[u8], label: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(secret).expect("HMAC accepts keys of any length");
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

    fn write_preamble(&mut self, nonce: &[u8; NONCE_BYTES]) {
        self.write(MAGIC);
        self.write(&PROTOCOL_VERSION.to_be_bytes());
        self.write(nonce);
    }

    fn write_address(&mut self, address: SocketAddr) {
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

    fn read_preamble(&mut self) -> Result<[u8; NONCE_BYTES], ProofError> {
        if self.read::<8>() != *MAGIC {
            return Err(ProofError::WrongMagic);
        }
        match u16::from_be_bytes(self.read()) {
            PROTOCOL_VERSION => Ok(self.read()),
            version => Err(ProofError::UnknownVersion(version)),
        }
    }

    fn read_address(&mut self) -> SocketAddr {
        let ip = Ipv6Addr::from(self.read::<16>());
        let port = u16::from_be_bytes(self.read());
        SocketAddr::new(ip.to_canonical(), port)
    }
}
