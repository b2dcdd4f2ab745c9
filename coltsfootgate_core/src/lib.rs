//! Every decision of coltsfootgate, as pure functions of state, event and time.

pub mod ids;
pub mod outcome;
pub mod prelude;
pub mod reason;
pub mod settings;
