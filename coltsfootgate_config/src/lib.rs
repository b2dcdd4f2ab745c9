//! The settings tree: parsing, validation, inheritance, classification and tracing, without I/O.

mod check;
mod child_index;
mod class_match;
mod classes;
mod customers;
mod diff;
mod document;
mod edit;
mod error;
mod merge;
mod parts;
mod pools;
mod render;
mod resolve;
mod rule;
mod schema;
mod suggest;
mod trace;
mod tree;
mod value;
mod version;

pub use class_match::{HeaderLookup, NoHeaders, RequestAttributes};
pub use diff::{ChangeLine, diff};
pub use document::{BranchDocument, BranchDraft, BranchNode};
pub use edit::EditError;
pub use error::{ConfigError, ConfigErrors, ConfigFault};
pub use merge::{BranchConflict, MergeConflict, merge};
pub use parts::{
    BranchPart, ContentDigest, PartsError, STORED_VALUE_BYTES_MAX, TreeParts, content_digest,
};
pub use rule::{DecisionRule, RequestBranches};
pub use schema::{ConfigSection, KeySpec, ValueKind};
pub use trace::TracedValue;
pub use tree::{ConfigTree, TreeBuilder};
pub use value::{Setting, SettingValue, parse_duration};
pub use version::{HEAD_KEY, HeadObject, RootEntry, RootObject, branch_key, history_key, root_key};
