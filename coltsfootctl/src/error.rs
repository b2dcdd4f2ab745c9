//! What can go wrong in the tool, and the exit code that tells of it.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use coltsfootgate_config::{ConfigErrors, MergeConflict, PartsError};
use coltsfootgate_core::ids::ConfigVersion;
use error_stack::Report;

use coltsfootgate::platform::PlatformError;

/// A result of the tool.
pub type ToolResult<T> = Result<T, Report<ToolError>>;

/// How the tool ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Everything that was asked for was done.
    Success = 0,
    /// The platform or a file could not be read; nothing was changed.
    Failed = 1,
    /// A flag or an environment variable is wrong.
    Usage = 2,
    /// The tree is invalid; nothing was changed.
    InvalidTree = 3,
    /// Another operator changed the same branch; nothing was changed.
    Conflict = 4,
    /// The change is stored, but not known to be in force on every live instance.
    NotInForce = 5,
    /// It could not be learned whether the change was stored.
    OutcomeUnknown = 6,
    /// What was asked for does not exist.
    NotFound = 7,
}

/// Why a command failed.
#[derive(Clone, Debug)]
pub enum ToolError {
    /// A flag or an environment variable is wrong.
    Usage(String),
    /// A file could not be read.
    File {
        /// The path.
        path: String,
        /// The cause.
        cause: String,
    },
    /// The tree has faults.
    InvalidTree(ConfigErrors),
    /// The tree cannot be stored.
    Unstorable(PartsError),
    /// Another operator changed the same branches.
    Conflict(MergeConflict),
    /// The platform gave no usable answer.
    Platform(PlatformError),
    /// A stored value cannot be understood or does not fit the one that names it.
    CorruptValue {
        /// The key of the value.
        key: String,
        /// What is wrong with it.
        cause: String,
    },
    /// Other operators, or a store that lags, kept getting in the way.
    RetriesExhausted,
    /// The answer to the swap of the head was lost and could not be made up for.
    OutcomeUnknown {
        /// The version that may have been stored.
        version: ConfigVersion,
        /// The nonce by which it would be known.
        nonce: Arc<str>,
    },
    /// What was asked for does not exist.
    NotFound(String),
}

impl ToolError {
    /// The exit code that tells of the error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) => ExitStatus::Usage,
            Self::InvalidTree(_) | Self::Unstorable(_) => ExitStatus::InvalidTree,
            Self::Conflict(_) => ExitStatus::Conflict,
            Self::OutcomeUnknown { .. } => ExitStatus::OutcomeUnknown,
            Self::NotFound(_) => ExitStatus::NotFound,
            Self::File { .. }
            | Self::Platform(_)
            | Self::CorruptValue { .. }
            | Self::RetriesExhausted => ExitStatus::Failed,
        }
    }
}

impl Display for ToolError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(message) | Self::NotFound(message) => formatter.write_str(message),
            Self::File { path, cause } => write!(formatter, "{path}: {cause}"),
            Self::InvalidTree(errors) => {
                let count = errors.0.len();
                let faults = if count == 1 { "fault" } else { "faults" };
                write!(formatter, "the tree has {count} {faults}; nothing was changed\n{errors}")
            }
            Self::Unstorable(error) => {
                write!(formatter, "the tree cannot be stored; nothing was changed\n{error}")
            }
            Self::Conflict(conflict) => {
                write!(formatter, "conflict; nothing was changed\n{conflict}")
            }
            Self::Platform(error) => write!(formatter, "the platform's service: {error}"),
            Self::CorruptValue { key, cause } => write!(formatter, "stored value {key}: {cause}"),
            Self::RetriesExhausted => formatter.write_str(
                "the head kept changing, or the store kept answering with an old one; nothing was changed",
            ),
            Self::OutcomeUnknown { version, nonce } => write!(
                formatter,
                "the store's answer was lost: version {version} may or may not be stored; \
                 `coltsfootctl history` shows it with nonce {nonce} if it is"
            ),
        }
    }
}

impl std::error::Error for ToolError {}

impl From<PlatformError> for ToolError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}
