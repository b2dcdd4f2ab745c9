//! The operators' command-line tool, as a library that each platform's binary calls.

pub mod arguments;
pub mod commands;
pub mod commit;
pub mod dialect;
pub mod error;
pub mod instance;
mod log_reader;
pub mod report;
pub mod rollout;
mod run;
pub mod settings;
pub mod tree_store;

pub use self::run::run;
