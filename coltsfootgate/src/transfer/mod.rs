//! The transfer of answers over HTTP/1.1 connections to endpoints and to the platform.

mod framing;

pub use framing::answer_framing;
