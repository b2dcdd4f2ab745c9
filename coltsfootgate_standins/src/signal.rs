//! Wakes tasks of one runtime when shared state has changed.

use std::cell::{Cell, RefCell};

use futures_channel::oneshot;

/// Lets any number of tasks wait for the next change.
#[derive(Debug, Default)]
pub struct ChangeSignal {
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
    sweep_at: Cell<usize>,
}

impl ChangeSignal {
    /// Wakes every waiting task.
    pub fn notify(&self) {
        for waiter in self.waiters.take() {
            let _ = waiter.send(());
        }
    }

    /// Waits until a condition holds; it is looked at again after each change.
    pub async fn until(&self, condition: impl Fn() -> bool) {
        while !condition() {
            let (sender, receiver) = oneshot::channel();
            self.enlist(sender);
            let _ = receiver.await;
        }
    }

    fn enlist(&self, waiter: oneshot::Sender<()>) {
        let mut waiters = self.waiters.borrow_mut();
        if waiters.len() >= self.sweep_at.get() {
            waiters.retain(|waiter| !waiter.is_canceled());
            self.sweep_at.set(2 * waiters.len() + 16);
        }
        waiters.push(waiter);
    }
}

/// Whether a stand-in listens and keeps its connections.
#[derive(Debug)]
pub struct ServerGate {
    open: Cell<bool>,
    listening: Cell<bool>,
    changed: ChangeSignal,
}

impl Default for ServerGate {
    fn default() -> Self {
        Self { open: Cell::new(true), listening: Cell::new(true), changed: ChangeSignal::default() }
    }
}

impl ServerGate {
    /// Opens the gate, or closes it together with the listener and all connections.
    pub fn set_open(&self, open: bool) {
        self.open.set(open);
        self.changed.notify();
    }

    /// Tells whether the listener is there.
    pub(crate) fn set_listening(&self, listening: bool) {
        self.listening.set(listening);
        self.changed.notify();
    }

    /// Waits until the listener is as the gate wants it.
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
