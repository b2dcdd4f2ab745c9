//! The retry budgets of all classes at this instance.

use std::cell::RefCell;
use std::collections::HashMap;

use coltsfootgate_core::attempt::{AttemptFailure, AttemptHistory};
use coltsfootgate_core::prelude::{ClassId, ClassSettings};
use coltsfootgate_core::retry::{RetryBudget, RetryDecision};

use crate::clock;

/// Keeps one [`RetryBudget`] for each class.
#[derive(Debug, Default)]
pub struct BudgetTable {
    budgets: RefCell<HashMap<ClassId, RetryBudget>>,
}

impl BudgetTable {
    /// Notes a new request of a class.
    pub fn note_request(&self, class: &ClassSettings) {
        self.with_budget(class, RetryBudget::record_request);
    }

    /// Whether a retry of a request of a class is left.
    pub fn holds_one(&self, class: &ClassSettings) -> bool {
        self.with_budget(class, |budget| budget.has_retry())
    }

    /// Decides what follows a failed attempt of a request of a class.
    pub fn decide(
        &self,
        class: &ClassSettings,
        history: &mut AttemptHistory,
        failure: AttemptFailure,
    ) -> RetryDecision {
        let now = clock::now();
        self.with_budget(class, |budget| {
            history.handle_failure(failure, now, budget, rand::random())
        })
    }

    fn with_budget<T>(
        &self,
        class: &ClassSettings,
        action: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget =
            budgets.entry(class.id.clone()).or_insert_with(|| RetryBudget::new(class.retry_budget));
        budget.set_share(class.retry_budget);
        action(budget)
    }
}
