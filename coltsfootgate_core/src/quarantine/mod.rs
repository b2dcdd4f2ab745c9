//! Finds parts of prompts that crash endpoints, and keeps the list of those that are blocked.

mod ledger;
mod list;
mod served;

use crate::ids::PoolId;

pub use ledger::{BlockDecision, CrashLedger, CrashReport, LostRequest};
pub use list::{BlockEntry, BlockList, BlockState, PromptVerdict, QuarantineNotice};
pub use served::{AttemptEnd, AttemptEvidence, SURVIVAL_TIME, ServedParts};

/// Identifies the text of a part of a prompt; equal texts have equal ids.
pub type PartId = u64;

/// Identifies a request by what it asks for and who asks; a repeat of it has the same digest.
pub type RequestDigest = u64;

/// A part of prompts that are sent to one pool.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartKey {
    /// The pool.
    pub pool: PoolId,
    /// The part.
    pub part: PartId,
}
