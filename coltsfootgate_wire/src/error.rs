//! Errors of encoding and decoding messages.

use std::error::Error;
use std::fmt::{self, Display, Formatter};

/// Why a message cannot be encoded or was rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WireError {
    /// The message exceeds the size limit; contains its size in bytes.
    TooLarge(usize),
    /// The bytes do not encode a message, or a message cannot be encoded.
    Malformed(String),
    /// A field has an invalid value; contains the name of the field.
    WrongValue(&'static str),
}

impl Display for WireError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(bytes) => {
                write!(formatter, "message of {bytes} bytes exceeds the size limit")
            }
            Self::Malformed(cause) => write!(formatter, "malformed message: {cause}"),
            Self::WrongValue(field) => write!(formatter, "invalid value of {field}"),
        }
    }
}

impl Error for WireError {}
