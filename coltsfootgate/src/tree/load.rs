//! Fetches the values of a settings tree, verifies their digests and parses the settings.

use std::fmt::{self, Display, Formatter};

use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt, stream};

use coltsfootgate_config::{
    ConfigErrors, ConfigTree, PartsError, RootObject, TreeParts, branch_key, content_digest,
    root_key,
};
use coltsfootgate_core::head::{HeadSource, TreeHead};
use coltsfootgate_core::ids::ConfigVersion;

use super::slices::build_tree;
use super::{ActiveTree, TreeObjects, TreePeers};
use crate::platform::PlatformStore;

/// Maximum number of values that are fetched concurrently.
const CONCURRENT_FETCHES_MAX: usize = 8;

/// Why a settings tree could not be loaded.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum LoadError {
    /// No source returned a value with this digest.
    Unfetched(String),
    /// The values were fetched but do not form a valid tree.
    Invalid(String),
}

impl Display for LoadError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unfetched(digest) => {
                write!(formatter, "no source returned the value with digest {digest}")
            }
            Self::Invalid(faults) => write!(formatter, "the tree is invalid: {faults}"),
        }
    }
}

impl From<ConfigErrors> for LoadError {
    fn from(errors: ConfigErrors) -> Self {
        Self::Invalid(errors.to_string())
    }
}

impl From<PartsError> for LoadError {
    fn from(error: PartsError) -> Self {
        Self::Invalid(error.to_string())
    }
}

/// Loads trees from values that it fetches by digest from the first source that has them.
pub(super) struct TreeLoader<'a, S, P> {
    pub(super) store: &'a S,
    pub(super) peers: &'a P,
    pub(super) sources: &'a [HeadSource],
    /// Values of the tree in force, which need no fetch.
    pub(super) cached: &'a TreeObjects,
}

impl<S: PlatformStore, P: TreePeers> TreeLoader<'_, S, P> {
    /// Loads the tree that a head refers to.
    pub(super) async fn load(&self, head: &TreeHead) -> Result<ActiveTree, LoadError> {
        let root_bytes = self.find_object(&root_key(&head.root), &head.root).await?;
        let mut objects = TreeObjects::new();
        let tree = match self.store.whole_tree(&root_bytes).await {
            Some(tree) => tree?,
            None => {
                let root = RootObject::from_bytes(&root_bytes)
                    .map_err(|error| LoadError::Invalid(format!("root: {error}")))?;
                objects = self.load_branches(&root).await?;
                join_branches(&root, &objects, head.version).await?.into()
            }
        };
        objects.insert(head.root.clone(), root_bytes);
        Ok(ActiveTree { version: head.version, head: head.clone(), tree, objects })
    }

    async fn load_branches(&self, root: &RootObject) -> Result<TreeObjects, LoadError> {
        let fetches = root.branches.iter().map(|entry| async {
            let value = self.find_object(&branch_key(&entry.digest), &entry.digest).await?;
            Ok((entry.digest.clone(), value))
        });
        stream::iter(fetches).buffer_unordered(CONCURRENT_FETCHES_MAX).try_collect().await
    }

    async fn find_object(&self, key: &str, digest: &str) -> Result<Bytes, LoadError> {
        if let Some(value) = self.cached.get(digest) {
            return Ok(value.clone());
        }
        if let Some(value) = self.store.held_value(key) {
            return Ok(value);
        }
        // The sources are sorted with the store first. Peers are tried before it, since all
        // instances share the rate limit of the store.
        for source in self.sources.iter().rev() {
            let value = self.fetch_object(source, key, digest).await;
            if let Some(value) = value.filter(|value| *content_digest(value) == *digest) {
                return Ok(value);
            }
        }
        Err(LoadError::Unfetched(digest.to_owned()))
    }

    async fn fetch_object(&self, source: &HeadSource, key: &str, digest: &str) -> Option<Bytes> {
        match source {
            HeadSource::Store => Some(self.store.read(key).await.ok()??.value),
            HeadSource::Peer(peer) => self.peers.object(peer, digest).await.ok()?,
        }
    }
}

async fn join_branches(
    root: &RootObject,
    objects: &TreeObjects,
    version: ConfigVersion,
) -> Result<ConfigTree, LoadError> {
    let parts = TreeParts::assemble(root, |digest| {
        let text = std::str::from_utf8(objects.get(digest)?).ok()?;
        Some(text.into())
    })?;
    let document = parts.document(&format!("version {version}"))?;
    Ok(build_tree(document).await?)
}
