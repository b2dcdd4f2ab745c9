//! `apply` and the other commands, with a failing platform and concurrent operators.

mod support;

use serde_json::json;

use support::{FakeInstance, SAMPLE, ToolHarness, exit_code, stderr_text, stdout_text};

#[test]
fn a_tree_is_stored_listed_and_explained() {
    let harness = ToolHarness::with_sample();
    let edited = harness.tree().replace("deadline = \"5 s\"", "deadline = \"4 s\"");
    let report = harness.json(&["apply", "-", "--note", "faster"], &edited);
    assert_eq!((&report["version"], &report["stored"]), (&json!(2), &json!(true)));
    assert_eq!(report["changes"][0]["branch"], "classes.reservations.confirmation");
    let history = harness.json(&["history"], "");
    assert_eq!(history["versions"][0]["note"], "faster");
    assert_eq!(history["versions"][0]["author"], "ana");
    assert_eq!(history["versions"][1]["version"], 1);
    let difference = stdout_text(&harness.run(&["diff"], ""));
    assert!(difference.contains("deadline = \"4 s\" (was \"5 s\")"), "{difference}");
    let arguments = ["explain", "--path", "/reservations/4/confirmation", "--customer", "dej"];
    let explained = stdout_text(&harness.run(&arguments, ""));
    let line = harness.tree().lines().position(|line| line == "deadline = \"4 s\"").unwrap() + 1;
    let expected = format!("set by classes.reservations.confirmation, line {line}");
    assert!(explained.contains(&expected), "{explained}");
}

macro_rules! outcome_cases {
    ($($case:ident: $arguments:expr, $input:expr => $code:literal, $expected:literal;)*) => {
        $(#[test]
        fn $case() {
            let harness = ToolHarness::with_sample();
            let arguments: &[&str] = &$arguments;
            let output = harness.run(arguments, $input);
            let printed = stdout_text(&output) + &stderr_text(&output);
            assert_eq!(exit_code(&output), $code, "{printed}");
            assert!(printed.contains($expected), "{printed}");
            let stored = harness.json(&["history"], "")["versions"][0]["version"].clone();
            let is_stored = arguments[0] == "apply" && $code == 0 && printed.contains("stored as");
            assert_eq!(stored, if is_stored { 2 } else { 1 });
        })*
    };
}

outcome_cases! {
    same_tree: ["apply", "-"], SAMPLE => 0, "version 1 already contains this change";
    invalid_tree: ["apply", "-"], "[classes]\ntier = 9\n" => 3, "classes: tier: found 9; allowed";
    dry_run: ["apply", "--dry-run", "-"], &SAMPLE.replace("claim_pages = 64", "claim_pages = 32") => 0, "claim_pages = 32 (was 64)";
    one_branch: ["apply", "-", "--branch", "classes.coach-question"], "[classes.coach-question]\nmatch = { model = \"tenis-assistant\" }\ntier = 5\n" => 0, "stored as version 2";
    other_branch: ["apply", "-", "--branch", "classes.coach-question"], "[classes.manager]\ntier = 5\n" => 2, "does not contain classes.coach-question";
    removed_branch: ["apply", "--remove", "pools.assistant.endpoints.e18"], "" => 0, "stored as version 2";
    unknown_branch: ["apply", "--remove", "pools.none"], "" => 7, "no branch pools.none";
    unknown_base: ["apply", "-", "--base", "9"], SAMPLE => 7, "no version 9";
    required_branch: ["apply", "--remove", "customers"], "" => 3, "at least one customer";
    no_file: ["apply"], "" => 2, "FILE";
    missing_file: ["apply", "/nonexistent.toml"], "" => 1, "/nonexistent.toml";
    invalid_wait: ["apply", "-", "--wait", "5"], SAMPLE => 2, "--wait";
    unknown_customer: ["explain", "--customer", "nobody"], "" => 7, "no customer nobody";
    unknown_version: ["get", "--at", "7"], "" => 7, "no version 7";
    check_stores_nothing: ["check", "-"], SAMPLE => 0, "valid";
}

#[test]
fn lost_responses_store_one_version() {
    let harness = ToolHarness::new();
    harness.configure_platform(json!({ "lose_answers": 1000 }));
    let report = harness.json(&["apply", "-"], SAMPLE);
    assert_eq!((&report["version"], &report["stored"]), (&json!(1), &json!(true)));
    assert_eq!(harness.json(&["history"], "")["versions"].as_array().unwrap().len(), 1);
}

#[test]
fn an_outage_is_reported_and_changes_nothing() {
    let harness = ToolHarness::with_sample();
    harness.configure_platform(json!({ "outage": "refuse" }));
    let output = harness.run(&["apply", "--remove", "pools.assistant.endpoints.e18"], "");
    assert_eq!(exit_code(&output), 1, "{}", stderr_text(&output));
    harness.configure_platform(json!({ "outage": "hang" }));
    let output = harness.run(&["--platform-timeout", "100 ms", "get"], "");
    assert_eq!(exit_code(&output), 1, "{}", stderr_text(&output));
    assert!(stderr_text(&output).contains("no answer within 100ms"));
    harness.configure_platform(json!({ "outage": "none" }));
    assert_eq!(harness.json(&["history"], "")["versions"][0]["version"], 1);
}

/// Edits of four branches, each by a different operator and all based on the same version.
const EDITS: [(&str, &str); 4] = [
    (
        "match = { model = [\"tenis-assistant\"], header = { X-Kind = \"coach-question\" } }\ntier = 4",
        "tier = 5",
    ),
    ("deadline = \"5 s\"", "deadline = \"4 s\""),
    ("claim_pages = 64", "claim_pages = 32"),
    ("silence = \"1.5 s\"", "silence = \"2.5 s\""),
];

