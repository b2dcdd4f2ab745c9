//! A shutdown signal that is shared by all tasks.

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::Shared;

/// Triggers the shutdown of all tasks that hold the signal.
#[derive(Debug)]
pub struct ShutdownTrigger {
    sender: oneshot::Sender<()>,
}

/// Resolves once the shutdown has started.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    receiver: Shared<oneshot::Receiver<()>>,
}

/// Creates a trigger and its signal.
pub fn shutdown_pair() -> (ShutdownTrigger, ShutdownSignal) {
    let (sender, receiver) = oneshot::channel();
    (ShutdownTrigger { sender }, ShutdownSignal { receiver: receiver.shared() })
}

impl ShutdownTrigger {
    /// Starts the shutdown.
    pub fn trigger(self) {
        let _ = self.sender.send(());
    }
}

impl ShutdownSignal {
    /// Waits for the shutdown; also resolves if the trigger is dropped.
    pub async fn triggered(self) {
        let _ = self.receiver.await;
    }

    /// Whether the shutdown has started.
    pub fn is_triggered(&self) -> bool {
        self.receiver.peek().is_some()
    }
}
