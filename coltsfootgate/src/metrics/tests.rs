//! Tests of the exported metrics.

use super::*;

fn text(metrics: &DaemonMetrics) -> String {
    String::from_utf8(metrics.encode()).unwrap()
}

#[test]
fn every_reason_starts_at_zero() {
    let text = text(&DaemonMetrics::new());
    let refusals = ErrorKind::ALL.iter().map(|kind| ("refusals", kind.code()));
    let retries = RetryReason::ALL.iter().map(|reason| ("retries", reason.name()));
    for (family, reason) in refusals.chain(retries) {
        let line = format!("coltsfootgate_{family}_total{{class=\"-\",reason=\"{reason}\"}} 0");
        assert!(text.contains(&line), "{line}");
    }
}

#[test]
fn refusals_are_counted_by_class_and_reason() {
    let metrics = DaemonMetrics::new();
    metrics.request_ended("classes.a", RequestOutcome::NotRun, Some(ErrorKind::QueueFull));
    metrics.request_ended("classes.a", RequestOutcome::Completed, None);
    let text = text(&metrics);
    for line in [
        "coltsfootgate_refusals_total{class=\"classes.a\",reason=\"queue-full\"} 1",
        "coltsfootgate_requests_total{class=\"classes.a\",outcome=\"not-run\"} 1",
        "coltsfootgate_requests_total{class=\"classes.a\",outcome=\"completed\"} 1",
    ] {
        assert!(text.contains(line), "{text}");
    }
}

#[test]
fn a_connection_is_counted_until_it_is_dropped() {
    let metrics = DaemonMetrics::new();
    let count = metrics.connection_opened(ConnectionSide::Callers);
    assert_eq!(metrics.open_connections(ConnectionSide::Callers), 1);
    drop(count);
    assert_eq!(metrics.open_connections(ConnectionSide::Callers), 0);
}

#[test]
fn decisions_of_an_owner_are_counted_by_pool() {
    let metrics = DaemonMetrics::new();
    let mut activity = OwnerActivity::default();
    activity.record_grant(false);
    activity.record_grant(true);
    activity.record_deferral(DeferralCause::PrefillBacklog);
    metrics.owner_decided("pools.a", &activity);
    let text = text(&metrics);
    for line in [
        "coltsfootgate_grants_total{overtaking=\"no\",pool=\"pools.a\"} 1",
        "coltsfootgate_grants_total{overtaking=\"yes\",pool=\"pools.a\"} 1",
        "coltsfootgate_deferrals_total{cause=\"prefill-backlog\",pool=\"pools.a\"} 1",
        "coltsfootgate_deferrals_total{cause=\"no-slot\",pool=\"pools.a\"} 0",
    ] {
        assert!(text.contains(line), "{text}");
    }
}
