//! The task that takes the lease on the duties and carries them out while it holds it.

use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use monoio::time::timeout;

use coltsfootgate_core::duty::DutyToken;
use coltsfootgate_core::duty::lease::{DutyLease, LeaseStep, LeaseTerms};
use coltsfootgate_core::duty::report::{ReportBook, ReportStep, ReportTerms, UsageRecord};
use coltsfootgate_core::duty::scale::{OrderResult, ReplicaOrder};
use coltsfootgate_core::duty::usage::{UsageCounts, UsageMeter, WindowCoverage, WindowNumber};
use coltsfootgate_core::ids::{InstanceId, PoolId};
use coltsfootgate_core::routing::OwnerSet;

use super::board::UsageBoard;
use super::orders::OrderBook;
use super::poll::UsagePoller;
use super::status::DutyStatus;
use super::stored::{LEASE_KEY, StoredHolder, USAGE_KEY, parse_usage, stored_form, usage_value};
use super::{ChangeResult, DutyAnswer, DutyPlan, DutyPlatform, StoreChange, StoreLease, StorePut};
use crate::clock;
use crate::endpoints::SharedRoster;
use crate::members::{MemberView, MembersHandle};
use crate::metrics::DutyMetrics;
use crate::peer::PeerHandle;
use crate::platform::{PlatformError, ValueRevision};
use crate::shutdown::ShutdownSignal;
use crate::tree::TreeHandle;

/// Interval between steps.
const STEP_PERIOD: Duration = Duration::from_millis(100);
/// Time limit of a call that only the holder makes, and of its calls to the store.
const CALL_TIME: Duration = Duration::from_millis(500);
/// Interval between two calls of which the first failed.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Longest time for which a new holder waits to hear half of the instances, whose clocks it needs.
const HEAR_TIME: Duration = Duration::from_secs(2);
/// The name by which candidates are ordered.
const RANKING_NAME: &str = "duties";

/// What the task needs of its instance.
pub struct DutyContext {
    /// This instance.
    pub own: InstanceId,
    /// The live instances.
    pub members: MembersHandle,
    /// The connections to them.
    pub peers: PeerHandle,
    /// The settings in force.
    pub tree: TreeHandle,
    /// The replicas that announced themselves.
    pub roster: SharedRoster,
    /// What this instance counted.
    pub board: UsageBoard,
    /// What operators see.
    pub status: DutyStatus,
    /// The metrics of the duties.
    pub metrics: DutyMetrics,
    /// The shutdown of this process.
    pub shutdown: ShutdownSignal,
}

/// Holds the lease, or waits for it, and carries out the duties.
pub struct DutyTask<P> {
    plan: DutyPlan,
    platform: P,
    context: DutyContext,
    poller: UsagePoller,
    meter: UsageMeter,
    lease: DutyLease,
    /// The view by which the candidates were ordered, and the place of this instance among them.
    ranked: Option<(Rc<MemberView>, Option<usize>)>,
    held: Option<HeldKeys>,
    orders: OrderBook,
    /// Until when no further call is made, since the last one failed.
    paused_until: Duration,
}

/// What the holder knows of its keys in the store.
struct HeldKeys {
    lease: StoreLease,
    lease_revision: ValueRevision,
    acting_since: Option<Duration>,
    reports: Option<HeldReports>,
}

struct HeldReports {
    book: ReportBook,
    record_revision: ValueRevision,
}

