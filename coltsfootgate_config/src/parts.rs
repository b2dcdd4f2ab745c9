//! Splits a tree into immutable, content-addressed branch texts and joins them again.

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

/// The maximum size of a value in the platform's store, in bytes.
pub const STORED_VALUE_BYTES_MAX: usize = 1_000_000;

/// The text of one branch, the smallest unit that operators can change concurrently without a
/// merge conflict.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BranchPart {
    /// A section root, for its own settings only, or a child of one with all its descendants.
    pub path: BranchPath,
    /// The branch as canonical TOML.
    pub text: Arc<str>,
    /// The digest of `text`.
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

/// An error in splitting a tree into parts or assembling it from stored ones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PartsError {
    /// A value is larger than [`STORED_VALUE_BYTES_MAX`].
    TooLarge {
        /// The branch, or `root` for the root object.
        branch: BranchPath,
        /// Its size in bytes.
        bytes: usize,
    },
    /// A text that the root object refers to was not found.
    Missing {
        /// The branch.
        branch: BranchPath,
        /// The digest of the text.
        digest: ContentDigest,
    },
    /// A text does not match the digest in the root object.
    WrongDigest {
        /// The branch.
        branch: BranchPath,
    },
    /// A text is not valid TOML, or contains another branch.
    InvalidText {
        /// The branch that the root object lists for the text.
        branch: BranchPath,
        /// What is wrong with the text.
        found: String,
    },
}

impl Display for PartsError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { branch, bytes } => write!(
                formatter,
                "{branch}: {bytes} bytes; allowed: up to {STORED_VALUE_BYTES_MAX}, so split it into branches"
            ),
            Self::Missing { branch, digest } => {
                write!(formatter, "{branch}: the text with digest {digest} was not found")
            }
            Self::WrongDigest { branch } => {
                write!(formatter, "{branch}: the text does not match its digest")
            }
            Self::InvalidText { branch, found } => {
                write!(formatter, "{branch}: invalid text: {found}")
            }
        }
    }
}

impl Error for PartsError {}

impl TreeParts {
    /// Splits a document into parts that can be stored.
    ///
    /// Fails if a part or the root object is larger than [`STORED_VALUE_BYTES_MAX`].
    pub fn split(document: &BranchDocument) -> Result<Self, PartsError> {
        let parts = Self::of_document(document);
        parts.check_sizes()?;
        Ok(parts)
    }

    /// Splits a document into parts of any size, which need not be stored.
    pub fn of_document(document: &BranchDocument) -> Self {
        let mut parts = Vec::new();
        for section in ConfigSection::ALL {
            let root = document.root(section);
            let mut root_text = String::new();
            document.render_own(root, &mut root_text);
            parts.push((&document.nodes[root], root_text));
            for child in &document.nodes[root].children {
                let mut text = String::new();
                document.render_branch(*child, &mut text);
                parts.push((&document.nodes[*child], text));
            }
        }
        parts.retain(|(_, text)| !text.is_empty());
        let parts = parts.into_iter().map(|(node, text)| BranchPart::new(node.path.clone(), &text));
        Self { parts: parts.collect() }
    }

    /// Assembles the parts that a root object lists, with their texts.
    ///
    /// Fails if a text is missing, does not match its digest, or contains another branch.
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

    /// Joins the parts into one document without validating its settings; `source_name` is its name
    /// in errors.
    ///
    /// Fails if the joined text is not valid, for instance because two parts define one branch.
    pub fn document(&self, source_name: &str) -> Result<BranchDocument, ConfigErrors> {
        BranchDocument::parse(source_name, &self.text())
    }

    /// Joins the parts into one validated tree; `source_name` is its name in errors.
    ///
    /// Fails with all faults of the tree.
    pub fn join(&self, source_name: &str) -> Result<ConfigTree, ConfigErrors> {
        ConfigTree::from_document(self.document(source_name)?)
    }

    /// The root object: the list of parts as it is stored.
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
        match sizes.find(|(_, bytes)| *bytes > STORED_VALUE_BYTES_MAX) {
            Some((branch, bytes)) => Err(PartsError::TooLarge { branch, bytes }),
            None => Ok(()),
        }
    }
}

/// The SHA-256 digest of a value in lowercase hexadecimal, which is part of its key in the store.
pub fn content_digest(bytes: &[u8]) -> ContentDigest {
    let digest = Sha256::digest(bytes);
    let hexadecimal: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    hexadecimal.into()
}

/// Checks that a text contains nothing outside its branch, so that a change of one branch cannot
/// silently change another.
fn check_branch(path: &BranchPath, text: &str) -> Result<(), PartsError> {
    let invalid = |found: String| PartsError::InvalidText { branch: path.clone(), found };
    let document =
        BranchDocument::parse(path, text).map_err(|errors| invalid(errors.to_string()))?;
    let is_root = ConfigSection::by_name(path).is_some();
    let prefix = format!("{path}.");
    for node in &document.nodes {
        let inside = node.path == *path || (!is_root && node.path.starts_with(&prefix));
        if !inside && (!node.settings.is_empty() || node.children.is_empty()) && node.line > 0 {
            return Err(invalid(format!("unexpected branch {}", node.path)));
        }
    }
    Ok(())
}
