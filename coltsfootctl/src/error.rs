//! The errors of the tool and their exit codes.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use coltsfootgate_config::{ConfigErrors, MergeConflict, PartsError};
use coltsfootgate_core::ids::ConfigVersion;
use error_stack::Report;

use coltsfootgate::platform::PlatformError;

/// A result of the tool.
pub type ToolResult<T> = Result<T, Report<ToolError>>;

/// The exit code of the tool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The platform or a file could not be read, or a commit ran out of attempts; nothing was
    /// changed.
    Failed = 1,
    /// A flag or an environment variable is invalid.
    Usage = 2,
    /// The tree is invalid; nothing was changed.
    InvalidTree = 3,
    /// Another operator changed the same branch; nothing was changed.
    Conflict = 4,
    /// The change is stored, but not confirmed to be in force on every live instance.
    NotInForce = 5,
    /// It is unknown whether the change was stored.
    OutcomeUnknown = 6,
    /// The requested branch, version, customer or request does not exist.
    NotFound = 7,
}

/// Why a command failed.
#[derive(Clone, Debug)]
pub enum ToolError {
    /// A flag or an environment variable is invalid.
    Usage(String),
    /// A file could not be read.
    File {
        /// The path.
        path: String,
        /// The cause.
        cause: String,
    },
    /// The tree is invalid.
    InvalidTree(ConfigErrors),
    /// The tree cannot be split into values that the store allows.
    Unstorable(PartsError),
    /// Another operator changed the same branches.
    Conflict(MergeConflict),
    /// A call to the platform failed.
    Platform(PlatformError),
    /// A stored value is missing, cannot be parsed, or does not match its digest.
    CorruptValue {
        /// The key of the value.
        key: String,
        /// The cause.
        cause: String,
    },
    /// Every attempt to swap the head met another operator's change or an outdated read.
    RetriesExhausted,
    /// The response to the swap of the head was lost, and its outcome could not be determined.
    OutcomeUnknown {
        /// The version that may have been stored.
        version: ConfigVersion,
        /// The nonce that identifies the head in the store.
        nonce: Arc<str>,
    },
    /// The requested branch, version, customer or request does not exist.
    NotFound(String),
}

impl ToolError {
    /// The exit code for the error.
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
            Self::File { path, cause } => write!(formatter, "{path} could not be read: {cause}"),
            Self::InvalidTree(errors) => {
                let count = errors.0.len();
                let faults = if count == 1 { "fault" } else { "faults" };
                write!(formatter, "the tree has {count} {faults}; nothing was changed\n{errors}")
            }
            Self::Unstorable(error) => {
                write!(formatter, "the tree cannot be stored; nothing was changed\n{error}")
            }
            Self::Conflict(conflict) => {
                let summary = "the change conflicts with another operator's; nothing was changed";
                write!(formatter, "{summary}\n{conflict}")
            }
            Self::Platform(error) => {
                write!(formatter, "the call to the platform's service failed: {error}")
            }
            Self::CorruptValue { key, cause } => {
                write!(formatter, "invalid stored value {key}: {cause}")
            }
            Self::RetriesExhausted => formatter.write_str(
                "the head kept changing, or the store kept serving an outdated one; \
                 nothing was changed",
            ),
            Self::OutcomeUnknown { version, nonce } => write!(
                formatter,
                "the store's response was lost: version {version} may or may not be stored; \
                 if it is, `coltsfootctl history` lists it with nonce {nonce}"
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
