//! Tests of the task that keeps the list of origins, with a store whose answers wait until they are released.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::FutureExt;
use monoio::{LegacyDriver, RuntimeBuilder};

use coltsfootgate_core::membership::PeerProfile;

use super::origins::OriginsTask;
use super::*;
use crate::members::MembersTask;
use crate::metrics::DaemonMetrics;
use crate::options::PeerSecret;
use crate::peer::PeerIdentity;
use crate::platform::{
    PlatformError, PlatformStore, StoredValue, SwapResult, ValueRevision, WatchResult,
};
use crate::transfer::MemoryAccount;
use crate::tree::TreeHandle;

const OLD: &str = r#"{"origins":[{"pool":"pools.a","version":"v1"}]}"#;
const BOTH: &str =
    r#"{"origins":[{"pool":"pools.a","version":"v1"},{"pool":"pools.a","version":"v2"}]}"#;
const POLL_PERIOD: Duration = Duration::from_millis(1);

/// A store whose reads see the value at the time of the call, and are answered when the test lets them.
#[derive(Clone, Default)]
struct HeldStore(Rc<HeldState>);

#[derive(Default)]
struct HeldState {
    value: RefCell<Option<&'static str>>,
    held: RefCell<VecDeque<oneshot::Sender<()>>>,
}

impl HeldStore {
    /// Waits for a read.
    async fn wait_read(&self) {
        while self.0.held.borrow().is_empty() {
            sleep(POLL_PERIOD).await;
        }
    }

    /// Lets the read return that is open.
    fn answer_read(&self) {
        self.0.held.borrow_mut().pop_front().unwrap().send(()).unwrap();
    }
}

impl PlatformStore for HeldStore {
    const HAS_LINEARIZABLE_READS: bool = true;

    async fn read(&self, _key: &str) -> Result<Option<StoredValue>, PlatformError> {
        let value = *self.0.value.borrow();
        let (release, released) = oneshot::channel();
        self.0.held.borrow_mut().push_back(release);
        released.await.unwrap();
        let stored = |text: &'static str| StoredValue {
            revision: 1,
            value: Bytes::from_static(text.as_bytes()),
        };
        Ok(value.map(stored))
    }

    async fn watch(
        &self,
        _key: &str,
        _after: ValueRevision,
        _wait: Duration,
    ) -> Result<WatchResult, PlatformError> {
        std::future::pending().await
    }

    async fn swap(
        &self,
        _key: &str,
        _revision: ValueRevision,
        _value: Bytes,
    ) -> Result<SwapResult, PlatformError> {
        Ok(SwapResult::Written(2))
    }

    async fn list(&self, _prefix: &str) -> Result<Vec<Arc<str>>, PlatformError> {
        Ok(Vec::new())
    }
}

/// Starts the task of an instance that knows no other one.
fn start_task(store: HeldStore) -> OriginsHandle {
    let own: InstanceId = "127.0.0.1:1".into();
    let secret = PeerSecret::new("a-secret-of-the-tests-only");
    let identity = PeerIdentity::new(own.clone(), secret).unwrap();
    let metrics = DaemonMetrics::new();
    let peers = PeerHandle::new(identity, metrics.clone(), &MemoryAccount::default());
    let (zone, region) = ("a".into(), "a".into());
    let profile =
        PeerProfile { id: own.clone(), incarnation: 1, zone, region, processor_milli: 1000 };
    let (_, members) = MembersTask::new(profile, peers, TreeHandle::new().0, metrics);
    let (task, origins) = OriginsTask::new(own, store, members);
    monoio::spawn(task.run());
    origins
}

/// What a read returns was stored when it was sent. It says nothing about a stream that began later, also if
/// its caller asks while this read is still open.
#[test]
fn a_read_that_was_sent_before_a_question_does_not_answer_it() {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(async {
        let store = HeldStore::default();
        *store.0.value.borrow_mut() = Some(OLD);
        let origins = start_task(store.clone());
        store.wait_read().await;
        *store.0.value.borrow_mut() = Some(BOTH);
        let mut question = pin!(origins.confirm());
        assert!(question.as_mut().now_or_never().is_none());
        store.answer_read();
        store.wait_read().await;
        store.answer_read();
        assert_eq!(question.await.unwrap().origins().count(), 2);
    });
}

#[test]
fn a_question_ends_if_the_list_cannot_be_read() {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(async {
        let origins = start_task(HeldStore::default());
        assert!(origins.confirm().await.is_none());
        assert!(OriginsHandle::without_list().confirm().now_or_never().unwrap().is_none());
    });
}
