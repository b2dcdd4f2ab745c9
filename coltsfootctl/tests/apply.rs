//! `apply` against a platform that fails and operators that race.

mod support;

use serde_json::json;

use support::{FakeInstance, SAMPLE, ToolBench, code, error_text, text};

#[test]
fn a_tree_is_stored_shown_and_explained() {
    let bench = ToolBench::with_sample();
    let edited = bench.tree().replace("deadline = \"5 s\"", "deadline = \"4 s\"");
    let report = bench.json(&["apply", "-", "--note", "faster"], &edited);
    assert_eq!((&report["version"], &report["stored"]), (&json!(2), &json!(true)));
    assert_eq!(report["changes"][0]["branch"], "classes.reservations.confirmation");
    let history = bench.json(&["history"], "");
    assert_eq!(history["versions"][0]["note"], "faster");
    assert_eq!(history["versions"][0]["author"], "ana");
    assert_eq!(history["versions"][1]["version"], 1);
    let difference = text(&bench.run(&["diff"], ""));
    assert!(difference.contains("deadline = \"4 s\" (was \"5 s\")"), "{difference}");
    let arguments = ["explain", "--path", "/reservations/4/confirmation", "--customer", "dej"];
    let explained = text(&bench.run(&arguments, ""));
    let line = bench.tree().lines().position(|line| line == "deadline = \"4 s\"").unwrap() + 1;
    let expected = format!("set by classes.reservations.confirmation, line {line}");
    assert!(explained.contains(&expected), "{explained}");
}

macro_rules! outcome_cases {
    ($($case:ident: $arguments:expr, $input:expr => $code:literal, $expected:literal;)*) => {
        $(#[test]
        fn $case() {
            let bench = ToolBench::with_sample();
            let arguments: &[&str] = &$arguments;
            let output = bench.run(arguments, $input);
            let printed = text(&output) + &error_text(&output);
            assert_eq!(code(&output), $code, "{printed}");
            assert!(printed.contains($expected), "{printed}");
            let stored = bench.json(&["history"], "")["versions"][0]["version"].clone();
            let changes = arguments[0] == "apply" && $code == 0 && printed.contains("stored as");
            assert_eq!(stored, if changes { 2 } else { 1 });
        })*
    };
}

outcome_cases! {
    same_tree: ["apply", "-"], SAMPLE => 0, "version 1 holds this already";
    invalid_tree: ["apply", "-"], "[classes]\ntier = 9\n" => 3, "classes: tier: found 9; allowed";
    dry_run: ["apply", "--dry-run", "-"], &SAMPLE.replace("claim_pages = 64", "claim_pages = 32") => 0, "claim_pages = 32 (was 64)";
    one_branch: ["apply", "-", "--branch", "classes.coach-question"], "[classes.coach-question]\nmatch = { model = \"tenis-assistant\" }\ntier = 5\n" => 0, "stored as version 2";
    other_branch: ["apply", "-", "--branch", "classes.coach-question"], "[classes.manager]\ntier = 5\n" => 2, "does not contain classes.coach-question";
    removed_branch: ["apply", "--remove", "pools.assistant.endpoints.e18"], "" => 0, "stored as version 2";
    unknown_branch: ["apply", "--remove", "pools.none"], "" => 7, "no branch pools.none";
    unknown_base: ["apply", "-", "--base", "9"], SAMPLE => 7, "no version 9";
    needed_branch: ["apply", "--remove", "customers"], "" => 3, "at least one customer";
    no_file: ["apply"], "" => 2, "FILE";
    missing_file: ["apply", "/nonexistent.toml"], "" => 1, "/nonexistent.toml";
    wrong_wait: ["apply", "-", "--wait", "5"], SAMPLE => 2, "--wait";
    unknown_customer: ["explain", "--customer", "nobody"], "" => 7, "no customer nobody";
    unknown_version: ["get", "--at", "7"], "" => 7, "no version 7";
    check_reads_only: ["check", "-"], SAMPLE => 0, "valid";
}

#[test]
fn answers_lost_after_every_write_leave_one_version() {
    let bench = ToolBench::new();
    bench.order(json!({ "lose_answers": 1000 }));
    let report = bench.json(&["apply", "-"], SAMPLE);
    assert_eq!((&report["version"], &report["stored"]), (&json!(1), &json!(true)));
    assert_eq!(bench.json(&["history"], "")["versions"].as_array().unwrap().len(), 1);
}

#[test]
fn an_outage_changes_nothing_and_says_so() {
    let bench = ToolBench::with_sample();
    bench.order(json!({ "outage": "refuse" }));
    let output = bench.run(&["apply", "--remove", "pools.assistant.endpoints.e18"], "");
    assert_eq!(code(&output), 1, "{}", error_text(&output));
    bench.order(json!({ "outage": "hang" }));
    let output = bench.run(&["--platform-timeout", "100 ms", "get"], "");
    assert_eq!(code(&output), 1, "{}", error_text(&output));
    assert!(error_text(&output).contains("no answer within 100ms"));
    bench.order(json!({ "outage": "none" }));
    assert_eq!(bench.json(&["history"], "")["versions"][0]["version"], 1);
}

