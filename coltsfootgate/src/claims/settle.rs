//! Recording how claimed requests ended, after the callers have their answers.

use std::time::{Duration, Instant};

use log::warn;

use coltsfootgate_core::claim::page::{ClaimChange, ClaimSettlement, ClaimVerdict};

use super::peers::ClaimPeers;
use super::route::ClaimRouter;

/// How long one try may take.
const TRY_TIME: Duration = Duration::from_secs(5);
/// How long a settlement is tried at all; afterwards the key stays claimed for its window.
const SETTLE_TIME: Duration = Duration::from_secs(600);
/// Delay between two tries.
const TRY_DELAY: Duration = Duration::from_millis(100);
/// How many settlements may be under way.
const SETTLEMENTS_MAX: usize = 4096;

impl<P: ClaimPeers> ClaimRouter<P> {
    /// Records how a claimed request ended, in a task of its own.
    pub fn start_settlement(&self, settlement: ClaimSettlement) {
        let count = &self.claims.0.settlements;
        if count.get() >= SETTLEMENTS_MAX {
            warn!("claims: too many settlements are under way; a key stays claimed");
            return;
        }
        count.set(count.get() + 1);
        let router = self.clone();
        monoio::spawn(async move {
            router.settle_until_recorded(settlement).await;
            let count = &router.claims.0.settlements;
            count.set(count.get() - 1);
        });
    }

    async fn settle_until_recorded(&self, settlement: ClaimSettlement) {
        let until = Instant::now() + SETTLE_TIME;
        while Instant::now() < until {
            let change = ClaimChange::Settle(settlement.clone());
            let verdict = self.change(change, Instant::now() + TRY_TIME).await;
            if verdict == ClaimVerdict::Settled {
                return;
            }
            monoio::time::sleep(TRY_DELAY).await;
        }
        warn!("claims: a settlement was not recorded in time; its key stays claimed");
    }
}
