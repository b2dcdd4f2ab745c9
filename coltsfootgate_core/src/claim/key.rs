//! Idempotency keys: validation, digests, page numbers and timestamps.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use uuid::Uuid;

use crate::reason::ErrorKind;

/// Longest idempotency key, in bytes.
pub const KEY_BYTES_MAX: usize = 255;
/// Largest difference between the clocks of callers and instances that is tolerated.
pub const CLOCK_TOLERANCE: Duration = Duration::from_secs(5 * 60);

/// Index of a page of claims, from 0.
pub type PageNumber = u32;
/// Identifies one claim; the claimant generates it at random.
pub type ClaimNonce = Uuid;

/// Digest of an idempotency key and the customer that it belongs to.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct KeyDigest([u8; 16]);

impl KeyDigest {
    /// Creates a digest from its bytes.
    pub fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the digest.
    pub fn to_bytes(self) -> [u8; 16] {
        self.0
    }

    /// Returns the page that stores this key when keys are spread over `page_count` pages.
    pub fn page_number(self, page_count: u32) -> PageNumber {
        let [a, b, c, d, ..] = self.0;
        u32::from_be_bytes([a, b, c, d]) % page_count.max(1)
    }
}

/// Digest of a request's method, path and body, used to detect a different request with the same
/// idempotency key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct RequestFingerprint([u8; 16]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request.
    pub fn of_request(method: &str, path: &str, body: &[u8]) -> Self {
        Self(digest_parts(&[method.as_bytes(), path.as_bytes(), body]))
    }

    /// Creates a fingerprint from its bytes.
    pub fn from_bytes(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the fingerprint.
    pub fn to_bytes(self) -> [u8; 16] {
        self.0
    }
}

/// Returns the first 16 bytes of the SHA-256 over the parts, each preceded by its length.
fn digest_parts(parts: &[&[u8]]) -> [u8; 16] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let mut digest = [0; 16];
    digest.copy_from_slice(&hasher.finalize()[..16]);
    digest
}

/// A validated idempotency key of a customer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
pub struct IdempotencyKey {
    /// The digest under which the key's claim is stored.
    pub digest: KeyDigest,
    /// The timestamp in the key, if the key is a version 7 UUID.
    pub time: Option<SystemTime>,
}

impl IdempotencyKey {
    /// Validates a key from a caller's request; `wall` is the current wall-clock time.
    ///
    /// # Errors
    ///
    /// `KeyInvalid` if the key is empty, too long, contains characters other than visible ASCII, or
    /// has a timestamp more than [`CLOCK_TOLERANCE`] in the future.
    pub fn parse(customer: &str, key: &str, wall: SystemTime) -> Result<Self, ErrorKind> {
        let is_visible = key.bytes().all(|byte| byte.is_ascii_graphic());
        if key.is_empty() || key.len() > KEY_BYTES_MAX || !is_visible {
            return Err(ErrorKind::KeyInvalid);
        }
        let time = uuid_timestamp(key);
        // A timestamp in the future would make the key look recent after its claim was dropped.
        if time.is_some_and(|time| time > wall + CLOCK_TOLERANCE) {
            return Err(ErrorKind::KeyInvalid);
        }
        let digest = KeyDigest(digest_parts(&[customer.as_bytes(), key.as_bytes()]));
        Ok(Self { digest, time })
    }

    /// Whether the key's timestamp is older than `window`, the time for which claims are kept.
    pub fn is_too_old(&self, wall: SystemTime, window: Duration) -> bool {
        self.time.is_some_and(|time| time + window <= wall)
    }
}

fn uuid_timestamp(key: &str) -> Option<SystemTime> {
    let uuid = Uuid::try_parse(key).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    SystemTime::UNIX_EPOCH.checked_add(Duration::new(seconds, nanos))
}
