//! Retry delays of callers that are refused together: spread, and long enough to succeed.

use std::time::Duration;

use coltsfootgate_core::comeback::{rest_end_delay, retry_after_delay};
use coltsfootgate_core::reason::ErrorKind;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

/// A thousand callers are refused at one moment, and the queue ahead is served in `queue_time`.
/// Equal delays would make them retry together and be refused again.
#[rstest]
#[case::queue_full(ErrorKind::QueueFull, SECOND)]
#[case::deadline(ErrorKind::DeadlineUnmeetable, SECOND * 3)]
#[case::displaced(ErrorKind::Displaced, SECOND / 2)]
#[case::endpoints_lost(ErrorKind::NoEndpoint, Duration::ZERO)]
fn retries_after_simultaneous_refusals_are_spread(
    #[case] kind: ErrorKind,
    #[case] queue_time: Duration,
) {
    let mut random = StdRng::seed_from_u64(7);
    let mut delays: Vec<Duration> =
        (0..1000).map(|_| retry_after_delay(kind, queue_time, random.random())).collect();
    delays.sort();
    assert!(delays[0] >= queue_time, "{:?} is before the queue is served", delays[0]);
    let width = delays[999] - delays[0];
    assert!(width >= delays[0] / 3, "all callers within {width:?}");
    // No 2 % of the spread contains more than 10 % of the callers.
    let densest = delays.windows(100).map(|window| window[99] - window[0]).min().unwrap();
    assert!(densest >= width / 50, "100 callers within {densest:?}");
}

#[rstest]
#[case::free_slots(ErrorKind::QueueFull, Duration::ZERO)]
#[case::no_endpoint(ErrorKind::NoEndpoint, Duration::ZERO)]
#[case::very_long_queue(ErrorKind::QueueFull, SECOND * 10_000)]
fn the_delay_stays_within_its_bounds(#[case] kind: ErrorKind, #[case] queue_time: Duration) {
    for random in [0.0, 0.5, 1.0, f64::MAX] {
        let delay = retry_after_delay(kind, queue_time, random);
        assert!(delay >= Duration::from_millis(50) && delay <= SECOND * 10, "{delay:?}");
    }
}

/// The end of a rest is known: callers are spread, but no caller waits long for endpoints that are back.
#[rstest]
#[case::short(SECOND / 4)]
#[case::seconds(SECOND * 3)]
#[case::long(SECOND * 8)]
fn callers_return_soon_after_the_end_of_a_rest(#[case] rest: Duration) {
    let mut random = StdRng::seed_from_u64(7);
    let mut delays: Vec<Duration> =
        (0..1000).map(|_| rest_end_delay(rest, random.random())).collect();
    delays.sort();
    let (first, last) = (delays[0], delays[999]);
    assert!(first >= rest, "{first:?} is before the end");
    assert!(last <= rest + SECOND, "{last:?} is long after the end");
    let width = last - first;
    assert!(width >= (rest / 3).min(SECOND * 9 / 10), "all callers within {width:?}");
    let densest = delays.windows(100).map(|window| window[99] - window[0]).min().unwrap();
    assert!(densest >= width / 50, "100 callers within {densest:?}");
}
