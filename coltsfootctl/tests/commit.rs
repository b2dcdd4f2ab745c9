//! What `commit` makes of a store whose answers are lost at the swap of the head.

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
    PlatformError, PlatformStore, StoredValue, SwapResult, ValueRevision,
};
use coltsfootgate_config::{BranchDocument, HEAD_KEY, HeadObject, TreeParts, history_key};
use monoio::{LegacyDriver, RuntimeBuilder};

const SAMPLE: &str = include_str!("../../samples/terenuri.toml");

/// What happens to the first swap of the head by the tool.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HeadFault {
    /// It is written, and its answer is lost.
    AnswerLost,
    /// It never arrives.
    RequestLost,
    /// It is written after the tool has looked for it once.
    WrittenLate,
    /// It is written and its answer lost, and another operator's head takes its place at once.
    AnswerLostThenReplaced,
    /// It never arrives, and another operator's head is written in its place.
    RequestLostThenReplaced,
    /// It is written and its answer lost, and the store cannot be read from then on.
    AnswerLostThenOutage,
    /// It is written, its answer lost, and reads show the old head from then on.
    AnswerLostThenStale,
}

struct FaultyStore {
    values: RefCell<HashMap<String, StoredValue>>,
    revision: Cell<ValueRevision>,
    fault: Cell<Option<HeadFault>>,
    late: RefCell<Option<(ValueRevision, Bytes)>>,
    outage: Cell<bool>,
    stale: RefCell<Option<StoredValue>>,
}

impl FaultyStore {
    fn new(fault: HeadFault) -> Self {
        Self {
            values: RefCell::default(),
            revision: Cell::new(0),
            fault: Cell::new(Some(fault)),
            late: RefCell::default(),
            outage: Cell::new(false),
            stale: RefCell::default(),
        }
    }

    fn write(&self, key: &str, revision: ValueRevision, bytes: Bytes) -> SwapResult {
        let mut values = self.values.borrow_mut();
        let present = values.get(key).map_or(0, |value| value.revision);
        if present != revision {
            return SwapResult::Conflict(present);
        }
        self.revision.set(self.revision.get() + 1);
        values.insert(key.into(), StoredValue { revision: self.revision.get(), value: bytes });
        SwapResult::Written(self.revision.get())
    }

    fn head(&self) -> Option<(ValueRevision, HeadObject)> {
        let value = self.values.borrow().get(HEAD_KEY)?.clone();
        Some((value.revision, HeadObject::from_bytes(&value.value).unwrap()))
    }

    /// Another operator stores the present tree anew, as the tool would.
    fn replace_head(&self) {
        let (revision, head) = self.head().unwrap();
        self.write(&history_key(head.version), 0, head.to_bytes().into());
        let other = HeadObject { version: head.version + 1, nonce: "other".into(), ..head };
        let written = self.write(HEAD_KEY, revision, other.to_bytes().into());
        assert!(matches!(written, SwapResult::Written(_)), "{written:?}");
    }

    fn swap_head(&self, fault: HeadFault, revision: ValueRevision, bytes: Bytes) {
        let before = self.values.borrow().get(HEAD_KEY).cloned();
        match fault {
            HeadFault::RequestLost | HeadFault::RequestLostThenReplaced => {}
            HeadFault::WrittenLate => *self.late.borrow_mut() = Some((revision, bytes)),
            _ => drop(self.write(HEAD_KEY, revision, bytes)),
        }
        match fault {
            HeadFault::AnswerLostThenReplaced | HeadFault::RequestLostThenReplaced => {
                self.replace_head();
            }
            HeadFault::AnswerLostThenOutage => self.outage.set(true),
            HeadFault::AnswerLostThenStale => *self.stale.borrow_mut() = before,
            _ => {}
        }
    }
}

fn lost() -> PlatformError {
    PlatformError::Broken("lost".into())
}

impl PlatformStore for &FaultyStore {
    const IS_CURRENT: bool = true;

    async fn read(&self, key: &str) -> Result<Option<StoredValue>, PlatformError> {
        if self.outage.get() {
            return Err(lost());
        }
        let late = if key == HEAD_KEY { self.late.borrow_mut().take() } else { None };
        let stale = self.stale.borrow().clone().filter(|_| key == HEAD_KEY);
        let value = stale.or_else(|| self.values.borrow().get(key).cloned());
        if let Some((revision, bytes)) = late {
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
            return Err(lost());
        }
        if key == HEAD_KEY
            && revision > 0
            && let Some(fault) = self.fault.take()
        {
            self.swap_head(fault, revision, bytes);
            return Err(lost());
        }
        Ok(self.write(key, revision, bytes))
    }

    async fn watch(
        &self,
        _key: &str,
        _after: ValueRevision,
        _wait: Duration,
    ) -> Result<Option<StoredValue>, PlatformError> {
        Ok(None)
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

/// Stores the sample, then a change whose swap meets the fault; gives its version, if it is known.
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
    answer_lost: AnswerLost => Ok(2), 2;
    request_lost: RequestLost => Ok(2), 2;
    written_late: WrittenLate => Ok(2), 2;
    answer_lost_then_replaced: AnswerLostThenReplaced => Ok(2), 3;
    request_lost_then_replaced: RequestLostThenReplaced => Ok(3), 3;
    answer_lost_then_outage: AnswerLostThenOutage => Err(ToolError::OutcomeUnknown { version: 2, .. }), 2;
    answer_lost_then_stale: AnswerLostThenStale => Err(ToolError::OutcomeUnknown { version: 2, .. }), 2;
}
