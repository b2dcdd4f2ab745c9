//! The callers' side of the daemon: connections, requests and answers over HTTP/1.1.

pub mod answer;
pub mod caller;
pub mod head;
pub mod listener;
mod pieces;
pub mod request;
mod stall;

pub use answer::{AnswerBody, Refusal};
pub use caller::{CallerDisconnected, CallerLink};
pub use listener::{EntryBounds, EntryListener};
pub use request::AcceptedRequest;
