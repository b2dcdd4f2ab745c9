//! The transfer of answers over HTTP/1.1 connections to endpoints and to the platform.

mod budget;
mod connection;
mod framing;
mod reads;

pub use budget::{BufferBudget, BufferShare};
pub use connection::{HttpConnection, SendFailure};
pub use framing::answer_framing;
