//! The daemon of coltsfootgate: sockets, tasks and the pipeline of requests.

pub mod endpoint;
