//! Claims on idempotency keys, which ensure that a non-repeatable request runs at most once.
//!
//! A claim is made before a request is sent and is kept for a time window. Keys are hashed to
//! pages; a page is one value in the platform's key-value service and changes only by
//! compare-and-swap, so two instances that both act as its owner cannot both claim a key.

pub mod hold;
pub mod key;
pub mod owner;
pub mod page;
