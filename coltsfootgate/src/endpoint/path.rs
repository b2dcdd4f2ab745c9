//! Watches the paths of this instance to the endpoints of each pool.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use log::{info, warn};
use monoio::net::TcpStream;
use monoio::time::{sleep, timeout};

use coltsfootgate_core::path::{PathChange, PathMonitor};
use coltsfootgate_core::prelude::{EndpointId, PoolId};

use crate::metrics::DaemonMetrics;
use crate::routes::RouteTable;

/// Interval at which it is decided whether a path needs a check.
const WATCH_PERIOD: Duration = Duration::from_millis(100);
/// Time limit for an endpoint to accept the connection of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// What this instance knows of its paths to endpoints; clones share the same state.
#[derive(Clone)]
pub struct EndpointPath(Rc<PathState>);

struct PathState {
    monitors: RefCell<HashMap<PoolId, PathMonitor>>,
    routes: RouteTable,
    metrics: DaemonMetrics,
}

/// A request that waits for the head of its answer, until it is dropped.
pub(super) struct HeadWait {
    path: EndpointPath,
    pool: PoolId,
}

impl Drop for HeadWait {
    fn drop(&mut self) {
        self.path.update(&self.pool, PathMonitor::end_wait);
    }
}

impl EndpointPath {
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
            pools.iter().for_each(|pool| self.start_checks(pool));
        }
    }

    fn start_checks(&self, pool: &PoolId) {
        let checks = self.update(pool, |monitor| monitor.take_checks(Instant::now()));
        for endpoint in self.0.routes.sample_endpoints(pool, checks) {
            let path = self.clone();
            monoio::spawn(async move { path.connects_to(&endpoint.id).await });
        }
    }

    /// Whether an endpoint accepts a connection of this instance; `None` if it is not known here, or
    /// this instance reaches no endpoint of its pool.
    pub async fn connects_to(&self, endpoint: &EndpointId) -> Option<bool> {
        let (pool, endpoint) = self.0.routes.find_endpoint(endpoint)?;
        let connected = timeout(CHECK_TIMEOUT, TcpStream::connect(&*endpoint.address)).await;
        match connected {
            Ok(Ok(_)) => {
                self.record_reached(&pool);
                return Some(true);
            }
            Ok(Err(_)) | Err(_) => self.record_unreached(&pool, &endpoint.id),
        }
        (!self.is_lost(&pool)).then_some(false)
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
    pub(super) fn record_unreached(&self, pool: &PoolId, endpoint: &EndpointId) {
        let endpoints = self.0.routes.endpoint_count(pool);
        let change = self.update(pool, |monitor| {
            monitor.set_endpoints(endpoints);
            monitor.record_unreached(endpoint.clone(), Instant::now())
        });
        self.report(pool, change);
        self.start_checks(pool);
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
