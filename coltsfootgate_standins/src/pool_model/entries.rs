//! Placement by entries on their own, from the load of engines that they know with a delay.

use std::time::Duration;

use coltsfootgate_core::prompt::shared_parts;
use coltsfootgate_core::rendezvous::stable_hash;

use super::fleet::{EngineLoadReport, PoolFleet};
use super::{ModelTime, RequestIndex};

/// Interval at which engines report their load.
const REPORT_PERIOD: Duration = Duration::from_millis(50);
/// Largest random addition to the cost of an engine, in seconds.
const JITTER_MAX: f64 = 0.01;
/// Time of prefilling a shared part elsewhere, relative to the prefill itself.
const SHARED_PART_COST: f64 = 2.0;

impl PoolFleet<'_> {
    /// Chooses the engine with the shortest expected wait, as an entry knows it.
    pub(super) fn choose_engine(
        &mut self,
        index: RequestIndex,
        lag: Duration,
        now: ModelTime,
    ) -> usize {
        self.report_loads(now);
        let known = self.known_loads.iter().rev().find(|(at, _)| *at + lag <= now);
        let idle = vec![EngineLoadReport::default(); self.engines.len()];
        let loads = known.map_or(&idle, |(_, loads)| loads);
        let shared = shared_parts(&self.load[index].parts);
        let tokens: u32 = shared.iter().map(|part| part.tokens).sum();
        let part = shared.last().map_or(0, |part| part.id);
        let home = (0..self.engines.len()).max_by_key(|engine| mixed(part, *engine));
        let rate = self.profile.engine.prefill_rate;
        let slots = self.profile.engine.slots as f64;
        let random = stable_hash(&index.to_le_bytes());
        let cost = |engine: usize| {
            let EngineLoadReport { requests, backlog } = loads[engine];
            let is_home = home == Some(engine);
            let again = if is_home { 0.0 } else { f64::from(tokens) / rate * SHARED_PART_COST };
            let full = (requests as f64 / slots).powi(4);
            let jitter = mixed(random, engine) as f64 / u64::MAX as f64 * JITTER_MAX;
            backlog as f64 / rate + again + full + jitter
        };
        let engines = 0..self.engines.len();
        engines.min_by(|one, other| cost(*one).total_cmp(&cost(*other))).unwrap_or(0)
    }

    fn report_loads(&mut self, now: ModelTime) {
        let is_due = self.known_loads.last().is_none_or(|(at, _)| now >= *at + REPORT_PERIOD);
        if is_due {
            let report = |engine: &super::EngineModel| EngineLoadReport {
                requests: engine.load(),
                backlog: engine.prefill_backlog(),
            };
            self.known_loads.push((now, self.engines.iter().map(report).collect()));
        }
    }
}

fn mixed(key: u64, engine: usize) -> u64 {
    stable_hash(&(key ^ stable_hash(&engine.to_le_bytes())).to_le_bytes())
}
