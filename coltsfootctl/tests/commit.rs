//! `commit` against a store that loses requests and responses when the head is swapped.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootctl::commit::{TreeChange, commit};
use coltsfootctl::error::ToolError;
use coltsfootctl::tree_store::TreeStore;
use coltsfootgate::platform::{
    PlatformError, PlatformStore, StoredValue, SwapResult, ValueRevision, WatchResult,
};
use coltsfootgate_config::{BranchDocument, HEAD_KEY, HeadObject, TreeParts, history_key};
use monoio::{LegacyDriver, RuntimeBuilder};

const SAMPLE: &str = include_str!("../../samples/terenuri.toml");

/// A fault of the first swap of the head after the sample was stored.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HeadFault {
    /// The head is written, and the response is lost.
    ResponseLost,
    /// The request is lost.
    RequestLost,
    /// The head is written only after it was read once more.
    WriteDelayed,
    /// The head is written, the response is lost, and another operator replaces the head at once.
    ResponseLostThenReplaced,
    /// The request is lost, and another operator writes a head of the same version.
    RequestLostThenReplaced,
    /// The head is written, the response is lost, and all later calls fail.
    ResponseLostThenOutage,
    /// The head is written, the response is lost, and all later reads return the old head.
    ResponseLostThenStale,
}

struct FaultyStore {
    values: RefCell<HashMap<String, StoredValue>>,
    revision: Cell<ValueRevision>,
    fault: Cell<Option<HeadFault>>,
    delayed_swap: RefCell<Option<(ValueRevision, Bytes)>>,
    outage: Cell<bool>,
    stale_head: RefCell<Option<StoredValue>>,
}

impl FaultyStore {
    fn new(fault: HeadFault) -> Self {
        Self {
            values: RefCell::default(),
            revision: Cell::new(0),
            fault: Cell::new(Some(fault)),
            delayed_swap: RefCell::default(),
            outage: Cell::new(false),
            stale_head: RefCell::default(),
        }
    }

    fn write(&self, key: &str, revision: ValueRevision, bytes: Bytes) -> SwapResult {
        let mut values = self.values.borrow_mut();
        let current = values.get(key).map_or(0, |value| value.revision);
        if current != revision {
            return SwapResult::Conflict(current);
        }
        self.revision.set(self.revision.get() + 1);
        values.insert(key.into(), StoredValue { revision: self.revision.get(), value: bytes });
        SwapResult::Written(self.revision.get())
    }

    fn head(&self) -> Option<(ValueRevision, HeadObject)> {
        let value = self.values.borrow().get(HEAD_KEY)?.clone();
        Some((value.revision, HeadObject::from_bytes(&value.value).unwrap()))
    }

    /// Writes another operator's head with the same tree, after adding the old head to the history.
    fn replace_head(&self) {
        let (revision, head) = self.head().unwrap();
        self.write(&history_key(head.version), 0, head.to_bytes().into());
        let other = HeadObject { version: head.version + 1, nonce: "other".into(), ..head };
        let written = self.write(HEAD_KEY, revision, other.to_bytes().into());
        assert!(matches!(written, SwapResult::Written(_)), "{written:?}");
    }

    fn swap_head_with_fault(&self, fault: HeadFault, revision: ValueRevision, bytes: Bytes) {
        let before = self.values.borrow().get(HEAD_KEY).cloned();
        match fault {
            HeadFault::RequestLost | HeadFault::RequestLostThenReplaced => {}
            HeadFault::WriteDelayed => *self.delayed_swap.borrow_mut() = Some((revision, bytes)),
            _ => drop(self.write(HEAD_KEY, revision, bytes)),
        }
        match fault {
            HeadFault::ResponseLostThenReplaced | HeadFault::RequestLostThenReplaced => {
                self.replace_head();
            }
            HeadFault::ResponseLostThenOutage => self.outage.set(true),
            HeadFault::ResponseLostThenStale => *self.stale_head.borrow_mut() = before,
            _ => {}
        }
    }
}