impl<P: DutyPlatform> DutyTask<P> {
    /// Creates the task of an instance that starts now.
    pub fn new(plan: DutyPlan, platform: P, context: DutyContext) -> Self {
        let terms = LeaseTerms {
            ttl: plan.lease_time * 2 / 3,
            call_time: CALL_TIME,
            rest: plan.lease_time,
        };
        let poller = UsagePoller::new(
            context.own.clone(),
            context.board.clone(),
            context.members.clone(),
            context.peers.clone(),
        );
        let window = plan.reports.map_or(HEAR_TIME, |terms| terms.window);
        Self {
            plan,
            platform,
            context,
            poller,
            meter: UsageMeter::new(window),
            lease: DutyLease::new(terms, clock::boot_time()),
            ranked: None,
            held: None,
            orders: OrderBook::new(),
            paused_until: Duration::ZERO,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let shutdown = self.context.shutdown.clone();
        loop {
            let is_leaving = timeout(STEP_PERIOD, shutdown.started()).await.is_ok();
            if is_leaving {
                if self.held.is_some() {
                    self.release().await;
                }
                self.context.status.set_place(None);
                return;
            }
            self.step().await;
        }
    }

    async fn step(&mut self) {
        let now = clock::boot_time();
        self.lease.observe_era(self.platform.era(), now);
        let place = self.place();
        self.context.status.set_place(place);
        match self.lease.step(place, now) {
            LeaseStep::Wait => {}
            LeaseStep::Look => self.look(place.unwrap_or_default()).await,
            LeaseStep::Take => self.take(place.unwrap_or_default()).await,
            LeaseStep::Renew => self.renew().await,
            LeaseStep::Release => self.release().await,
        }
        if self.lease.held_token().is_none() {
            self.held = None;
        }
        self.poller.collect(&mut self.meter);
        if place.is_some() || self.held.is_some() {
            self.poller.poll(&mut self.meter, clock::boot_time());
        }
        let token = self.lease.token(clock::boot_time());
        self.context.status.set_token(self.lease.held_token(), token.is_some());
        self.context.metrics.set_token(self.lease.held_token());
        if let Some(token) = token {
            self.act(token).await;
        }
    }

    /// The place of this instance in the order of the candidates.
    fn place(&mut self) -> Option<usize> {
        let view = self.context.members.view();
        if let Some((known, place)) = &self.ranked
            && Rc::ptr_eq(known, &view)
        {
            return *place;
        }
        let live = view.locations.iter().filter(|location| view.live.contains(&location.owner));
        let set = OwnerSet::new(live.cloned());
        let ranked = set.ranked_strongest(RANKING_NAME);
        let place = ranked.into_iter().position(|instance| *instance == self.context.own);
        let place = place.filter(|place| *place < coltsfootgate_core::duty::lease::CANDIDATE_COUNT);
        self.ranked = Some((view, place));
        place
    }

    async fn look(&mut self, place: usize) {
        let read = timeout(CALL_TIME, self.platform.read(LEASE_KEY)).await;
        let now = clock::boot_time();
        self.lease.observe_era(self.platform.era(), now);
        match read {
            Ok(Ok(value)) => self.lease.looked(value.is_none(), place, now),
            Ok(Err(_)) | Err(_) => self.lease.looked(false, place, now),
        }
    }

    async fn take(&mut self, place: usize) {
        let sent = clock::boot_time();
        match timeout(CALL_TIME * 2, self.try_take()).await {
            Ok(Some((lease, revision, era))) => {
                let now = clock::boot_time();
                self.lease.taken(revision, era, sent, now);
                self.held = Some(HeldKeys {
                    lease,
                    lease_revision: revision,
                    acting_since: None,
                    reports: None,
                });
                let token = self.lease.held_token().unwrap_or_default();
                info!("took the lease on the duties with token {token}");
            }
            Ok(None) | Err(_) => self.lease.not_taken(place, clock::boot_time()),
        }
    }

    async fn try_take(&self) -> Option<(StoreLease, ValueRevision, u64)> {
        let ttl = self.plan.lease_time * 2 / 3;
        let lease = self.platform.create_lease(ttl).await.ok()?;
        let change = StoreChange {
            expect: vec![(LEASE_KEY.into(), 0)],
            puts: vec![self.lease_put(lease)?],
            remove: Vec::new(),
        };
        match self.platform.change(change).await {
            Ok(ChangeResult::Made(revision, era)) => Some((lease, revision, era)),
            Ok(ChangeResult::Conflict) | Err(_) => None,
        }
    }

    fn lease_put(&self, lease: StoreLease) -> Option<StorePut> {
        let holder = StoredHolder { instance: self.context.own.clone() };
        let value = stored_form(&holder).ok()?;
        Some(StorePut { key: LEASE_KEY.into(), value, lease: Some(lease) })
    }

    async fn renew(&mut self) {
        let Some(held) = &self.held else { return };
        let sent = clock::boot_time();
        let renewed = timeout(CALL_TIME, self.platform.renew_lease(held.lease)).await;
        let now = clock::boot_time();
        match renewed {
            Ok(Ok(true)) => self.lease.renewed(sent),
            Ok(Ok(false)) => self.lose("the store has ended it"),
            Ok(Err(_)) | Err(_) => self.lease.not_renewed(now),
        }
        self.lease.observe_era(self.platform.era(), now);
    }

    /// Gives the lease up. It counts as lost before the store is told.
    async fn release(&mut self) {
        let Some(held) = self.held.take() else { return };
        self.lose("this instance gives it up");
        let change = StoreChange {
            expect: vec![(LEASE_KEY.into(), held.lease_revision)],
            puts: Vec::new(),
            remove: vec![LEASE_KEY.into()],
        };
        // If this fails, the lease expires.
        let _ = timeout(CALL_TIME, self.platform.change(change)).await;
    }

    fn lose(&mut self, cause: &str) {
        info!("the lease on the duties is over: {cause}");
        self.lease.lose(clock::boot_time());
        self.held = None;
    }

    /// Makes at most one call, so that renewals are not delayed.
    async fn act(&mut self, token: DutyToken) {
        let now = clock::boot_time();
        let Some(held) = &mut self.held else { return };
        let since = *held.acting_since.get_or_insert(now);
        let instances = self.poller.instances();
        let is_heard = self.meter.heard(now) * 2 > instances.len();
        if !is_heard && now < since + HEAR_TIME {
            return;
        }
        if let Some(tree) = self.context.tree.current().filter(|_| self.plan.orders_replicas) {
            let DutyContext { roster, status, metrics, .. } = &self.context;
            self.orders.observe(&tree, roster, &self.poller, status, metrics, now);
        }
        if now < self.paused_until {
            return;
        }
        if let Some(terms) = self.plan.reports
            && self.report(terms, token, &instances).await
        {
            return;
        }
        if self.plan.orders_replicas {
            self.order(token).await;
        }
    }

    /// Takes the next step of the reports of usage; returns whether there was one.
    async fn report(
        &mut self,
        terms: ReportTerms,
        token: DutyToken,
        instances: &[InstanceId],
    ) -> bool {
        let now = clock::boot_time();
        let Some(now_true) = self.meter.true_time(now, now) else { return false };
        let current = self.meter.window_at(now_true);
        let Some(held) = &mut self.held else { return false };
        let Some(reports) = &mut held.reports else {
            self.take_over_reports(terms, current).await;
            return true;
        };
        let next = reports.book.next_window();
        let ended = now_true.checked_sub(self.meter.window_end(next));
        let coverage = match ended {
            Some(_) => self.meter.coverage(next, instances, now),
            None => WindowCoverage { is_complete: false, missing_share: 1.0 },
        };
        let meter = &self.meter;
        match reports.book.step(ended, coverage, || meter.counts(next)) {
            ReportStep::Wait => false,
            ReportStep::Store(record) => {
                self.store_record(record, coverage).await;
                true
            }
            ReportStep::Send(window, counts) => {
                self.send_report(token, window, counts).await;
                true
            }
        }
    }

    async fn take_over_reports(&mut self, terms: ReportTerms, current: WindowNumber) {
        match self.read_record().await {
            Ok((record, record_revision)) => {
                let book = ReportBook::take_over(terms, record, self.lease.era(), current);
                info!("reports of usage go on with window {}", book.next_window());
                if let Some(held) = &mut self.held {
                    held.reports = Some(HeldReports { book, record_revision });
                }
            }
            Err(error) => self.pause("could not read the record of reports", &error),
        }
    }

    async fn read_record(&self) -> Result<(Option<UsageRecord>, ValueRevision), PlatformError> {
        let read = timeout(CALL_TIME, self.platform.read(USAGE_KEY)).await;
        let Some(stored) = read.map_err(|_| PlatformError::TimedOut(CALL_TIME))?? else {
            return Ok((None, 0));
        };
        match parse_usage(&stored.value) {
            Ok(record) => Ok((Some(record), stored.revision)),
            Err(error) => {
                // What it held may have been reported: it is replaced as one of another era.
                warn!("the record of reports is malformed: {error}");
                Ok((None, stored.revision))
            }
        }
    }

    async fn store_record(&mut self, record: UsageRecord, coverage: WindowCoverage) {
        let Some(HeldKeys { lease_revision, reports: Some(reports), .. }) = &self.held else {
            return;
        };
        let Ok(value) = usage_value(&record) else { return };
        let put = StorePut { key: USAGE_KEY.into(), value, lease: None };
        let change = StoreChange {
            expect: vec![
                (LEASE_KEY.into(), *lease_revision),
                (USAGE_KEY.into(), reports.record_revision),
            ],
            puts: vec![put],
            remove: Vec::new(),
        };
        let changed = timeout(CALL_TIME, self.platform.change(change)).await;
        match changed.unwrap_or(Err(PlatformError::TimedOut(CALL_TIME))) {
            Ok(ChangeResult::Made(revision, era)) => {
                self.lease.observe_era(era, clock::boot_time());
                self.record_stored(revision);
                info!(
                    "window {} is fixed; {:.3} of the instances are not known well",
                    record.next - 1,
                    coverage.missing_share
                );
            }
            Ok(ChangeResult::Conflict) => self.compare_record(&record).await,
            Err(error) => self.pause("could not store the record of reports", &error),
        }
    }

    /// Finds out whether an earlier write of the record took effect unseen.
    async fn compare_record(&mut self, record: &UsageRecord) {
        match self.read_record().await {
            Ok((Some(stored), revision)) if stored == *record => self.record_stored(revision),
            Ok(_) => self.lose("another instance wrote the record of reports"),
            Err(error) => self.pause("could not read the record of reports", &error),
        }
    }

    fn record_stored(&mut self, revision: ValueRevision) {
        if let Some(HeldKeys { reports: Some(reports), .. }) = &mut self.held {
            reports.record_revision = revision;
            reports.book.stored();
        }
    }

    async fn send_report(&mut self, token: DutyToken, window: WindowNumber, counts: UsageCounts) {
        let report = self.platform.report_usage(token, window, &counts);
        let answer = timeout(CALL_TIME, report).await;
        match answer.unwrap_or(Err(PlatformError::TimedOut(CALL_TIME))) {
            Ok(DutyAnswer::Accepted) => {
                let requests: u64 = counts.values().sum();
                info!(
                    "reported window {window}: {requests} requests of {} customers",
                    counts.len()
                );
                self.context.metrics.called("usage", "accepted");
                self.context.status.add_report(window, &counts);
                if let Some(HeldKeys { reports: Some(reports), .. }) = &mut self.held {
                    reports.book.finished(window);
                }
            }
            Ok(DutyAnswer::Conflict) => {
                self.context.metrics.called("usage", "refused");
                self.lose("the platform has seen a higher token");
            }
            Err(error) => {
                self.context.metrics.called("usage", "error");
                self.pause("could not report usage", &error);
            }
        }
    }

    async fn order(&mut self, token: DutyToken) {
        let Some(tree) = self.context.tree.current() else { return };
        let next = self.orders.next_order(&tree, clock::boot_time());
        let Some((pool, order, may_be_overtaken)) = next else { return };
        if may_be_overtaken {
            // With a higher token, the earlier order is refused when it is carried out late.
            return self.raise_token(&pool, &order).await;
        }
        let answer = timeout(CALL_TIME, self.platform.order_replicas(token, &pool, &order)).await;
        let result = match answer.unwrap_or(Err(PlatformError::TimedOut(CALL_TIME))) {
            Ok(DutyAnswer::Accepted) => OrderResult::Accepted,
            Ok(DutyAnswer::Conflict) => OrderResult::Unavailable,
            Err(error) if error.may_have_written() => OrderResult::Unknown,
            Err(_) => OrderResult::NotDone,
        };
        self.context.metrics.called("replicas", order_result_name(result));
        self.orders.ordered(&pool, &order, result, clock::boot_time());
    }

    /// Writes the lease again, so that its revision and with it the token rises.
    async fn raise_token(&mut self, pool: &PoolId, order: &ReplicaOrder) {
        let Some(held) = &self.held else { return };
        let Some(put) = self.lease_put(held.lease) else { return };
        let change = StoreChange {
            expect: vec![(LEASE_KEY.into(), held.lease_revision)],
            puts: vec![put],
            remove: Vec::new(),
        };
        match timeout(CALL_TIME, self.platform.change(change)).await {
            Ok(Ok(ChangeResult::Made(revision, era))) => {
                self.lease.raised(revision, era, clock::boot_time());
                if let Some(held) = &mut self.held {
                    held.lease_revision = revision;
                }
                self.orders.settle(pool, order);
            }
            // Whether the token was raised is not known, so this lease is not used any more.
            Ok(Ok(ChangeResult::Conflict) | Err(_)) | Err(_) => {
                self.lose("its token could not be raised");
            }
        }
    }

    fn pause(&mut self, what: &str, error: &PlatformError) {
        warn!("{what}: {error}");
        self.paused_until = clock::boot_time() + RETRY_DELAY;
    }
}

fn order_result_name(result: OrderResult) -> &'static str {
    match result {
        OrderResult::Accepted => "accepted",
        OrderResult::Unavailable => "refused",
        OrderResult::NotDone => "error",
        OrderResult::Unknown => "unknown",
    }
}
