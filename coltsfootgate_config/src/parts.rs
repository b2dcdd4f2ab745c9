//! Splits a tree into immutable texts of branches, named by their content, and joins them again.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use coltsfootgate_core::ids::BranchPath;
use sha2::{Digest, Sha256};

use crate::document::BranchDocument;
use crate::error::ConfigErrors;
use crate::schema::ConfigSection;
use crate::tree::ConfigTree;
use crate::version::{RootEntry, RootObject};

/// The SHA-256 digest of a stored value, in hexadecimal.
pub type ContentDigest = Arc<str>;

/// The largest value that the platform's store takes, in bytes.
pub const STORED_VALUE_BYTES: usize = 1_000_000;

/// The text of one branch at the depth at which operators may race without a conflict.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BranchPart {
    /// A root, for its own settings, or a branch directly below one, with all that is below it.
    pub path: BranchPath,
    /// The branch as canonical TOML.
    pub text: Arc<str>,
    /// The digest of the text.
    pub digest: ContentDigest,
}

impl BranchPart {
    fn new(path: BranchPath, text: &str) -> Self {
        Self { path, text: text.into(), digest: content_digest(text.as_bytes()) }
    }
}

/// All parts of one tree, in order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TreeParts {
    pub(crate) parts: Vec<BranchPart>,
}

/// Why a tree cannot be split or put together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PartsError {
    /// A value is larger than the store takes.
    TooLarge {
        /// The branch, or `root` for the list of branches.
        branch: BranchPath,
        /// Its size in bytes.
        bytes: usize,
    },
    /// A text that the root names is not at hand.
    Missing {
        /// The branch.
        branch: BranchPath,
        /// The digest of the text.
        digest: ContentDigest,
    },
    /// A text does not have the digest that names it.
    WrongDigest {
        /// The branch.
        branch: BranchPath,
    },
    /// A text is not valid TOML, or states settings of another branch.
    WrongBranch {
        /// The branch that the root names.
        branch: BranchPath,
        /// What the text holds.
        found: String,
    },
}

impl Display for PartsError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { branch, bytes } => write!(
                formatter,
                "{branch}: {bytes} bytes; allowed: up to {STORED_VALUE_BYTES}, so split it into branches"
            ),
            Self::Missing { branch, digest } => {
                write!(formatter, "{branch}: the text with digest {digest} was not found")
            }
            Self::WrongDigest { branch } => {
                write!(formatter, "{branch}: the text does not match its digest")
            }
            Self::WrongBranch { branch, found } => {
                write!(formatter, "{branch}: invalid text: {found}")
            }
        }
    }
}

impl Error for PartsError {}

impl TreeParts {
    /// Splits a document.
    ///
    /// Fails if a part, or the list of parts, is larger than the store takes.
    pub fn split(document: &BranchDocument) -> Result<Self, PartsError> {
        let mut parts = Vec::new();
        for section in ConfigSection::ALL {
            let root = document.root(section);
            let mut own = String::new();
            document.render_own(root, &mut own);
            parts.push((&document.nodes[root], own));
            for child in &document.nodes[root].children {
                let mut text = String::new();
                document.render_branch(*child, &mut text);
                parts.push((&document.nodes[*child], text));
            }
        }
        parts.retain(|(_, text)| !text.is_empty());
        let parts = parts.into_iter().map(|(node, text)| BranchPart::new(node.path.clone(), &text));
        let parts = Self { parts: parts.collect() };
        parts.check_sizes()?;
        Ok(parts)
    }

    /// Puts parts together from a root and the texts that it names.
    ///
    /// Fails for a text that is missing, that is not the one named, or that states settings of a
    /// branch other than its own.
    pub fn assemble(
        root: &RootObject,
        mut text_by_digest: impl FnMut(&ContentDigest) -> Option<Arc<str>>,
    ) -> Result<Self, PartsError> {
        let mut parts = Vec::with_capacity(root.branches.len());
        for entry in &root.branches {
            let (path, digest) = (entry.path.clone(), entry.digest.clone());
            let Some(text) = text_by_digest(&digest) else {
                return Err(PartsError::Missing { branch: path, digest });
            };
            if content_digest(text.as_bytes()) != digest {
                return Err(PartsError::WrongDigest { branch: path });
            }
            check_branch(&path, &text)?;
            parts.push(BranchPart { path, text, digest });
        }
        Ok(Self { parts })
    }

    /// Joins the parts into one text.
    pub fn text(&self) -> String {
        let texts: Vec<_> = self.parts.iter().map(|part| &*part.text).collect();
        texts.join("\n")
    }

    /// Joins the parts into one document, without checks of its settings.
    ///
    /// Fails if the parts contradict each other.
    pub fn document(&self, source_name: &str) -> Result<BranchDocument, ConfigErrors> {
        BranchDocument::parse(source_name, &self.text())
    }

    /// Joins the parts into one tree; `source_name` names it in errors.
    ///
    /// Fails with every fault of the tree.
    pub fn join(&self, source_name: &str) -> Result<ConfigTree, ConfigErrors> {
        ConfigTree::from_document(self.document(source_name)?)
    }

    /// The list of parts as it is stored.
    pub fn root(&self) -> RootObject {
        let entry =
            |part: &BranchPart| RootEntry { path: part.path.clone(), digest: part.digest.clone() };
        RootObject { branches: self.parts.iter().map(entry).collect() }
    }

    /// The part of a branch.
    pub fn part(&self, path: &str) -> Option<&BranchPart> {
        self.parts.iter().find(|part| &*part.path == path)
    }

    /// All parts, in order.
    pub fn iter(&self) -> impl Iterator<Item = &BranchPart> {
        self.parts.iter()
    }

    fn check_sizes(&self) -> Result<(), PartsError> {
        let root_bytes = self.root().to_bytes().len();
        let sizes = self.parts.iter().map(|part| (part.path.clone(), part.text.len()));
        let mut sizes = sizes.chain([(BranchPath::from("root"), root_bytes)]);
        match sizes.find(|(_, bytes)| *bytes > STORED_VALUE_BYTES) {
            Some((branch, bytes)) => Err(PartsError::TooLarge { branch, bytes }),
            None => Ok(()),
        }
    }
}

/// The digest by which a value is named in the store.
pub fn content_digest(bytes: &[u8]) -> ContentDigest {
    let digest = Sha256::digest(bytes);
    let hexadecimal: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    hexadecimal.into()
}

/// A text may state nothing outside its branch, lest one branch change another unseen.
fn check_branch(path: &BranchPath, text: &str) -> Result<(), PartsError> {
    let wrong = |found: String| PartsError::WrongBranch { branch: path.clone(), found };
    let document = BranchDocument::parse(path, text).map_err(|errors| wrong(errors.to_string()))?;
    let is_root = ConfigSection::by_name(path).is_some();
    let below = format!("{path}.");
    for node in &document.nodes {
        let inside = node.path == *path || (!is_root && node.path.starts_with(&below));
        if !inside && (!node.settings.is_empty() || node.children.is_empty()) && node.line > 0 {
            return Err(wrong(format!("unexpected branch {}", node.path)));
        }
    }
    Ok(())
}
