//! Finds what crashes endpoints, parts of prompts or whole requests, and keeps the list of what is blocked.

mod kept;
mod ledger;
mod list;
mod served;
mod suspect;

use std::fmt::{self, Display, Formatter};

use crate::ids::PoolId;

pub use kept::KeptReports;
pub use ledger::{BlockDecision, CrashLedger, CrashReport, LostRequest};
pub use list::{BlockEntry, BlockList, BlockState, QuarantineNotice, SendVerdict};
pub use served::{AttemptEnd, AttemptEvidence, SURVIVAL_TIME, ServedCauses};

/// Identifies the text of a part of a prompt; equal texts have equal ids.
pub type PartId = u64;

/// Identifies a request by what it asks for and who asks; a repeat of it has the same digest.
pub type RequestDigest = u64;

/// What may crash each endpoint that begins to run a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CrashCause {
    /// A part of the prompt, which other requests may have as well.
    Part(PartId),
    /// The whole request, which may be repeated.
    Request(RequestDigest),
}

/// A possible cause of crashes of one pool's endpoints.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CauseKey {
    /// The pool.
    pub pool: PoolId,
    /// The cause.
    pub cause: CrashCause,
}

impl Display for CrashCause {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(formatter, "prompt part {part:x}"),
            Self::Request(digest) => write!(formatter, "request {digest:016x}"),
        }
    }
}
