//! Wire type of the tree's head.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use coltsfootgate_core::head::TreeHead;

use crate::error::WireError;
use crate::names::{check_digest, check_name};

#[derive(Deserialize, Serialize)]
pub(crate) struct WireHead {
    version: u64,
    root: Arc<str>,
    nonce: Arc<str>,
}

impl From<TreeHead> for WireHead {
    fn from(head: TreeHead) -> Self {
        Self { version: head.version, root: head.root, nonce: head.nonce }
    }
}

impl TryFrom<WireHead> for TreeHead {
    type Error = WireError;

    fn try_from(head: WireHead) -> Result<Self, WireError> {
        Ok(Self {
            version: head.version,
            root: check_digest(head.root)?,
            nonce: check_name(head.nonce, "nonce")?,
        })
    }
}
