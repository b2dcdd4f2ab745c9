//! How long a claimant may act on its claim.

use std::time::Duration;

use crate::reason::ErrorKind;

/// The part of the window within which a claimed request must be sent.
pub const SEND_PART: u32 = 8;

/// A claim as its claimant holds it.
///
/// Times are read from a clock that goes on while the process or the machine is paused, so that
/// a claimant that was paused does not send under a claim that may have been dropped since.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimHold {
    asked_at: Duration,
    good_for: Duration,
}

impl ClaimHold {
    /// Begins a hold at the moment before the claim is first asked for.
    pub fn new(asked_at: Duration, window: Duration) -> Self {
        Self { asked_at, good_for: window / SEND_PART }
    }

    /// Checks that the request may be sent at this moment.
    ///
    /// # Errors
    ///
    /// `ClaimExpired` if the claim has grown too old.
    pub fn check_send(&self, now: Duration) -> Result<(), ErrorKind> {
        if now.saturating_sub(self.asked_at) < self.good_for {
            Ok(())
        } else {
            Err(ErrorKind::ClaimExpired)
        }
    }
}
