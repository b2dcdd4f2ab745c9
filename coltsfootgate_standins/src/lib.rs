//! Small stand-ins for the systems around coltsfootgate, for tests and load trials.
//!
//! Each stand-in runs on its own thread, in a test process or in a small binary, and is controlled
//! through a [`control::ControlClient`].

pub mod answer_text;
pub mod body;
pub mod control;
pub mod engine;

pub mod http_server;
pub mod load;
pub mod measure;
pub mod platform;
pub mod pool_model;
pub mod proxy;
pub mod raw_server;
pub mod runner;
pub mod service;
pub mod signal;
pub mod slopes;
