//! The coltsfootgate daemon: network listeners, background tasks and the request pipeline.

pub mod accept;
pub mod claims;
pub mod clock;
pub mod daemon;
pub mod dialect;
pub mod duties;
pub mod endpoint;
pub mod endpoints;
pub mod entry;
pub mod instance;
pub mod limits;
pub mod logging;
pub mod members;
pub mod metrics;
pub mod operators;
pub mod options;
pub mod owner;
pub mod peer;
pub mod pipeline;
pub mod platform;
pub mod quarantine;
pub mod routes;
pub mod shutdown;
pub mod streams;
pub mod transfer;
pub mod tree;
