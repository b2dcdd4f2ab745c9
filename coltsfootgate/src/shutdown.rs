//! The stages of a shutdown, which all tasks share.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use coltsfootgate_core::drain::DrainSchedule;
use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::Shared;
use monoio::time::sleep;

/// Advances the shutdown of all tasks that hold the signal.
#[derive(Debug)]
pub struct ShutdownTrigger {
    schedule: Rc<Cell<Option<DrainSchedule>>>,
    started: Option<oneshot::Sender<()>>,
    closing: Option<oneshot::Sender<()>>,
}

/// Shows the stage of a shutdown; clones share the same state.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    schedule: Rc<Cell<Option<DrainSchedule>>>,
    started: Shared<oneshot::Receiver<()>>,
    closing: Shared<oneshot::Receiver<()>>,
}

/// Creates a trigger and its signal.
pub fn shutdown_pair() -> (ShutdownTrigger, ShutdownSignal) {
    let schedule = Rc::default();
    let (start, started) = oneshot::channel();
    let (close, closing) = oneshot::channel();
    let trigger = ShutdownTrigger {
        schedule: Rc::clone(&schedule),
        started: Some(start),
        closing: Some(close),
    };
    (trigger, ShutdownSignal { schedule, started: started.shared(), closing: closing.shared() })
}

impl ShutdownTrigger {
    /// Starts the shutdown: from now on, what requests wait for is bounded by the schedule.
    pub fn start(&mut self, schedule: DrainSchedule) {
        self.schedule.set(Some(schedule));
        // Fails if no task waits any more.
        let _ = self.started.take().map(|started| started.send(()));
    }

    /// Ends the acceptance of connections and the reuse of open ones.
    pub fn close(&mut self) {
        // Fails if no task waits any more.
        let _ = self.closing.take().map(|closing| closing.send(()));
    }
}

impl ShutdownSignal {
    /// The schedule of the shutdown, if it has started.
    pub fn schedule(&self) -> Option<DrainSchedule> {
        self.schedule.get()
    }

    /// Waits until the shutdown starts.
    pub async fn started(&self) -> DrainSchedule {
        let _ = self.started.clone().await;
        match self.schedule.get() {
            Some(schedule) => schedule,
            // The trigger was dropped, so there is no shutdown.
            None => std::future::pending().await,
        }
    }

    /// Waits until every request must have its final answer.
    pub async fn answers_due(&self) {
        let schedule = self.started().await;
        sleep(schedule.time_left(Instant::now())).await;
    }

    /// Waits until no further connections are accepted and open ones are no longer reused.
    pub async fn closing(&self) {
        let _ = self.closing.clone().await;
    }

    /// Whether connections are no longer reused.
    pub fn is_closing(&self) -> bool {
        self.closing.peek().is_some()
    }
}