#[test]
fn concurrent_changes_of_different_branches_are_merged() {
    let harness = ToolHarness::with_sample();
    let base = harness.tree();
    let edit = |(from, to): &(&str, &str)| {
        assert!(base.contains(from));
        let last_line = from.lines().last().unwrap();
        base.replace(from, &from.replace(last_line, to))
    };
    let children: Vec<_> =
        EDITS.iter().map(|change| harness.spawn(&["apply", "-"], &edit(change))).collect();
    for child in children {
        let output = child.wait_with_output().unwrap();
        assert_eq!(exit_code(&output), 0, "{}", stderr_text(&output));
    }
    let tree = harness.tree();
    assert!(tree.starts_with("# coltsfootgate config version 5\n"));
    assert!(EDITS.iter().all(|(_, after)| tree.contains(after)), "{tree}");
}

#[test]
fn concurrent_changes_of_one_branch_conflict_and_list_what_would_be_overwritten() {
    let harness = ToolHarness::with_sample();
    let base = harness.tree();
    let edit = |pages: u32| base.replace("claim_pages = 64", &format!("claim_pages = {pages}"));
    let children: Vec<_> =
        (1..=4).map(|pages| harness.spawn(&["apply", "-"], &edit(pages))).collect();
    let outputs: Vec<_> = children.into_iter().map(|c| c.wait_with_output().unwrap()).collect();
    let mut codes: Vec<_> = outputs.iter().map(exit_code).collect();
    codes.sort();
    assert_eq!(codes, [0, 4, 4, 4]);
    let winner = outputs.iter().position(|output| exit_code(output) == 0).unwrap() + 1;
    assert!(harness.tree().contains(&format!("claim_pages = {winner}\n")));
    let expected = format!("would be lost: ~ deployment: claim_pages = {winner} (was 64)");
    for output in outputs.iter().filter(|output| exit_code(output) == 4) {
        assert!(stderr_text(output).contains(&expected), "{}", stderr_text(output));
    }
}

#[test]
fn apply_waits_for_live_but_not_for_leaving_instances() {
    let harness = ToolHarness::new();
    let up_to_date = FakeInstance::UpToDate.start();
    let leaving = FakeInstance::Outdated.start();
    harness.list_instances(&[(up_to_date, "live"), (leaving, "leaving")]);
    let output = harness.run(&["apply", "-"], SAMPLE);
    assert_eq!(exit_code(&output), 0, "{}", stdout_text(&output));
    assert!(stdout_text(&output).contains("in force on 1 of 1 live instances"));
}

macro_rules! rollout_cases {
    ($($case:ident: $instance:expr => $expected:literal;)*) => {
        $(#[test]
        fn $case() {
            let harness = ToolHarness::new();
            let straggler = $instance;
            harness.list_instances(&[(FakeInstance::UpToDate.start(), "live"), (straggler, "live")]);
            let output = harness.run(&["apply", "-", "--wait", "300 ms"], SAMPLE);
            let printed = stdout_text(&output);
            assert_eq!(exit_code(&output), 5, "{printed}");
            assert!(printed.contains("stored as version 1"), "{printed}");
            assert!(printed.contains(&format!("{straggler}  cluj-a  NOT in force")), "{printed}");
            assert!(printed.contains($expected), "{printed}");
            assert!(printed.contains("in force on 1 of 2 live instances"), "{printed}");
        })*
    };
}

rollout_cases! {
    instance_outdated: FakeInstance::Outdated.start() => "NOT in force, version 0";
    instance_without_a_tree: FakeInstance::WithoutTree.start() => "NOT in force, no tree yet";
    instance_unreachable: "127.0.0.1:1".parse().unwrap() => "is unreachable";
}

#[test]
fn a_request_is_explained_by_the_instance_that_has_its_record() {
    let harness = ToolHarness::with_sample();
    let id = "00000000-0000-4000-8000-000000000001";
    harness.list_instances(&[(FakeInstance::UpToDate.start(), "live")]);
    let explained = harness.json(&["explain", "--request-id", id], "");
    assert_eq!(explained["record"]["reason"], "rate-limited");
    assert_eq!(explained["rule"]["value"], "20.0");
    assert_eq!(explained["rule"]["branch"], "customers.partners");
    assert_eq!(explained["values"][0]["branch"], "classes.reservations");
    let unknown = harness.run(&["explain", "--request-id", &id.replace('1', "2")], "");
    assert_eq!(exit_code(&unknown), 7);
    assert_eq!(exit_code(&harness.run(&["explain", "--request-id", "../x"], "")), 2);
}

#[test]
fn status_shows_instances_queues_and_endpoints() {
    let harness = ToolHarness::with_sample();
    let (first, second) = (FakeInstance::UpToDate.start(), FakeInstance::UpToDate.start());
    let unreachable = "127.0.0.1:1".parse().unwrap();
    harness.list_instances(&[(first, "live"), (second, "leaving"), (unreachable, "live")]);
    let printed = stdout_text(&harness.run(&["status"], ""));
    let words: Vec<Vec<_>> =
        printed.lines().map(|line| line.split_whitespace().collect()).collect();
    let expected = [
        "stored version 1".to_owned(),
        format!("{second} cluj-a leaving 0 1 of 2"),
        "pools.p 0 0 0 0 0 0 0 0 4".to_owned(),
        format!("pools.p.e1 {first} healthy 3 of 8"),
    ];
    for line in expected {
        let line: Vec<_> = line.split_whitespace().collect();
        assert!(words.contains(&line), "{line:?} in {printed}");
    }
    assert!(printed.contains("is unreachable"), "{printed}");
}
