//! Wakes tasks of one runtime when shared state changes.

use std::cell::{Cell, RefCell};

use futures_channel::oneshot;

/// Lets any number of tasks wait for a change of shared state.
#[derive(Debug, Default)]
pub struct ChangeSignal {
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
    /// Number of waiters at which the cancelled ones are removed.
    cleanup_threshold: Cell<usize>,
}

impl ChangeSignal {
    /// Wakes all waiting tasks.
    pub fn notify(&self) {
        for waiter in self.waiters.take() {
            let _ = waiter.send(());
        }
    }

    /// Waits until a condition holds; the condition is checked again after each change.
    pub async fn until(&self, condition: impl Fn() -> bool) {
        while !condition() {
            let (sender, receiver) = oneshot::channel();
            self.add_waiter(sender);
            let _ = receiver.await;
        }
    }

    fn add_waiter(&self, waiter: oneshot::Sender<()>) {
        let mut waiters = self.waiters.borrow_mut();
        if waiters.len() >= self.cleanup_threshold.get() {
            waiters.retain(|waiter| !waiter.is_canceled());
            self.cleanup_threshold.set(2 * waiters.len() + 16);
        }
        waiters.push(waiter);
    }
}

/// Switch that opens or closes the listener of a stand-in.
#[derive(Debug)]
pub struct ServerGate {
    /// Whether the gate should be open.
    open: Cell<bool>,
    /// Whether the listener is bound.
    listening: Cell<bool>,
    changed: ChangeSignal,
}

impl Default for ServerGate {
    fn default() -> Self {
        Self { open: Cell::new(true), listening: Cell::new(true), changed: ChangeSignal::default() }
    }
}

impl ServerGate {
    /// Opens or closes the gate. A closed gate closes the listener; an HTTP server also closes its
    /// connections, while the proxy keeps relaying them.
    pub fn set_open(&self, open: bool) {
        self.open.set(open);
        self.changed.notify();
    }

    /// Records whether the listener is bound.
    pub(crate) fn set_listening(&self, listening: bool) {
        self.listening.set(listening);
        self.changed.notify();
    }

    /// Waits until the listener is bound or closed as the gate requires.
    pub(crate) async fn until_settled(&self) {
        self.changed.until(|| self.open.get() == self.listening.get()).await;
    }

    /// Waits until the gate is open.
    pub async fn until_open(&self) {
        self.changed.until(|| self.open.get()).await;
    }

    /// Waits until the gate is closed.
    pub async fn until_closed(&self) {
        self.changed.until(|| !self.open.get()).await;
    }
}
