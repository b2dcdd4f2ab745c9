//! Callers that are refused together come back spread, and not in vain.

use std::time::Duration;

use coltsfootgate_core::comeback::comeback_time;
use coltsfootgate_core::reason::ErrorKind;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

/// A crowd that is refused at one moment, whose requests the endpoints could serve in `drain`.
#[rstest]
#[case::queue_full(ErrorKind::QueueFull, SECOND)]
#[case::deadline(ErrorKind::DeadlineUnmeetable, SECOND * 3)]
#[case::displaced(ErrorKind::Displaced, SECOND / 2)]
#[case::endpoints_lost(ErrorKind::NoEndpoint, Duration::ZERO)]
fn a_crowd_comes_back_spread(#[case] kind: ErrorKind, #[case] drain: Duration) {
    let mut random = StdRng::seed_from_u64(7);
    let mut times: Vec<Duration> =
        (0..1000).map(|_| comeback_time(kind, drain, random.random())).collect();
    times.sort();
    assert!(times[0] >= drain, "{:?} is before the queue is served", times[0]);
    let width = times[999] - times[0];
    assert!(width >= times[0] / 3, "all within {width:?}");
    // No fiftieth of the spread holds more than a tenth of the crowd.
    let most = times.windows(100).map(|window| window[99] - window[0]).min().unwrap();
    assert!(most >= width / 50, "a hundred within {most:?}");
}

#[rstest]
#[case::free_slots(ErrorKind::QueueFull, Duration::ZERO)]
#[case::no_endpoint(ErrorKind::NoEndpoint, Duration::ZERO)]
#[case::endless(ErrorKind::QueueFull, SECOND * 10_000)]
fn a_time_is_neither_none_nor_endless(#[case] kind: ErrorKind, #[case] drain: Duration) {
    for random in [0.0, 0.5, 1.0, f64::MAX] {
        let time = comeback_time(kind, drain, random);
        assert!(time >= Duration::from_millis(50) && time <= SECOND * 10, "{time:?}");
    }
}
