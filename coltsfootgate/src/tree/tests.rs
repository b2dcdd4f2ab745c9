//! Tests of the tree task with an in-memory store and in-memory peers.

use std::cell::Cell;
use std::collections::HashMap;
use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use monoio::{LegacyDriver, RuntimeBuilder};
use rstest::rstest;

use coltsfootgate_config::{
    BranchDocument, HEAD_KEY, RootObject, TreeBuilder, TreeParts, branch_key, content_digest,
    root_key,
};

use super::source::PeerFetchError;
use super::*;
use crate::metrics::DaemonMetrics;
use crate::operators::ReadinessGate;
use crate::platform::{
    PlatformError, PlatformStore, StoredValue, SwapResult, ValueRevision, WatchResult,
};

/// Longest time that the store may hold a watch.
const WATCH_WAIT: Duration = Duration::from_secs(3);
/// Time within which each expected change must happen.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Clone, Default)]
struct MemoryStore(Rc<MemoryState>);

#[derive(Default)]
struct MemoryState {
    values: RefCell<HashMap<String, Bytes>>,
    is_unreachable: Cell<bool>,
}

impl MemoryStore {
    fn set(&self, key: &str, value: impl Into<Bytes>) {
        self.0.values.borrow_mut().insert(key.to_owned(), value.into());
    }

    /// Stores a tree and the head that refers to it.
    fn store_tree(&self, version: ConfigVersion, text: &str) -> TreeHead {
        let parts = TreeParts::split(&BranchDocument::parse("test", text).unwrap()).unwrap();
        for part in parts.iter() {
            self.set(&branch_key(&part.digest), part.text.to_string());
        }
        self.store_root(version, parts.root().to_bytes())
    }

    fn store_root(&self, version: ConfigVersion, root: Vec<u8>) -> TreeHead {
        let digest = content_digest(&root);
        self.set(&root_key(&digest), root);
        let head = TreeHead { version, root: digest, nonce: "n".into() };
        self.set(HEAD_KEY, serde_json::to_vec(&head).unwrap());
        head
    }
}

impl PlatformStore for MemoryStore {
    const HAS_LINEARIZABLE_READS: bool = false;

    async fn read(&self, key: &str) -> Result<Option<StoredValue>, PlatformError> {
        if self.0.is_unreachable.get() {
            return Err(PlatformError::TimedOut(Duration::from_secs(1)));
        }
        let value = self.0.values.borrow().get(key).cloned();
        Ok(value.map(|value| StoredValue { revision: 1, value }))
    }

    async fn watch(
        &self,
        _key: &str,
        _after: ValueRevision,
        _wait: Duration,
    ) -> Result<WatchResult, PlatformError> {
        pending().await
    }

    async fn swap(
        &self,
        _key: &str,
        _revision: ValueRevision,
        _value: Bytes,
    ) -> Result<SwapResult, PlatformError> {
        Err(PlatformError::Refused(400))
    }

    async fn list(&self, _prefix: &str) -> Result<Vec<Arc<str>>, PlatformError> {
        Ok(Vec::new())
    }
}

/// Peers that each have a store of their own.
#[derive(Clone, Default)]
struct MemoryPeers(Rc<HashMap<InstanceId, MemoryStore>>);

impl MemoryPeers {
    fn value(&self, peer: &InstanceId, key: &str) -> Result<Option<Bytes>, PeerFetchError> {
        let store = self.0.get(peer).ok_or(PeerFetchError)?;
        Ok(store.0.values.borrow().get(key).cloned())
    }
}

impl TreePeers for MemoryPeers {
    async fn head(&self, peer: &InstanceId) -> Result<Option<TreeHead>, PeerFetchError> {
        let head = self.value(peer, HEAD_KEY)?;
        Ok(head.map(|head| serde_json::from_slice(&head).unwrap()))
    }

    async fn object(
        &self,
        peer: &InstanceId,
        digest: &str,
    ) -> Result<Option<Bytes>, PeerFetchError> {
        let root = self.value(peer, &root_key(digest))?;
        Ok(root.or(self.value(peer, &branch_key(digest))?))
    }
}

