//! Checks that docs/OPERATIONS.md names only existing metrics, reasons, outcomes, flags and log
//! lines.

use std::collections::BTreeSet;

use coltsfootgate::options::DaemonFlags;
use coltsfootgate::pipeline::DecisionRecord;
use coltsfootgate_core::outcome::RequestOutcome;
use coltsfootgate_core::reason::ErrorKind;
use gumdrop::Options;

const PAGE: &str = include_str!("../../docs/OPERATIONS.md");
const INTERFACES_PAGE: &str = include_str!("../../docs/INTERFACES.md");
const OPERATORS_PAGE: &str = include_str!("../../docs/OPERATORS.md");
/// The outcomes of failed requests, which the page may name.
const OUTCOMES: [RequestOutcome; 3] =
    [RequestOutcome::NotRun, RequestOutcome::PartiallyRun, RequestOutcome::Unknown];
/// The source files that write the log lines and messages quoted by the page.
const SOURCES: [&str; 6] = [
    include_str!("../src/tree/watch.rs"),
    include_str!("../src/tree/task.rs"),
    include_str!("../src/owner/task.rs"),
    include_str!("../src/pipeline/admit.rs"),
    include_str!("../src/pipeline/identify.rs"),
    include_str!("../src/logging/writer.rs"),
];

/// The first word of each text between backticks.
fn quoted_words() -> BTreeSet<&'static str> {
    let quoted = PAGE.split('`').skip(1).step_by(2);
    quoted.filter_map(|text| text.split_whitespace().next()).collect()
}

#[test]
fn every_counter_is_documented_for_operators() {
    let counters = quoted_words().into_iter().filter(|word| word.starts_with("coltsfootgate_"));
    let mut count = 0;
    for counter in counters {
        assert!(OPERATORS_PAGE.contains(&format!("| `{counter}` |")), "{counter}");
        count += 1;
    }
    assert!(count >= 5, "the page names only {count} counters");
}

#[test]
fn every_hyphenated_word_is_a_reason_outcome_or_flag() {
    let words: BTreeSet<_> = quoted_words().into_iter().filter(|word| word.contains('-')).collect();
    let usage = DaemonFlags::usage();
    let tool_flags = ["--log", "--platform", "--base-tree"];
    for word in words {
        let is_reason = ErrorKind::ALL.iter().any(|kind| kind.code() == word);
        let is_outcome = OUTCOMES.iter().any(|outcome| outcome.name() == word);
        let is_flag = usage.contains(word) || tool_flags.contains(&word);
        assert!(is_reason || is_outcome || is_flag, "{word}");
    }
}

#[test]
fn every_quoted_line_exists_in_the_source() {
    for line in [
        "could not follow the head in the store",
        "the store answers again",
        "the settings were last confirmed",
        "the expected wait is longer than the request's deadline",
        "log lines were dropped",
    ] {
        assert!(PAGE.replace("\n   ", " ").contains(line), "the page does not quote {line:?}");
        assert!(
            SOURCES.iter().any(|source| source.contains(line)),
            "no source file contains {line:?}"
        );
    }
}

#[test]
fn every_field_of_a_decision_record_is_documented() {
    let record = serde_json::to_value(DecisionRecord::default()).unwrap();
    for field in record.as_object().unwrap().keys() {
        assert!(INTERFACES_PAGE.contains(&format!("`{field}`")), "{field}");
    }
}