/// Edits of four branches, each by another operator who started from one version.
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
fn racing_operators_on_different_branches_all_get_in() {
    let bench = ToolBench::with_sample();
    let base = bench.tree();
    let edit = |(from, to): &(&str, &str)| {
        assert!(base.contains(from));
        let last_line = from.lines().last().unwrap();
        base.replace(from, &from.replace(last_line, to))
    };
    let children: Vec<_> =
        EDITS.iter().map(|change| bench.start(&["apply", "-"], &edit(change))).collect();
    for child in children {
        let output = child.wait_with_output().unwrap();
        assert_eq!(code(&output), 0, "{}", error_text(&output));
    }
    let tree = bench.tree();
    assert!(tree.starts_with("# coltsfootgate config version 5\n"));
    assert!(EDITS.iter().all(|(_, after)| tree.contains(after)), "{tree}");
}

#[test]
fn of_racing_operators_on_one_branch_one_gets_in_and_the_others_learn_what_they_would_undo() {
    let bench = ToolBench::with_sample();
    let base = bench.tree();
    let edit = |pages: u32| base.replace("claim_pages = 64", &format!("claim_pages = {pages}"));
    let children: Vec<_> =
        (1..=4).map(|pages| bench.start(&["apply", "-"], &edit(pages))).collect();
    let outputs: Vec<_> = children.into_iter().map(|c| c.wait_with_output().unwrap()).collect();
    let mut codes: Vec<_> = outputs.iter().map(code).collect();
    codes.sort();
    assert_eq!(codes, [0, 4, 4, 4]);
    let winner = outputs.iter().position(|output| code(output) == 0).unwrap() + 1;
    assert!(bench.tree().contains(&format!("claim_pages = {winner}\n")));
    let expected = format!("would be lost: ~ deployment: claim_pages = {winner} (was 64)");
    for output in outputs.iter().filter(|output| code(output) == 4) {
        assert!(error_text(output).contains(&expected), "{}", error_text(output));
    }
}

#[test]
fn apply_waits_for_every_live_instance_and_names_the_others() {
    let bench = ToolBench::new();
    let follower = FakeInstance::Follows.start();
    let leaver = FakeInstance::StaysBehind.start();
    bench.list(&[(follower, "live"), (leaver, "leaving")]);
    let output = bench.run(&["apply", "-"], SAMPLE);
    assert_eq!(code(&output), 0, "{}", text(&output));
    assert!(text(&output).contains("in force on 1 of 1 live instances"));
}

macro_rules! rollout_cases {
    ($($case:ident: $instance:expr => $expected:literal;)*) => {
        $(#[test]
        fn $case() {
            let bench = ToolBench::new();
            let straggler = $instance;
            bench.list(&[(FakeInstance::Follows.start(), "live"), (straggler, "live")]);
            let output = bench.run(&["apply", "-", "--wait", "300 ms"], SAMPLE);
            let printed = text(&output);
            assert_eq!(code(&output), 5, "{printed}");
            assert!(printed.contains("stored as version 1"), "{printed}");
            assert!(printed.contains(&format!("{straggler}  cluj-a  NOT in force")), "{printed}");
            assert!(printed.contains($expected), "{printed}");
            assert!(printed.contains("in force on 1 of 2 live instances"), "{printed}");
        })*
    };
}

rollout_cases! {
    instance_behind: FakeInstance::StaysBehind.start() => "NOT in force, version 0";
    instance_without_a_tree: FakeInstance::HasNoTree.start() => "NOT in force, no tree yet";
    instance_out_of_reach: "127.0.0.1:1".parse().unwrap() => "is unreachable";
}

#[test]
fn a_request_is_explained_by_the_instance_that_has_its_record() {
    let bench = ToolBench::with_sample();
    let id = "00000000-0000-4000-8000-000000000001";
    bench.list(&[(FakeInstance::Follows.start(), "live")]);
    let explained = bench.json(&["explain", "--request-id", id], "");
    assert_eq!(explained["record"]["reason"], "rate-limited");
    assert_eq!(explained["rule"]["value"], "20.0");
    assert_eq!(explained["rule"]["branch"], "customers.partners");
    assert_eq!(explained["values"][0]["branch"], "classes.reservations");
    let unknown = bench.run(&["explain", "--request-id", &id.replace('1', "2")], "");
    assert_eq!(code(&unknown), 7);
    assert_eq!(code(&bench.run(&["explain", "--request-id", "../x"], "")), 2);
}

#[test]
fn status_shows_instances_queues_and_endpoints() {
    let bench = ToolBench::with_sample();
    let (first, second) = (FakeInstance::Follows.start(), FakeInstance::Follows.start());
    let silent = "127.0.0.1:1".parse().unwrap();
    bench.list(&[(first, "live"), (second, "leaving"), (silent, "live")]);
    let printed = text(&bench.run(&["status"], ""));
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