struct TaskFixture {
    handle: TreeHandle,
    readiness: ReadinessGate,
    metrics: DaemonMetrics,
    trees: UnboundedReceiver<Rc<ActiveTree>>,
}

impl TaskFixture {
    fn start(store: MemoryStore, peers: MemoryPeers) -> Self {
        let (handle, events) = TreeHandle::new();
        let (metrics, readiness) = (DaemonMetrics::new(), ReadinessGate::default());
        let (task_metrics, gate) = (metrics.clone(), readiness.clone());
        let task =
            TreeTask::new(store, peers, handle.clone(), events, task_metrics, gate, WATCH_WAIT);
        monoio::spawn(task.run());
        let trees = handle.subscribe();
        Self { handle, readiness, metrics, trees }
    }

    async fn next_version(&mut self) -> ConfigVersion {
        let tree = monoio::time::timeout(STEP_TIMEOUT, self.trees.next()).await;
        tree.expect("a tree came into force").unwrap().version
    }

    /// Waits until the metrics show a line.
    async fn wait_for_metric(&self, line: &str) {
        let shows_line = async {
            while !String::from_utf8_lossy(&self.metrics.encode()).contains(line) {
                monoio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        monoio::time::timeout(STEP_TIMEOUT, shows_line).await.expect(line);
    }
}

/// The text of a valid tree with a deployment name.
fn tree_text(name: &str) -> String {
    let sample = include_str!("../../../samples/samahang.toml");
    sample.replacen("name = \"samahang\"", &format!("name = \"{name}\""), 1)
}

fn block_on<F: Future>(future: F) -> F::Output {
    RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap().block_on(future)
}

#[test]
fn the_tree_in_the_store_comes_into_force() {
    block_on(async {
        let store = MemoryStore::default();
        store.store_tree(3, &tree_text("one"));
        let mut fixture = TaskFixture::start(store.clone(), MemoryPeers::default());
        fixture.handle.update_peers(Vec::new());
        assert_eq!(fixture.next_version().await, 3);
        store.store_tree(4, &tree_text("two"));
        fixture.handle.hint(4);
        assert_eq!(fixture.next_version().await, 4);
        let tree = fixture.handle.current().unwrap();
        assert_eq!(&*tree.tree.deployment().name, "two");
        assert!(fixture.readiness.is_ready());
    });
}

/// Other tasks that keep the thread busy delay each continuation of a load.
#[test]
fn a_busy_thread_does_not_delay_a_tree_at_each_step() {
    const TURN: Duration = Duration::from_millis(100);
    let classes = (0..1_200).map(|number| {
        format!("[classes.c{number}]\nmatch = {{ path = [\"/c{number}/*\"] }}\ntier = 1\n")
    });
    let text = tree_text("busy") + &classes.collect::<String>();
    let document = BranchDocument::parse("busy", &text).unwrap();
    let steps = document.nodes.len() / TreeBuilder::SLICE_BRANCHES;
    let turns = block_on(async {
        let turns = Rc::new(Cell::new(0));
        let counted = turns.clone();
        monoio::spawn(async move {
            loop {
                std::thread::sleep(TURN);
                counted.set(counted.get() + 1);
                monoio::time::sleep(Duration::ZERO).await;
            }
        });
        build_tree(document).await.unwrap();
        turns.get()
    });
    assert!(turns < steps / 2, "{turns} turns of a busy task during {steps} steps");
}

#[test]
fn a_lower_version_never_comes_into_force() {
    block_on(async {
        let store = MemoryStore::default();
        store.store_tree(5, &tree_text("new"));
        let mut fixture = TaskFixture::start(store.clone(), MemoryPeers::default());
        fixture.handle.update_peers(Vec::new());
        assert_eq!(fixture.next_version().await, 5);
        store.store_tree(4, &tree_text("old"));
        fixture.handle.hint(6);
        store.store_tree(6, &tree_text("newer"));
        fixture.handle.hint(7);
        assert_eq!(fixture.next_version().await, 6);
    });
}

#[rstest]
#[case::no_root(b"{".to_vec())]
#[case::no_branches(RootObject::default().to_bytes())]
fn an_invalid_tree_leaves_the_previous_one_in_force(#[case] root: Vec<u8>) {
    block_on(async {
        let store = MemoryStore::default();
        store.store_tree(1, &tree_text("good"));
        let mut fixture = TaskFixture::start(store.clone(), MemoryPeers::default());
        fixture.handle.update_peers(Vec::new());
        assert_eq!(fixture.next_version().await, 1);
        store.store_root(2, root);
        fixture.handle.hint(2);
        fixture.wait_for_metric("coltsfootgate_config_refused_total{cause=\"invalid\"} 1").await;
        assert_eq!(fixture.handle.current().unwrap().version, 1);
    });
}

#[test]
fn a_value_with_a_wrong_digest_is_rejected() {
    block_on(async {
        let store = MemoryStore::default();
        store.store_tree(1, &tree_text("good"));
        let forged = "[deployment]\nname = \"forged\"\n";
        let document = BranchDocument::parse("test", &tree_text("good")).unwrap();
        let part = TreeParts::split(&document).unwrap().part("deployment").unwrap().clone();
        store.set(&branch_key(&part.digest), forged);
        let fixture = TaskFixture::start(store, MemoryPeers::default());
        fixture.handle.update_peers(Vec::new());
        fixture.wait_for_metric("coltsfootgate_config_refused_total{cause=\"unfetched\"}").await;
        assert!(fixture.handle.current().is_none());
        assert!(!fixture.readiness.is_ready());
    });
}

#[test]
fn an_instance_started_during_an_outage_loads_the_highest_version_of_its_peers() {
    block_on(async {
        let store = MemoryStore::default();
        store.0.is_unreachable.set(true);
        let (old_store, new_store) = (MemoryStore::default(), MemoryStore::default());
        old_store.store_tree(7, &tree_text("old"));
        new_store.store_tree(8, &tree_text("new"));
        let peers: Vec<InstanceId> = vec!["a:1".into(), "b:1".into(), "c:1".into()];
        let stores = HashMap::from([(peers[0].clone(), old_store), (peers[1].clone(), new_store)]);
        let mut fixture = TaskFixture::start(store, MemoryPeers(Rc::new(stores)));
        fixture.handle.update_peers(peers);
        assert_eq!(fixture.next_version().await, 8);
        assert!(fixture.handle.object(&fixture.handle.current().unwrap().head.root).is_some());
    });
}

/// The text of a tree with many classes.
fn large_tree_text(classes: usize) -> String {
    let mut text = tree_text("large");
    for class in 0..classes {
        let name = format!("many{class}");
        text.push_str(&format!("\n[classes.{name}]\nmatch = {{ prefix = \"/{name}/\" }}\n"));
    }
    text
}

#[test]
fn other_tasks_run_while_a_large_tree_is_loaded() {
    const CLASSES: usize = 4000;
    const TURNS_MIN: usize = 20;
    block_on(async {
        let store = MemoryStore::default();
        store.store_tree(1, &tree_text("small"));
        let mut fixture = TaskFixture::start(store.clone(), MemoryPeers::default());
        fixture.handle.update_peers(Vec::new());
        assert_eq!(fixture.next_version().await, 1);
        store.store_tree(2, &large_tree_text(CLASSES));
        let turns = Rc::new(Cell::new(0));
        let other_turns = turns.clone();
        monoio::spawn(async move {
            loop {
                monoio::time::sleep(Duration::from_millis(1)).await;
                other_turns.set(other_turns.get() + 1);
            }
        });
        fixture.handle.hint(2);
        assert_eq!(fixture.next_version().await, 2);
        assert!(turns.get() >= TURNS_MIN, "another task had {} turns", turns.get());
    });
}
