//! Counts an owner's decisions, which explain why requests wait while others are granted.

/// Why a request got no endpoint; later variants are closer to a grant.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DeferralCause {
    /// No endpoint that the request may use has a free slot.
    NoSlot,
    /// The room that is free is kept for requests of higher ranks.
    NoHeadroom,
    /// The KV cache of every engine with a free slot is reserved.
    KvCacheFull,
    /// Every engine with room has too many prompts to prefill before this one.
    PrefillBacklog,
    /// The prefill would delay the tokens of running requests.
    DelaysOthers,
}

impl DeferralCause {
    /// All causes.
    pub const ALL: [Self; 5] = [
        Self::NoSlot,
        Self::NoHeadroom,
        Self::KvCacheFull,
        Self::PrefillBacklog,
        Self::DelaysOthers,
    ];

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoSlot => "no-slot",
            Self::NoHeadroom => "no-headroom",
            Self::KvCacheFull => "kv-cache-full",
            Self::PrefillBacklog => "prefill-backlog",
            Self::DelaysOthers => "delays-others",
        }
    }
}

/// Counts of an owner's decisions since it was created.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OwnerActivity {
    /// Grants issued.
    pub grants: u64,
    /// Grants issued while a request of a higher rank waited, other than by a floor.
    pub overtaking_grants: u64,
    /// Failed placement attempts of waiting requests, in the order of [`DeferralCause::ALL`].
    pub deferrals: [u64; DeferralCause::ALL.len()],
    /// Grants that their requesters did not hold any more although they had not returned them.
    pub lost_grants: u64,
    /// Requests refused since their answers were expected to end after their deadlines.
    pub late_refusals: u64,
    /// Failed attempts that showed a lost path of their requester, not a fault of the endpoint.
    pub path_faults: u64,
}

impl OwnerActivity {
    /// Counts a grant.
    pub fn record_grant(&mut self, is_overtaking: bool) {
        self.grants += 1;
        self.overtaking_grants += u64::from(is_overtaking);
    }

    /// Counts a failed placement attempt.
    pub fn record_deferral(&mut self, cause: DeferralCause) {
        self.deferrals[cause as usize] += 1;
    }

    /// Counts a grant that its requester does not hold any more.
    pub fn record_lost_grant(&mut self) {
        self.lost_grants += 1;
    }

    /// Counts a request whose answer would be late.
    pub fn record_late_refusal(&mut self) {
        self.late_refusals += 1;
    }

    /// Counts a failed attempt that shows a lost path of its requester.
    pub fn record_path_fault(&mut self) {
        self.path_faults += 1;
    }

    /// The counts since an earlier state of the same owner.
    pub fn since(&self, earlier: &Self) -> Self {
        let deferrals = std::array::from_fn(|index| {
            self.deferrals[index].saturating_sub(earlier.deferrals[index])
        });
        Self {
            grants: self.grants.saturating_sub(earlier.grants),
            overtaking_grants: self.overtaking_grants.saturating_sub(earlier.overtaking_grants),
            deferrals,
            lost_grants: self.lost_grants.saturating_sub(earlier.lost_grants),
            late_refusals: self.late_refusals.saturating_sub(earlier.late_refusals),
            path_faults: self.path_faults.saturating_sub(earlier.path_faults),
        }
    }
}
