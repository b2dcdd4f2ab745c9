//! Watches the path of this instance to all endpoints.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use log::{info, warn};
use monoio::net::TcpStream;
use monoio::time::{sleep, timeout};

use coltsfootgate_core::path::{PathChange, PathMonitor};
use coltsfootgate_core::prelude::{EndpointId, EndpointSettings};

use crate::metrics::DaemonMetrics;
use crate::routes::RouteTable;

/// Interval at which it is decided whether the path needs a check.
const WATCH_PERIOD: Duration = Duration::from_millis(100);
/// Time limit for an endpoint to accept the connection of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// What this instance knows of its path to endpoints; clones share the same state.
#[derive(Clone)]
pub struct EndpointPath(Rc<PathState>);

struct PathState {
    monitor: RefCell<PathMonitor>,
    routes: RouteTable,
    metrics: DaemonMetrics,
}

/// A request that waits for the head of its answer, until it is dropped.
pub(super) struct HeadWait(EndpointPath);

impl Drop for HeadWait {
    fn drop(&mut self) {
        self.0.0.monitor.borrow_mut().end_wait();
    }
}

impl EndpointPath {
    /// Creates the state of an instance that has reached no endpoint yet.
    pub fn new(routes: RouteTable, metrics: DaemonMetrics) -> Self {
        let monitor = RefCell::default();
        Self(Rc::new(PathState { monitor, routes, metrics }))
    }

    /// Whether this instance reaches no endpoint.
    pub fn is_lost(&self) -> bool {
        self.0.monitor.borrow().is_lost()
    }

    /// Checks the path whenever that is needed; never returns.
    pub async fn watch(self) {
        loop {
            sleep(WATCH_PERIOD).await;
            let checks = self.0.monitor.borrow_mut().take_checks(Instant::now());
            for endpoint in self.0.routes.sample_endpoints(checks) {
                monoio::spawn(self.clone().check(endpoint));
            }
        }
    }

    async fn check(self, endpoint: EndpointSettings) {
        let connected = timeout(CHECK_TIMEOUT, TcpStream::connect(&*endpoint.address)).await;
        match connected {
            Ok(Ok(_)) => self.record_reached(),
            Ok(Err(_)) | Err(_) => self.record_unreached(&endpoint.id),
        }
    }

    /// Records that a request begins to wait for the head of its answer.
    pub(super) fn begin_wait(&self) -> HeadWait {
        self.0.monitor.borrow_mut().begin_wait(Instant::now());
        HeadWait(self.clone())
    }

    /// Records that an endpoint sent something on an open connection.
    pub(super) fn record_heard(&self) {
        self.0.monitor.borrow_mut().record_heard(Instant::now());
    }

    /// Records a connect that succeeded.
    pub(super) fn record_reached(&self) {
        let change = self.0.monitor.borrow_mut().record_reached(Instant::now());
        self.report(change);
    }

    /// Records a connect that failed.
    pub(super) fn record_unreached(&self, endpoint: &EndpointId) {
        let endpoints = self.0.routes.endpoint_count();
        let mut monitor = self.0.monitor.borrow_mut();
        monitor.set_endpoints(endpoints);
        let change = monitor.record_unreached(endpoint.clone(), Instant::now());
        drop(monitor);
        self.report(change);
    }

    fn report(&self, change: Option<PathChange>) {
        match change {
            Some(PathChange::Lost { unreached, silence }) => {
                warn!(
                    "the path to endpoints is lost: {unreached} could not be reached, and none \
                     was heard for {silence:?}"
                );
                self.0.metrics.path_lost(true);
            }
            Some(PathChange::Regained(time)) => {
                info!("an endpoint is reached again after {time:?}");
                self.0.metrics.path_lost(false);
            }
            None => {}
        }
    }
}
