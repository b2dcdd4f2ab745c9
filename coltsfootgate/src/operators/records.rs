//! The decision records of the requests that this instance accepted most recently.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use coltsfootgate_core::ids::RequestId;

/// Maximum number of decision records that are kept.
const RECORDS_MAX: usize = 16_384;

#[derive(Debug, Default)]
struct RecordTable {
    records: HashMap<RequestId, Arc<str>>,
    by_caller_id: HashMap<Arc<str>, RequestId>,
    /// The requests with their callers' ids, oldest first.
    order: VecDeque<(RequestId, Option<Arc<str>>)>,
}

/// Keeps the most recent decision records as JSON text; clones share the same records.
#[derive(Clone, Debug, Default)]
pub struct RequestRecords(Rc<RefCell<RecordTable>>);

impl RequestRecords {
    /// Adds the record of a request, and removes the oldest one if there are too many.
    pub fn insert(&self, id: RequestId, caller_id: Option<Arc<str>>, record: Arc<str>) {
        let mut table = self.0.borrow_mut();
        if let Some(caller_id) = &caller_id {
            table.by_caller_id.insert(caller_id.clone(), id);
        }
        if table.records.insert(id, record).is_none() {
            table.order.push_back((id, caller_id));
        }
        if table.order.len() > RECORDS_MAX {
            table.remove_oldest();
        }
    }

    /// The record of a request, by its id or the id that the caller gave it; `None` if it is not
    /// kept.
    pub fn record(&self, id: &str) -> Option<Arc<str>> {
        let table = self.0.borrow();
        let id = match table.by_caller_id.get(id) {
            Some(id) => *id,
            None => id.parse().ok()?,
        };
        table.records.get(&id).cloned()
    }
}

impl RecordTable {
    fn remove_oldest(&mut self) {
        let Some((id, caller_id)) = self.order.pop_front() else { return };
        self.records.remove(&id);
        // The caller may have reused its id for a later request.
        if let Some(caller_id) = caller_id
            && self.by_caller_id.get(&caller_id) == Some(&id)
        {
            self.by_caller_id.remove(&caller_id);
        }
    }
}
