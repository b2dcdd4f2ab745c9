//! Checks that docs/OPERATORS.md documents every flag, error reason and metric.

use coltsfootgate::metrics::{ConnectionSide, DaemonMetrics};
use coltsfootgate::options::DaemonFlags;
use coltsfootgate_core::outcome::RequestOutcome;
use coltsfootgate_core::reason::ErrorKind;
use gumdrop::Options;

const PAGE: &str = include_str!("../../docs/OPERATORS.md");

fn is_documented(name: &str) -> bool {
    PAGE.contains(&format!("`{name}`"))
}

#[test]
fn every_flag_is_documented() {
    for word in DaemonFlags::usage().split_whitespace().filter(|word| word.starts_with("--")) {
        let flag = word.trim_end_matches([')', ',', ';']);
        assert!(is_documented(flag), "{flag}");
    }
}

#[test]
fn every_reason_is_documented_with_its_status_and_outcome() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let outcome = answer.outcome.name().replace('-', " ");
        let row = format!("| `{kind}` | {}, {outcome} |", answer.status);
        assert!(PAGE.contains(&row), "{row}");
    }
}

#[test]
fn every_metric_is_documented() {
    let metrics = DaemonMetrics::new();
    // A metric family is encoded only once it has a sample.
    metrics.request_ended("a", RequestOutcome::Completed, None);
    metrics.tokens_counted("a", 1, 1);
    metrics.peer_fault("silent");
    metrics.connection_refused(ConnectionSide::Callers);
    metrics.peer_bytes_sent(1);
    metrics.peer_message_sent("ask", 1);
    metrics.instances_known("alive", 1);
    let text = String::from_utf8(metrics.encode()).unwrap();
    for name in text.lines().filter_map(|line| line.strip_prefix("# TYPE ")) {
        let name = name.split(' ').next().unwrap();
        assert!(is_documented(name), "{name}");
    }
}
