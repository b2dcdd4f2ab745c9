//! Errors in a settings tree, with their locations.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use coltsfootgate_core::ids::BranchPath;

/// One fault in a tree, with its location.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigError {
    /// The name of the file or version that was parsed.
    pub source: Arc<str>,
    /// The line, counted from 1, if known.
    pub line: Option<usize>,
    /// The branch, if known.
    pub branch: Option<BranchPath>,
    /// The key, if the fault concerns one.
    pub key: Option<Arc<str>>,
    /// The fault.
    pub fault: ConfigFault,
}

/// The kinds of faults in a tree.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigFault {
    /// The text is not valid TOML.
    Syntax(String),
    /// The key does not exist in this section.
    UnknownKey {
        /// The known key with the most similar spelling.
        nearest: Option<&'static str>,
        /// All known keys, separated by commas.
        known: String,
    },
    /// The value has the wrong type or is out of bounds.
    WrongValue {
        /// The value that was found.
        found: String,
        /// The values that are allowed.
        allowed: String,
    },
    /// A required key is not set.
    MissingKey {
        /// The values that are allowed.
        allowed: String,
    },
    /// The value must be unique, but another branch already has it.
    Duplicate {
        /// The value that was found.
        found: String,
        /// The branch that already has the value.
        first: BranchPath,
    },
    /// A branch or key is not allowed in this position.
    Misplaced {
        /// What was found.
        found: String,
        /// What is allowed.
        allowed: String,
    },
}

impl Display for ConfigFault {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(message) => write!(formatter, "not valid TOML: {message}"),
            Self::UnknownKey { nearest: Some(nearest), known } => {
                write!(formatter, "unknown key; nearest is `{nearest}`; allowed: {known}")
            }
            Self::UnknownKey { nearest: None, known } => {
                write!(formatter, "unknown key; allowed: {known}")
            }
            Self::WrongValue { found, allowed } | Self::Misplaced { found, allowed } => {
                write!(formatter, "found {found}; allowed: {allowed}")
            }
            Self::MissingKey { allowed } => {
                write!(formatter, "set neither here nor in a parent branch; allowed: {allowed}")
            }
            Self::Duplicate { found, first } => {
                write!(
                    formatter,
                    "found {found}, already set in {first}; allowed: in one branch only"
                )
            }
        }
    }
}

impl Display for ConfigError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.source)?;
        if let Some(line) = self.line {
            write!(formatter, ":{line}")?;
        }
        if let Some(branch) = &self.branch {
            write!(formatter, ": {branch}")?;
        }
        if let Some(key) = &self.key {
            write!(formatter, ": {key}")?;
        }
        write!(formatter, ": {}", self.fault)
    }
}

impl Error for ConfigError {}

/// All faults found in a tree, in the order of the text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl Display for ConfigErrors {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        for (position, error) in self.0.iter().enumerate() {
            if position > 0 {
                formatter.write_str("\n")?;
            }
            error.fmt(formatter)?;
        }
        Ok(())
    }
}

impl Error for ConfigErrors {}
