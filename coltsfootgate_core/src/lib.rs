//! The decision logic of coltsfootgate, as pure functions of state, event and time, without I/O.

pub mod answer;
pub mod attempt;
pub mod calendar;
pub mod claim;
pub mod comeback;
pub mod endpoint_limit;
pub mod estimate;
pub mod freshness;
pub mod gossip;
pub mod head;
pub mod ids;
pub mod limit;
pub mod membership;
pub mod outcome;
pub mod owner;
pub mod prelude;
pub mod prompt;
pub mod quarantine;
pub mod reason;
pub mod rendezvous;
pub mod rest;
pub mod retry;
pub mod roster;
pub mod routing;
pub mod settings;
pub mod stream;
