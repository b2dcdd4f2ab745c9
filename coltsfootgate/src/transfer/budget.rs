//! Bounds the memory for requests and for parts of answers that cannot be forwarded yet, over all of them.

use std::cell::Cell;
use std::rc::Rc;

/// Memory for buffered parts of answers, in bytes.
const ANSWER_BYTES: usize = 32 * 1024 * 1024;
/// Bytes that each answer may buffer without drawing on the budget.
const ANSWER_FREE_BYTES: usize = 64 * 1024;
/// Memory for the bodies of requests, in bytes.
const REQUEST_BYTES: usize = 48 * 1024 * 1024;
/// Bytes of the body of each request that do not draw on the budget.
const REQUEST_FREE_BYTES: usize = 8 * 1024;

/// The memory that is left for buffers of one kind; clones share the same budget.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    left: Rc<Cell<usize>>,
    free_bytes: usize,
}

impl BufferBudget {
    /// Creates the budget for answers.
    pub fn for_answers() -> Self {
        Self { left: Rc::new(Cell::new(ANSWER_BYTES)), free_bytes: ANSWER_FREE_BYTES }
    }

    /// Creates the budget for the bodies of requests.
    pub fn for_requests() -> Self {
        Self { left: Rc::new(Cell::new(REQUEST_BYTES)), free_bytes: REQUEST_FREE_BYTES }
    }

    /// Starts the share of one answer or request.
    pub fn share(&self) -> BufferShare {
        BufferShare { budget: self.clone(), charged: 0 }
    }

    /// Whether a buffer of this size would be covered now.
    pub fn covers(&self, bytes: usize) -> bool {
        bytes.saturating_sub(self.free_bytes) <= self.left.get()
    }
}

/// The memory of one answer or request, which returns to the budget when the share is dropped.
#[derive(Debug)]
pub struct BufferShare {
    budget: BufferBudget,
    charged: usize,
}

impl BufferShare {
    /// Changes the size of the buffer; returns false if the budget does not cover it.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let charge = bytes.saturating_sub(self.budget.free_bytes);
        let left = &self.budget.left;
        let available = left.get() + self.charged;
        let is_covered = charge <= available;
        if is_covered {
            left.set(available - charge);
            self.charged = charge;
        }
        is_covered
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        let left = &self.budget.left;
        left.set(left.get() + self.charged);
    }
}
