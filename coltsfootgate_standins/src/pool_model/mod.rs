//! Simulates one pool of model engines with its entries and owners, to compare who decides about placement.
//!
//! Entries and owners run the decisions of the product; engines, links and processors are models. There is no
//! I/O, and equal seeds give equal runs.

mod answers;
mod control;
mod engine;
mod entries;
mod fleet;
mod load;
mod outcome;
mod owners;
mod profiles;
pub mod report;
mod requests;

pub use self::control::{ControlCosts, InstanceProfile};
pub use self::engine::{EngineModel, EngineOutput, EngineProfile};
pub use self::fleet::{Assignment, FleetProfile, OwnerFreeze, run_pool};
pub use self::load::{ClassProfile, LoadBurst, ModelRequest, PartLevel, SizeSpread, generate_load};
pub use self::outcome::{ClassOutcome, PoolOutcome};
pub use self::profiles::{long_answers, review_and_chat};

/// Time since the start of a run.
pub type ModelTime = std::time::Duration;
/// Index of a request in the load of a run.
pub type RequestIndex = usize;
