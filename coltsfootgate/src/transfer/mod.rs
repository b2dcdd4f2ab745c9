//! The transfer of requests and answers, and the memory that is held for them.

mod account;
mod body;
mod connection;
mod framing;
mod reads;

pub use account::{
    DEFAULT_MACHINE_MB, HeldBuffer, MemoryAccount, MemoryFull, MemoryPart, MemoryShare, MemoryUse,
};
pub use body::{PiecedBody, take_frame};
pub use connection::{HttpConnection, SendFailure};
pub use framing::answer_framing;
