//! Opens an endpoint that has just started or recovered as fast as it answers well.
//!
//! Load pattern: a pool at its limit gets a replica more, or one back, whose caches are cold. Sent its full share at
//! once, it answers late; opened by time, it stands idle while requests wait. It is opened by its answers: each good
//! one adds a request, so that the number doubles with each round, and each bad one halves it.

/// Requests at a time that an endpoint gets first.
const FIRST_REQUESTS: u32 = 1;
/// Part of its slots that an endpoint gets at least while no other one has a free slot.
const PRESSED_DIVISOR: u32 = 4;

/// How many requests at a time an endpoint may have that is being opened.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OpeningPace {
    /// `None` if the endpoint is fully open.
    requests: Option<u32>,
}

impl OpeningPace {
    /// The pace of an endpoint that has not answered yet.
    pub fn first() -> Self {
        Self { requests: Some(FIRST_REQUESTS) }
    }

    /// Whether the endpoint is fully open.
    pub fn is_open(self) -> bool {
        self.requests.is_none()
    }

    /// Records an answer that came as from other endpoints; at `slots` requests the endpoint is open.
    pub fn record_good(&mut self, slots: u32) {
        self.requests = self.requests.map(|requests| requests + 1).filter(|next| *next < slots);
    }

    /// Records an answer that failed or was slow.
    pub fn record_bad(&mut self) {
        self.requests = self.requests.map(|requests| (requests / 2).max(FIRST_REQUESTS));
    }

    /// How many of its slots the endpoint may use; `is_pressed` if no other one has a free slot.
    pub fn allowed(self, slots: u32, is_pressed: bool) -> u32 {
        let Some(requests) = self.requests else { return slots };
        let least = if is_pressed { slots / PRESSED_DIVISOR } else { 0 };
        requests.max(least).min(slots)
    }
}
