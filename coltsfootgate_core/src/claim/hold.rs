//! How long after a claim its claimant may send the request.

use std::time::Duration;

use crate::reason::ErrorKind;

/// A claimed request must be sent within the time for which claims are kept, divided by this
/// number.
pub const SEND_WINDOW_DIVISOR: u32 = 8;

/// The time in which a claimant may send the claimed request.
///
/// Times are read from a clock that keeps running while the process or the machine is suspended,
/// so that a claimant that was suspended does not send under a claim that may have been dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SendWindow {
    requested_at: Duration,
    valid_for: Duration,
}

impl SendWindow {
    /// Opens the send window; `requested_at` is a time before the first request for the claim, and
    /// `window` is how long claims are kept.
    pub fn new(requested_at: Duration, window: Duration) -> Self {
        Self { requested_at, valid_for: window / SEND_WINDOW_DIVISOR }
    }

    /// Checks that the request may be sent at time `now`.
    ///
    /// # Errors
    ///
    /// `ClaimExpired` if the send window has ended.
    pub fn check_send(&self, now: Duration) -> Result<(), ErrorKind> {
        if now.saturating_sub(self.requested_at) < self.valid_for {
            Ok(())
        } else {
            Err(ErrorKind::ClaimExpired)
        }
    }
}
