//! The tree of settings: parsing, checks, inheritance, classification and tracing, without I/O.

mod check;
mod class_match;
mod classes;
mod customers;
mod document;
mod error;
mod pools;
mod resolve;
mod rule;
mod schema;
mod suggest;
mod trace;
mod tree;
mod value;

pub use class_match::{HeaderLookup, NoHeaders, RequestFacts};
pub use document::{BranchDocument, BranchNode};
pub use error::{ConfigError, ConfigErrors, ConfigFault};
pub use rule::{DecisionRule, RuleSubjects};
pub use schema::{KeySpec, TreeKind, ValueKind};
pub use trace::TracedValue;
pub use tree::ConfigTree;
pub use value::{Setting, SettingValue, parse_duration};
