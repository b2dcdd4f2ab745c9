//! Numbers of waiting requests by rank, which entry instances compare with their own requests.

use super::event::QueueRank;
use crate::ids::{RequestTier, TIER_COUNT};

/// Number of waiting requests of each rank.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitingCounts {
    /// By tier, then by the tier that the class configures, highest first.
    by_rank: [[u32; TIER_COUNT]; TIER_COUNT],
}

impl WaitingCounts {
    /// Adds waiting requests of a rank.
    pub fn add(&mut self, (tier, stated_tier): QueueRank, count: u32) {
        let waiting = &mut self.by_rank[tier.index()][stated_tier.index()];
        *waiting = waiting.saturating_add(count);
    }

    /// Number of waiting requests by tier, highest first.
    pub fn by_tier(&self) -> [u32; TIER_COUNT] {
        self.by_rank.map(|tier| tier.iter().sum())
    }

    /// Number of waiting requests of this rank and higher ones.
    pub fn before(&self, rank: QueueRank) -> u32 {
        self.ranks().filter(|(waiting, _)| *waiting <= rank).map(|(_, count)| count).sum()
    }

    /// Whether a request of a lower rank is waiting.
    pub fn is_any_below(&self, rank: QueueRank) -> bool {
        self.ranks().any(|(waiting, _)| waiting > rank)
    }

    /// The highest rank that has waiting requests.
    pub fn highest(&self) -> Option<QueueRank> {
        self.ranks().next().map(|(rank, _)| rank)
    }

    /// The ranks that have waiting requests with their numbers, highest first.
    pub fn ranks(&self) -> impl Iterator<Item = (QueueRank, u32)> {
        RequestTier::all()
            .flat_map(|tier| RequestTier::all().map(move |stated_tier| (tier, stated_tier)))
            .map(|rank @ (tier, stated_tier)| {
                (rank, self.by_rank[tier.index()][stated_tier.index()])
            })
            .filter(|(_, count)| *count > 0)
    }
}
