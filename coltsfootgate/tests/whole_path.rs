//! Tests the whole path of a request: caller, daemon, engine or service, and back.

mod support;

use std::time::Duration;

use coltsfootgate_standins::answer_text::PromptDigest;
use coltsfootgate_standins::engine::{EngineSettings, start_engine};
use coltsfootgate_standins::platform::start_platform;
use coltsfootgate_standins::runner::{ANY_PORT, StandinHandle};
use coltsfootgate_standins::service::start_plain_service;

use serde_json::json;

use support::{TestCall, TestDaemon, put_tree, sample_tree};

struct PathSetup {
    _platform: StandinHandle,
    engine: StandinHandle,
    _service: StandinHandle,
    daemon: TestDaemon,
}

fn start() -> PathSetup {
    let platform = start_platform(ANY_PORT).unwrap();
    let engine = start_engine(ANY_PORT, EngineSettings::default()).unwrap();
    let service = start_plain_service(ANY_PORT, Duration::from_millis(1)).unwrap();
    put_tree(platform.address, 1, &sample_tree(&[engine.address], &[service.address], ""));
    let daemon = TestDaemon::start(platform.address, "a", &[]);
    daemon.wait_ready();
    PathSetup { _platform: platform, engine, _service: service, daemon }
}

fn expected_text(prompt: &str, max_tokens: u32) -> String {
    let digest = PromptDigest::of(prompt);
    let length = digest.answer_length(EngineSettings::default().seed, max_tokens);
    digest.text(0, length)
}

#[test]
fn a_streamed_answer_arrives_complete() {
    let setup = start();
    let prompt = "which coupler fits a brass boxcar";
    let answer = TestCall::stream(prompt, 64).send(setup.daemon.ports.callers);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.header("coltsfootgate-outcome"), "streaming");
    assert!(answer.is_complete(), "{answer:?}");
    assert!(expected_text(prompt, 64).starts_with(&answer.stream_text()), "{answer:?}");
    let end = answer.end_event();
    assert_eq!(end["outcome"], "completed");
    assert_eq!(end["rule"], "classes");
    assert_eq!(end["config_version"], 1);
    let record = setup.daemon.record(end["request_id"].as_str().unwrap());
    assert_eq!(record["outcome"], "completed");
    assert_eq!(record["class"], "classes");
    assert_eq!(record["endpoint"], "pools.model.endpoints.e0");
}

#[test]
fn an_unstreamed_answer_arrives_complete() {
    let setup = start();
    let answer = TestCall::model("a short note", 32, false).send(setup.daemon.ports.callers);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.header("coltsfootgate-outcome"), "completed");
    assert_eq!(answer.json()["id"], answer.header("coltsfootgate-request-id"));
}

#[test]
fn a_plain_service_is_selected_by_the_path() {
    let setup = start();
    let answer = TestCall::new("POST", "/orders/7", b"{}").send(setup.daemon.ports.callers);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.header("coltsfootgate-outcome"), "completed");
    assert_eq!(answer.header("coltsfootgate-rule"), "classes.once");
}

#[test]
fn an_interrupted_stream_reports_its_outcome() {
    let setup = start();
    setup.engine.control.send(&json!({"cut_after_tokens": 3})).unwrap();
    let is_long = |prompt: &String| expected_text(prompt, 512).split(' ').count() > 100;
    let prompt = (0..).map(|number| format!("long {number}")).find(is_long).unwrap();
    let answer = TestCall::stream(&prompt, 512).send(setup.daemon.ports.callers);
    assert!(!answer.is_complete() && !answer.transfer_complete, "{answer:?}");
    assert_eq!(answer.end_event()["outcome"], "partially-run");
    assert_eq!(answer.end_event()["reason"], "answer-cut-short");
    assert!(answer.events().iter().any(|data| data.starts_with("{\"error\":")), "{answer:?}");
}

#[test]
fn models_are_listed() {
    let setup = start();
    let answer = TestCall::new("GET", "/v1/models", b"").send(setup.daemon.ports.callers);
    assert_eq!(answer.json()["data"][0]["id"], "parts");
}

#[test]
fn reload_signals_do_not_interrupt_the_service() {
    let setup = start();
    for number in 1..=2 {
        setup.daemon.reload();
        setup.daemon.wait_for("a line for each reload", || {
            let lines = setup.daemon.log_lines();
            let reloads = lines.iter().filter(|line| line.contains("reload:")).count();
            (reloads == number).then_some(())
        });
        let answer = TestCall::model("a short note", 8, false).send(setup.daemon.ports.callers);
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}
