//! The operator's command-line tool, as a library with a thin `main`.

pub mod arguments;
pub mod commands;
pub mod commit;
pub mod error;
pub mod http;
pub mod instance;
pub mod platform;
pub mod report;
pub mod rollout;
pub mod settings;
pub mod tree_store;
