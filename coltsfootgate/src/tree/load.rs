//! Fetches the values of a tree, checks their digests and reads the settings.

use std::fmt::{self, Display, Formatter, Write};

use bytes::Bytes;
use sha2::{Digest, Sha256};

use coltsfootgate_config::{ConfigErrors, ConfigTree};
use coltsfootgate_core::head::{HeadSource, TreeHead};

use super::{ActiveTree, ROOT_PREFIX, TreeObjects, TreePeers};
use crate::platform::PlatformStore;

/// Why a tree could not be loaded.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum LoadError {
    /// No source gave the value with this digest.
    Unfetched(String),
    /// The values were fetched and are not a valid tree.
    Invalid(String),
}

impl Display for LoadError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unfetched(digest) => write!(formatter, "no source gave {digest}"),
            Self::Invalid(faults) => write!(formatter, "not valid: {faults}"),
        }
    }
}

impl From<ConfigErrors> for LoadError {
    fn from(errors: ConfigErrors) -> Self {
        Self::Invalid(errors.to_string())
    }
}

/// Fetches values by digest from whichever source has them.
pub(super) struct ObjectFetcher<'a, S, P> {
    pub(super) store: &'a S,
    pub(super) peers: &'a P,
    pub(super) sources: &'a [HeadSource],
    /// Values that are held already.
    pub(super) held: &'a TreeObjects,
}

impl<S: PlatformStore, P: TreePeers> ObjectFetcher<'_, S, P> {
    /// Loads the tree that a head names.
    pub(super) async fn load(&self, head: &TreeHead) -> Result<ActiveTree, LoadError> {
        let root = self.object(ROOT_PREFIX, &head.root).await?;
        let text = std::str::from_utf8(&root)
            .map_err(|error| LoadError::Invalid(format!("root: {error}")))?;
        let tree = ConfigTree::parse(&format!("version {}", head.version), text)?;
        let objects = TreeObjects::from([(head.root.clone(), root)]);
        Ok(ActiveTree { version: head.version, head: head.clone(), tree: tree.into(), objects })
    }

    async fn object(&self, prefix: &str, digest: &str) -> Result<Bytes, LoadError> {
        if let Some(value) = self.held.get(digest) {
            return Ok(value.clone());
        }
        for source in self.sources {
            let value = self.offered_object(source, prefix, digest).await;
            if let Some(value) = value.filter(|value| object_digest(value) == digest) {
                return Ok(value);
            }
        }
        Err(LoadError::Unfetched(digest.to_owned()))
    }

    async fn offered_object(
        &self,
        source: &HeadSource,
        prefix: &str,
        digest: &str,
    ) -> Option<Bytes> {
        match source {
            HeadSource::Store => {
                let stored = self.store.read(&format!("{prefix}{digest}")).await.ok()??;
                Some(stored.value)
            }
            HeadSource::Peer(peer) => self.peers.object(peer, digest).await.ok()?,
        }
    }
}

/// The digest by which an immutable value is named.
pub fn object_digest(value: &[u8]) -> String {
    let digest = Sha256::digest(value);
    digest.iter().fold(String::with_capacity(64), |mut text, byte| {
        // Writing to a string does not fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}
