//! Why a message of a peer is not taken.

use std::error::Error;
use std::fmt::{self, Display, Formatter};

/// A message that cannot be coded or is not valid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WireError {
    /// The message is larger than allowed; holds its size in bytes.
    TooLarge(usize),
    /// The bytes are not a message.
    Malformed(String),
    /// A field holds a value that is not allowed.
    WrongValue(&'static str),
}

impl Display for WireError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(bytes) => write!(formatter, "message of {bytes} bytes is too large"),
            Self::Malformed(cause) => write!(formatter, "malformed message: {cause}"),
            Self::WrongValue(field) => write!(formatter, "value of {field} is not allowed"),
        }
    }
}

impl Error for WireError {}
