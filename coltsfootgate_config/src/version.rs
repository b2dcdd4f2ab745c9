//! Wire types of the tree in the platform's store, as JSON.

use std::sync::Arc;

use coltsfootgate_core::ids::{BranchPath, ConfigVersion};
use serde::de::Error;
use serde::{Deserialize, Serialize};

use crate::parts::{ContentDigest, content_digest};
use crate::schema::is_digest;

/// The key of the head.
pub const HEAD_KEY: &str = "coltsfootgate/head";

/// The key of a root.
pub fn root_key(digest: &str) -> String {
    format!("coltsfootgate/root/{digest}")
}

/// The key of the text of a branch.
pub fn branch_key(digest: &str) -> String {
    format!("coltsfootgate/branch/{digest}")
}

/// The key under which the head of a past version is kept.
pub fn history_key(version: ConfigVersion) -> String {
    format!("coltsfootgate/history/{version}")
}

/// The one value that says which tree is in force; it changes by compare-and-swap.
///
/// Whoever replaces a head first keeps it under its [`history_key`], so that a writer whose answer
/// was lost finds its own nonce either in the head or in the history.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HeadObject {
    /// Rises by one with each accepted change.
    pub version: ConfigVersion,
    /// The digest of the root.
    pub root: ContentDigest,
    /// A number chosen by the writer, by which it knows its own change.
    pub nonce: Arc<str>,
    /// Who made the change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub author: Option<Arc<str>>,
    /// Why the change was made.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<Arc<str>>,
    /// When the change was made, by the clock of its author, in seconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub written_at: Option<u64>,
}

/// The branches of one tree, in order, with the digests of their texts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RootObject {
    /// The branches.
    pub branches: Vec<RootEntry>,
}

/// One branch of a root.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RootEntry {
    /// The path of the branch.
    pub path: BranchPath,
    /// The digest of its text.
    pub digest: ContentDigest,
}

impl RootObject {
    /// The bytes that are stored.
    pub fn to_bytes(&self) -> Vec<u8> {
        json_bytes(self)
    }

    /// Reads stored bytes; fails if they are not a root.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        let root: Self = serde_json::from_slice(bytes)?;
        root.branches.iter().try_for_each(|entry| check_digest(&entry.digest))?;
        Ok(root)
    }

    /// The digest by which the root is named.
    pub fn digest(&self) -> ContentDigest {
        content_digest(&self.to_bytes())
    }
}

impl HeadObject {
    /// The bytes that are stored.
    pub fn to_bytes(&self) -> Vec<u8> {
        json_bytes(self)
    }

    /// Reads stored bytes; fails if they are not a head.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        let head: Self = serde_json::from_slice(bytes)?;
        check_digest(&head.root)?;
        Ok(head)
    }
}

/// Digests become parts of keys in the store, so nothing else may pass for one.
fn check_digest(digest: &str) -> Result<(), serde_json::Error> {
    if is_digest(digest) {
        return Ok(());
    }
    Err(serde_json::Error::custom(format!("{digest:?} is not a SHA-256 digest")))
}

/// Serialises a value made of texts and numbers only, which cannot fail.
fn json_bytes(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
