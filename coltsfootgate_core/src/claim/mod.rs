//! Claims on idempotency keys, by which a request that must not repeat runs at most once.
//!
//! A claim is made before a request is sent and kept for a window. Keys hash to pages; a page is
//! one value of the platform's key-value service and changes by compare-and-swap only, so two
//! instances that both take themselves for its owner cannot both claim a key.

pub mod hold;
pub mod key;
pub mod owner;
pub mod page;