fn response_lost_error() -> PlatformError {
    PlatformError::Broken("lost".into())
}

impl PlatformStore for &FaultyStore {
    const HAS_LINEARIZABLE_READS: bool = true;

    async fn read(&self, key: &str) -> Result<Option<StoredValue>, PlatformError> {
        if self.outage.get() {
            return Err(response_lost_error());
        }
        let delayed_swap =
            if key == HEAD_KEY { self.delayed_swap.borrow_mut().take() } else { None };
        let stale_head = self.stale_head.borrow().clone().filter(|_| key == HEAD_KEY);
        let value = stale_head.or_else(|| self.values.borrow().get(key).cloned());
        if let Some((revision, bytes)) = delayed_swap {
            self.write(HEAD_KEY, revision, bytes);
        }
        Ok(value)
    }

    async fn swap(
        &self,
        key: &str,
        revision: ValueRevision,
        bytes: Bytes,
    ) -> Result<SwapResult, PlatformError> {
        if self.outage.get() {
            return Err(response_lost_error());
        }
        if key == HEAD_KEY
            && revision > 0
            && let Some(fault) = self.fault.take()
        {
            self.swap_head_with_fault(fault, revision, bytes);
            return Err(response_lost_error());
        }
        Ok(self.write(key, revision, bytes))
    }

    async fn watch(
        &self,
        _key: &str,
        _after: ValueRevision,
        _wait: Duration,
    ) -> Result<WatchResult, PlatformError> {
        Ok(WatchResult::Unchanged)
    }

    async fn list(&self, _prefix: &str) -> Result<Vec<Arc<str>>, PlatformError> {
        Ok(Vec::new())
    }
}

fn block_on<F: Future>(future: F) -> F::Output {
    RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap().block_on(future)
}

fn parts(text: &str) -> TreeParts {
    TreeParts::split(&BranchDocument::parse("sample", text).unwrap()).unwrap()
}

fn change(base_version: u64, base: &TreeParts, changed: &TreeParts) -> TreeChange {
    let (base, changed) = (base.clone(), changed.clone());
    TreeChange { base_version, base, changed, author: None, note: None }
}

/// Stores the sample, then commits a change while the fault is active; returns the result of the
/// commit and the version in the store.
fn commit_with_fault(fault: HeadFault) -> (Result<u64, ToolError>, u64) {
    let store = FaultyStore::new(fault);
    let trees = TreeStore::new(&store);
    let sample = parts(SAMPLE);
    let changed = parts(&SAMPLE.replace("claim_pages = 64", "claim_pages = 32"));
    let result = block_on(async {
        commit(&trees, &change(0, &TreeParts::default(), &sample)).await.unwrap();
        commit(&trees, &change(1, &sample, &changed)).await
    });
    let result = result.map(|committed| committed.version);
    let stored = store.head().unwrap().1.version;
    (result.map_err(|error| error.current_context().clone()), stored)
}

macro_rules! outcome_cases {
    ($($case:ident: $fault:ident => $found:pat, $stored:literal;)*) => {
        $(#[test]
        fn $case() {
            let (found, stored) = commit_with_fault(HeadFault::$fault);
            assert!(matches!(found, $found), "{found:?}");
            assert_eq!(stored, $stored);
        })*
    };
}

outcome_cases! {
    response_lost: ResponseLost => Ok(2), 2;
    request_lost: RequestLost => Ok(2), 2;
    write_delayed: WriteDelayed => Ok(2), 2;
    response_lost_then_replaced: ResponseLostThenReplaced => Ok(2), 3;
    request_lost_then_replaced: RequestLostThenReplaced => Ok(3), 3;
    response_lost_then_outage: ResponseLostThenOutage => Err(ToolError::OutcomeUnknown { version: 2, .. }), 2;
    response_lost_then_stale: ResponseLostThenStale => Err(ToolError::OutcomeUnknown { version: 2, .. }), 2;
}
