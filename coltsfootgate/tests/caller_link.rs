//! Tests the answer of a request whose task ends without one.

use coltsfootgate::entry::CallerLink;
use futures_util::FutureExt;
use http::StatusCode;

/// Guards against a caller that is told that its request did not run although it may have been sent.
#[test]
fn a_request_whose_task_is_dropped_is_not_answered_as_not_run() {
    let (link, receiver) = CallerLink::new();
    drop(link);
    let answer = receiver.receive().now_or_never().expect("the answer is known at once");
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
}
