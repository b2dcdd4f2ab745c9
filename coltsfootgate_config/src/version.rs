//! The JSON objects and keys of a versioned tree in the platform's store.

use std::sync::Arc;

use coltsfootgate_core::ids::{BranchPath, ConfigVersion};
use serde::de::Error;
use serde::{Deserialize, Serialize};

use crate::parts::{ContentDigest, content_digest};
use crate::schema::is_digest;

/// The key of the head object.
pub const HEAD_KEY: &str = "coltsfootgate/head";

/// The key of the root object with this digest.
pub fn root_key(digest: &str) -> String {
    format!("coltsfootgate/root/{digest}")
}

/// The key of the branch text with this digest.
pub fn branch_key(digest: &str) -> String {
    format!("coltsfootgate/branch/{digest}")
}

/// The key of the head object of an earlier version.
pub fn history_key(version: ConfigVersion) -> String {
    format!("coltsfootgate/history/{version}")
}

/// The pointer to the active tree, updated by compare-and-swap.
///
/// Before a writer replaces the head, it copies the old one to its [`history_key`]. A writer that
/// never received the response to its own update can therefore find its nonce in the head or in
/// the history and learn whether the update succeeded.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HeadObject {
    /// The version, incremented by one with each accepted change.
    pub version: ConfigVersion,
    /// The digest of the root object.
    pub root: ContentDigest,
    /// A value chosen by the writer to identify its own update.
    pub nonce: Arc<str>,
    /// The author of the change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub author: Option<Arc<str>>,
    /// The author's note on the change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<Arc<str>>,
    /// The time of the change by the author's clock, in seconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub written_at: Option<u64>,
}

/// The parts of one version of the tree, in order, with the digests of their texts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RootObject {
    /// The parts, in the order of the tree.
    pub branches: Vec<RootEntry>,
}

/// One part listed in a root object.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RootEntry {
    /// The branch path of the part.
    pub path: BranchPath,
    /// The digest of its text.
    pub digest: ContentDigest,
}

impl RootObject {
    /// Serializes the object to the bytes that are stored.
    pub fn to_bytes(&self) -> Vec<u8> {
        json_bytes(self)
    }

    /// Parses stored bytes.
    ///
    /// Fails if they are not a root object or contain an invalid digest.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        let root: Self = serde_json::from_slice(bytes)?;
        root.branches.iter().try_for_each(|entry| check_digest(&entry.digest))?;
        Ok(root)
    }

    /// The digest of the stored bytes, which is part of the key.
    pub fn digest(&self) -> ContentDigest {
        content_digest(&self.to_bytes())
    }
}

impl HeadObject {
    /// Serializes the object to the bytes that are stored.
    pub fn to_bytes(&self) -> Vec<u8> {
        json_bytes(self)
    }

    /// Parses stored bytes.
    ///
    /// Fails if they are not a head object or contain an invalid digest.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        let head: Self = serde_json::from_slice(bytes)?;
        check_digest(&head.root)?;
        Ok(head)
    }
}

/// Rejects anything but a SHA-256 digest, because digests become part of keys in the store.
fn check_digest(digest: &str) -> Result<(), serde_json::Error> {
    if is_digest(digest) {
        return Ok(());
    }
    Err(serde_json::Error::custom(format!("{digest:?} is not a SHA-256 digest")))
}

/// Serializes a value that consists of strings and numbers only, which cannot fail.
fn json_bytes(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
