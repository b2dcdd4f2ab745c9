//! The stages that process a request, each with one input and one output type.
//!
//! accept → identify → classify → resume → limit → claim → quarantine → admit → dispatch → relay → settle

pub mod admit;
pub mod budget;
pub mod claim;
pub mod classify;
pub mod context;
mod digest;
pub mod dispatch;
pub mod exchange;
pub mod gate;
mod guard;
pub mod identify;
pub mod journal;
pub mod lease;
pub mod limit;
mod quarantine;
pub mod record;
pub mod relay;
mod reroute;
pub mod resume;
pub mod route;
pub mod settle;

pub use budget::BudgetTable;
pub use context::{GrantCounter, PipelineContext};
pub use gate::PipelineHandler;
pub use record::DecisionRecord;
