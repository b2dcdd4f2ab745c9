//! Small stand-ins of the systems around coltsfootgate, for tests and trials.
//!
//! Each stand-in runs on a thread of its own, either in a test process or in a thin binary, and is
//! steered through a [`control::ControlClient`].

pub mod answer_text;
pub mod body;
pub mod control;
pub mod engine;

pub mod http_server;
pub mod load;
pub mod measure;
pub mod platform;
pub mod proxy;
pub mod runner;
pub mod service;
pub mod signal;
pub mod slopes;
