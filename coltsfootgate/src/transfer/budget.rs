//! Bounds the memory for parts of answers that cannot be forwarded yet, over all requests.

use std::cell::Cell;
use std::rc::Rc;

/// Memory for buffered parts of answers, in bytes.
const BUDGET_BYTES: usize = 32 * 1024 * 1024;
/// Bytes that each answer may buffer without drawing on the budget.
const FREE_BYTES: usize = 64 * 1024;

/// The memory that is left for buffered answers; clones share the same budget.
#[derive(Clone, Debug)]
pub struct BufferBudget(Rc<Cell<usize>>);

impl Default for BufferBudget {
    fn default() -> Self {
        Self(Rc::new(Cell::new(BUDGET_BYTES)))
    }
}

impl BufferBudget {
    /// Starts the share of one answer.
    pub fn share(&self) -> BufferShare {
        BufferShare { budget: self.clone(), charged: 0 }
    }
}

/// The memory of one answer, which returns to the budget when the share is dropped.
#[derive(Debug)]
pub struct BufferShare {
    budget: BufferBudget,
    charged: usize,
}

impl BufferShare {
    /// Changes the size of the buffer; returns false if the budget does not cover it.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let charge = bytes.saturating_sub(FREE_BYTES);
        let available = self.budget.0.get() + self.charged;
        let is_covered = charge <= available;
        if is_covered {
            self.budget.0.set(available - charge);
            self.charged = charge;
        }
        is_covered
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.budget.0.set(self.budget.0.get() + self.charged);
    }
}
