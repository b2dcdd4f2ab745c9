//! Idempotency keys: their checks, digests, pages and times.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use uuid::Uuid;

use crate::reason::ErrorKind;

/// Longest idempotency key, in bytes.
pub const KEY_BYTES_MAX: usize = 255;
/// How far the clocks of callers and instances may be apart.
pub const CLOCK_TOLERANCE: Duration = Duration::from_secs(5 * 60);

/// Number of a page of claims, from 0.
pub type PageNumber = u32;
/// Identifies one claim; its claimant draws it at random.
pub type ClaimNonce = Uuid;

/// Digest of a key together with the customer that it belongs to.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct KeyDigest([u8; 16]);

impl KeyDigest {
    /// Makes a digest from its bytes.
    pub fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// The bytes of the digest.
    pub fn to_bytes(self) -> [u8; 16] {
        self.0
    }

    /// The page that holds this key where there are so many pages.
    pub fn page(self, pages: u32) -> PageNumber {
        let [a, b, c, d, ..] = self.0;
        u32::from_be_bytes([a, b, c, d]) % pages.max(1)
    }
}

/// Digest of what a caller asked for, by which another request under the same key is noticed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct RequestFingerprint([u8; 16]);

impl RequestFingerprint {
    /// The fingerprint of a request.
    pub fn of_request(method: &str, path: &str, body: &[u8]) -> Self {
        Self(digest_parts(&[method.as_bytes(), path.as_bytes(), body]))
    }

    /// Makes a fingerprint from its bytes.
    pub fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// The bytes of the fingerprint.
    pub fn to_bytes(self) -> [u8; 16] {
        self.0
    }
}

/// The first half of a SHA-256 over the parts, each preceded by its length.
fn digest_parts(parts: &[&[u8]]) -> [u8; 16] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let mut half = [0; 16];
    half.copy_from_slice(&hasher.finalize()[..16]);
    half
}

/// An idempotency key of a customer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct ClaimKey {
    /// The digest under which the key is kept.
    pub digest: KeyDigest,
    /// The time that the key carries, if it is a UUID of version 7.
    pub time: Option<SystemTime>,
}

impl ClaimKey {
    /// Checks a key that a caller gave.
    ///
    /// # Errors
    ///
    /// `KeyInvalid` if the key is empty, too long, holds other characters than visible ASCII, or
    /// carries a time that lies ahead of the clock.
    pub fn parse(customer: &str, key: &str, wall: SystemTime) -> Result<Self, ErrorKind> {
        let is_visible = key.bytes().all(|byte| byte.is_ascii_graphic());
        if key.is_empty() || key.len() > KEY_BYTES_MAX || !is_visible {
            return Err(ErrorKind::KeyInvalid);
        }
        let time = uuid_time(key);
        // Such a key would seem young when its claim is no longer kept.
        if time.is_some_and(|time| time > wall + CLOCK_TOLERANCE) {
            return Err(ErrorKind::KeyInvalid);
        }
        let digest = KeyDigest(digest_parts(&[customer.as_bytes(), key.as_bytes()]));
        Ok(Self { digest, time })
    }

    /// Whether the key is older than claims are kept.
    pub fn is_too_old(&self, wall: SystemTime, window: Duration) -> bool {
        self.time.is_some_and(|time| time + window <= wall)
    }
}

fn uuid_time(key: &str) -> Option<SystemTime> {
    let uuid = Uuid::try_parse(key).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    SystemTime::UNIX_EPOCH.checked_add(Duration::new(seconds, nanos))
}
