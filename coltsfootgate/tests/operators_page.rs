//! The operators' page names every setting, metric, cause and reason.

use coltsfootgate::metrics::{ConnectionSide, DaemonMetrics};
use coltsfootgate::options::DaemonFlags;
use coltsfootgate_core::outcome::RequestOutcome;
use coltsfootgate_core::reason::ErrorKind;
use gumdrop::Options;

const PAGE: &str = include_str!("../../docs/OPERATORS.md");

fn is_named(name: &str) -> bool {
    PAGE.contains(&format!("`{name}`"))
}

#[test]
fn every_flag_is_named() {
    for word in DaemonFlags::usage().split_whitespace().filter(|word| word.starts_with("--")) {
        let flag = word.trim_end_matches([')', ',', ';']);
        assert!(is_named(flag), "{flag}");
    }
}

#[test]
fn every_reason_is_named_with_its_answer() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let outcome = answer.outcome.name().replace('-', " ");
        let row = format!("| `{kind}` | {}, {outcome} |", answer.status);
        assert!(PAGE.contains(&row), "{row}");
    }
}

#[test]
fn every_metric_is_named() {
    let metrics = DaemonMetrics::new();
    // A family shows only once it has a value.
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
        assert!(is_named(name), "{name}");
    }
}
