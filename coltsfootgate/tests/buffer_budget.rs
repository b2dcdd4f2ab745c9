//! Tests the memory budget for answers that cannot be forwarded yet.

use coltsfootgate::transfer::BufferBudget;

const LARGE: usize = 4 * 1024 * 1024;
const SMALL: usize = 16 * 1024;

#[test]
fn the_budget_is_shared_by_all_answers() {
    let budget = BufferBudget::for_answers();
    let mut shares = Vec::new();
    loop {
        let mut share = budget.share();
        if !share.resize(LARGE) {
            break;
        }
        shares.push(share);
    }
    assert!((4..32).contains(&shares.len()), "{} large answers fit", shares.len());
    let mut refused = budget.share();
    assert!(!refused.resize(LARGE));
    shares.pop();
    assert!(refused.resize(LARGE), "an answer that ends returns its memory");
}

/// Answers of the usual size are served also if others use up the budget.
#[test]
fn small_buffers_do_not_draw_on_the_budget() {
    let budget = BufferBudget::for_answers();
    let mut large: Vec<_> = (0..1_000).map(|_| budget.share()).collect();
    while large.iter_mut().any(|share| share.resize(LARGE)) && large.len() > 1 {
        large.truncate(large.len() / 2);
    }
    let mut small: Vec<_> = (0..10_000).map(|_| budget.share()).collect();
    assert!(small.iter_mut().all(|share| share.resize(SMALL)));
}
