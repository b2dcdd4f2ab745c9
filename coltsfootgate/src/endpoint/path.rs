//! Watches the paths of this instance to the endpoints of each pool.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use log::{info, warn};
use monoio::net::TcpStream;
use monoio::time::{sleep, timeout};

use coltsfootgate_core::path::{PathChange, PathMonitor, SAMPLE_SIZE};
use coltsfootgate_core::prelude::{EndpointId, PoolId};

use crate::metrics::DaemonMetrics;
use crate::routes::RouteTable;

/// Interval at which it is decided whether a path needs a check.
const WATCH_PERIOD: Duration = Duration::from_millis(100);
/// Time limit for an endpoint to accept the connection of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// What this instance knows of its paths to endpoints; clones share the same state.
#[derive(Clone)]
pub struct EndpointPaths(Rc<PathState>);

struct PathState {
    monitors: RefCell<HashMap<PoolId, PathMonitor>>,
    routes: RouteTable,
    metrics: DaemonMetrics,
}

/// A request that waits for the head of its answer, until it is dropped.
pub(super) struct HeadWait {
    path: EndpointPaths,
    pool: PoolId,
}

impl Drop for HeadWait {
    fn drop(&mut self) {
        self.path.update(&self.pool, PathMonitor::end_wait);
    }
}

impl EndpointPaths {
    /// Creates the state of an instance that has reached no endpoint yet.
    pub fn new(routes: RouteTable, metrics: DaemonMetrics) -> Self {
        let monitors = RefCell::default();
        Self(Rc::new(PathState { monitors, routes, metrics }))
    }

    /// Whether this instance reaches no endpoint of a pool.
    pub fn is_lost(&self, pool: &PoolId) -> bool {
        self.0.monitors.borrow().get(pool).is_some_and(PathMonitor::is_lost)
    }

    /// Checks the paths whenever that is needed; never returns.
    pub async fn watch(self) {
        loop {
            sleep(WATCH_PERIOD).await;
            let pools: Vec<PoolId> = self.0.monitors.borrow().keys().cloned().collect();
            pools.iter().for_each(|pool| self.start_check(pool));
        }
    }

    /// Starts a check of the path to a pool if one is due.
    fn start_check(&self, pool: &PoolId) {
        let started = Instant::now();
        let Some(size) = self.update(pool, |monitor| monitor.start_check(started)) else { return };
        let (path, pool) = (self.clone(), pool.clone());
        monoio::spawn(async move {
            if let Some(unreached) = path.find_unreached(&pool, size).await {
                let change = path.update(&pool, |monitor| {
                    monitor.record_failed_check(unreached, started, Instant::now())
                });
                path.report(&pool, change);
            }
        });
    }

    /// Connects to some endpoints of a pool at the same time until one accepts; returns their number if
    /// none does.
    async fn find_unreached(&self, pool: &PoolId, size: usize) -> Option<usize> {
        let sample = self.0.routes.sample_endpoints(pool, size);
        let connects = sample.iter().map(|endpoint| connects(&endpoint.address));
        let mut connects: FuturesUnordered<_> = connects.collect();
        while let Some(is_connected) = connects.next().await {
            if is_connected {
                self.record_reached(pool);
                return None;
            }
        }
        Some(sample.len())
    }

    /// Whether an endpoint of a pool, of some that are chosen at random, accepts a connection of this
    /// instance.
    pub(super) async fn reaches_any(&self, pool: &PoolId) -> bool {
        self.find_unreached(pool, SAMPLE_SIZE).await.is_none()
    }

    /// Whether an endpoint accepts a connection of this instance; `None` if it is not known here, or
    /// this instance reaches no endpoint of its pool.
    pub async fn connects_to(&self, endpoint: &EndpointId) -> Option<bool> {
        let (pool, endpoint) = self.0.routes.find_endpoint(endpoint)?;
        let is_connected = self.check(&pool, &endpoint.address).await;
        (is_connected || !self.is_lost(&pool)).then_some(is_connected)
    }

    /// Whether the endpoint of a pool at an address accepts a connection of this instance.
    pub(super) async fn check(&self, pool: &PoolId, address: &str) -> bool {
        let is_connected = connects(address).await;
        if is_connected {
            self.record_reached(pool);
        }
        is_connected
    }

    /// Records that a request begins to wait for the head of its answer.
    pub(super) fn begin_wait(&self, pool: &PoolId) -> HeadWait {
        self.update(pool, |monitor| monitor.begin_wait(Instant::now()));
        HeadWait { path: self.clone(), pool: pool.clone() }
    }

    /// Records that an endpoint of a pool sent something on an open connection.
    pub(super) fn record_heard(&self, pool: &PoolId) {
        self.update(pool, |monitor| monitor.record_heard(Instant::now()));
    }

    /// Records a connect that succeeded.
    pub(super) fn record_reached(&self, pool: &PoolId) {
        let change = self.update(pool, |monitor| monitor.record_reached(Instant::now()));
        self.report(pool, change);
    }

    /// Records a connect that failed.
    pub(super) fn record_unreached(&self, pool: &PoolId) {
        self.update(pool, PathMonitor::record_unreached);
        self.start_check(pool);
    }

    fn update<T>(&self, pool: &PoolId, change: impl FnOnce(&mut PathMonitor) -> T) -> T {
        let mut monitors = self.0.monitors.borrow_mut();
        if let Some(monitor) = monitors.get_mut(pool) {
            return change(monitor);
        }
        change(monitors.entry(pool.clone()).or_default())
    }

    fn report(&self, pool: &PoolId, change: Option<PathChange>) {
        match change {
            Some(PathChange::Lost { unreached, silence }) => {
                warn!(
                    "the path to pool {pool} is lost: {unreached} endpoints could not be reached, \
                     and none was heard for {silence:?}"
                );
                self.0.metrics.path_lost(pool, true);
            }
            Some(PathChange::Regained(time)) => {
                info!("an endpoint of pool {pool} is reached again after {time:?}");
                self.0.metrics.path_lost(pool, false);
            }
            None => {}
        }
    }
}

async fn connects(address: &str) -> bool {
    matches!(timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await, Ok(Ok(_)))
}
