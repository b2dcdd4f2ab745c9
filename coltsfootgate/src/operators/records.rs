//! The decision records of the requests that this instance accepted lately.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use coltsfootgate_core::ids::RequestId;

/// Decision records that are kept.
const RECORDS_MAX: usize = 16_384;

#[derive(Debug, Default)]
struct RecordTable {
    records: HashMap<RequestId, Arc<str>>,
    order: VecDeque<RequestId>,
}

/// Keeps the latest decision records as JSON text; clones share the same records.
#[derive(Clone, Debug, Default)]
pub struct RequestRecords(Rc<RefCell<RecordTable>>);

impl RequestRecords {
    /// Keeps the record of a request and forgets the oldest beyond the bound.
    pub fn insert(&self, id: RequestId, record: Arc<str>) {
        let mut table = self.0.borrow_mut();
        if table.records.insert(id, record).is_none() {
            table.order.push_back(id);
        }
        if table.order.len() > RECORDS_MAX
            && let Some(oldest) = table.order.pop_front()
        {
            table.records.remove(&oldest);
        }
    }

    /// The record of a request, if it is still kept.
    pub fn record(&self, id: RequestId) -> Option<Arc<str>> {
        self.0.borrow().records.get(&id).cloned()
    }
}
