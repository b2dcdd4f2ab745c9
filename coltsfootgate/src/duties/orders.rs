//! Observes the replicas of the pools that scale, and finds the orders to send.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use log::info;

use coltsfootgate_core::duty::scale::{
    OrderResult, ReplicaKind, ReplicaOrder, ReplicaSubject, ScalePlanner, ScaleSettings, ScaleView,
};
use coltsfootgate_core::ids::PoolId;
use coltsfootgate_core::roster::ReplicaAnnouncement;

use super::poll::UsagePoller;
use super::status::{DutyStatus, ReplicaStatus};
use crate::endpoints::SharedRoster;
use crate::metrics::DutyMetrics;
use crate::tree::ActiveTree;

/// Interval between observations.
const OBSERVE_PERIOD: Duration = Duration::from_millis(500);

/// The planners of all pools that scale.
pub(super) struct OrderBook {
    planners: BTreeMap<PoolId, ScalePlanner>,
    next_observation: Duration,
}

impl OrderBook {
    pub(super) fn new() -> Self {
        Self { planners: BTreeMap::new(), next_observation: Duration::ZERO }
    }

    /// Records what the pools have and need, if it is time.
    pub(super) fn observe(
        &mut self,
        tree: &Rc<ActiveTree>,
        roster: &SharedRoster,
        poller: &UsagePoller,
        status: &DutyStatus,
        metrics: &DutyMetrics,
        now: Duration,
    ) {
        if now < self.next_observation {
            return;
        }
        self.next_observation = now + OBSERVE_PERIOD;
        let pools: Vec<_> = scaled_pools(tree).collect();
        self.planners.retain(|pool, _| pools.iter().any(|(id, _)| *id == pool));
        for (pool, settings) in pools {
            let view = view_of(pool, roster, poller);
            let planner = self.planners.entry(pool.clone()).or_default();
            let replicas = replica_status(planner, settings, &view, now);
            for one in &replicas {
                metrics.set_wanted(pool, &one.zone, one.kind, one.wanted);
            }
            status.set_replicas(pool, replicas);
            planner.observe(view, now);
        }
    }

    /// The next order to send, and whether one that was sent before may still be carried out after it.
    pub(super) fn next_order(
        &self,
        tree: &Rc<ActiveTree>,
        now: Duration,
    ) -> Option<(PoolId, ReplicaOrder, bool)> {
        scaled_pools(tree).find_map(|(pool, settings)| {
            let planner = self.planners.get(pool)?;
            let order = planner.orders(settings, now).into_iter().next()?;
            let may_be_overtaken = planner.may_be_overtaken(&order);
            Some((pool.clone(), order, may_be_overtaken))
        })
    }

    /// Records that earlier orders for the same replicas are refused from now on.
    pub(super) fn settle(&mut self, pool: &PoolId, order: &ReplicaOrder) {
        if let Some(planner) = self.planners.get_mut(pool) {
            planner.settle(order);
        }
    }

    /// Records what became of an order.
    pub(super) fn ordered(
        &mut self,
        pool: &PoolId,
        order: &ReplicaOrder,
        result: OrderResult,
        now: Duration,
    ) {
        info!(
            "ordered {} {} replicas of {pool} in {}: {result:?}",
            order.count,
            order.kind.name(),
            order.zone
        );
        if let Some(planner) = self.planners.get_mut(pool) {
            planner.ordered(order, result, now);
        }
    }
}

fn scaled_pools(tree: &Rc<ActiveTree>) -> impl Iterator<Item = (&PoolId, &ScaleSettings)> {
    tree.tree.pools().filter_map(|pool| Some((&pool.id, pool.scale.as_ref()?)))
}

fn view_of(pool: &PoolId, roster: &SharedRoster, poller: &UsagePoller) -> ScaleView {
    let (running, waiting) = poller.demand(pool);
    let mut view = ScaleView { running, waiting, ..ScaleView::default() };
    for replica in roster.serving(pool) {
        *view.replicas.entry(subject_of(&replica)).or_default() += 1;
        view.slots += replica.slots;
    }
    view
}

fn subject_of(replica: &ReplicaAnnouncement) -> ReplicaSubject {
    let kind = if replica.is_spot { ReplicaKind::Spot } else { ReplicaKind::Regular };
    (replica.zone.clone(), kind)
}

fn replica_status(
    planner: &ScalePlanner,
    settings: &ScaleSettings,
    view: &ScaleView,
    now: Duration,
) -> Vec<ReplicaStatus> {
    let wanted = planner.wanted(settings, now).unwrap_or_else(|| view.replicas.clone());
    let subjects = wanted.keys().chain(view.replicas.keys());
    let subjects: BTreeSet<&ReplicaSubject> = subjects.collect();
    let count =
        |counts: &BTreeMap<ReplicaSubject, u32>, subject| counts.get(subject).copied().unwrap_or(0);
    let rows = subjects.into_iter().map(|subject| ReplicaStatus {
        zone: subject.0.to_string(),
        kind: subject.1.name(),
        present: count(&view.replicas, subject),
        wanted: count(&wanted, subject),
    });
    rows.collect()
}
