//! Records how claimed requests ended, after the answers were sent to the callers.

use std::time::{Duration, Instant};

use log::warn;

use coltsfootgate_core::claim::page::{ClaimChange, ClaimSettlement, ClaimVerdict};

use super::peers::ClaimPeers;
use super::route::ClaimRouter;

/// Timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a settlement is retried; after that the key stays claimed for its window.
const SETTLEMENT_TIMEOUT: Duration = Duration::from_secs(600);
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of settlements that are not recorded yet.
const SETTLEMENTS_MAX: usize = 4096;

impl<P: ClaimPeers> ClaimRouter<P> {
    /// Records how a claimed request ended, in a task of its own.
    pub fn start_settlement(&self, settlement: ClaimSettlement) {
        let count = &self.claims.0.open_settlements;
        if count.get() >= SETTLEMENTS_MAX {
            warn!("claims: {SETTLEMENTS_MAX} settlements are already pending; a key stays claimed");
            return;
        }
        count.set(count.get() + 1);
        let router = self.clone();
        monoio::spawn(async move {
            router.settle_until_recorded(settlement).await;
            let count = &router.claims.0.open_settlements;
            count.set(count.get() - 1);
        });
    }

    async fn settle_until_recorded(&self, settlement: ClaimSettlement) {
        let deadline = Instant::now() + SETTLEMENT_TIMEOUT;
        while Instant::now() < deadline {
            let change = ClaimChange::Settle(settlement.clone());
            let verdict = self.change(change, Instant::now() + ATTEMPT_TIMEOUT).await;
            if verdict == ClaimVerdict::Settled {
                return;
            }
            monoio::time::sleep(RETRY_DELAY).await;
        }
        warn!("claims: a settlement was not recorded before its timeout; its key stays claimed");
    }
}
