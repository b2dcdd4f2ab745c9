//! Tests of the engine stand-in's properties on which other tests rely.

use std::thread;
use std::time::Duration;

use coltsfootgate_standins::answer_text::PromptDigest;
use coltsfootgate_standins::control::blocking_call;
use coltsfootgate_standins::engine::{self, EngineSettings};
use coltsfootgate_standins::runner::ANY_PORT;
use rstest::rstest;
use serde_json::{Value, json};

const SEED: u64 = 11;
const MAX_TOKENS: u32 = 80;

fn chat_request(prompt: &str, stream: bool) -> Vec<u8> {
    let messages = json!([{"role": "user", "content": prompt}]);
    json!({"messages": messages, "stream": stream, "max_tokens": MAX_TOKENS})
        .to_string()
        .into_bytes()
}

fn settings() -> EngineSettings {
    EngineSettings { seed: SEED, step_base: Duration::from_micros(200), ..Default::default() }
}

#[rstest]
#[case::one_prompt("a prompt")]
#[case::another_prompt("another prompt")]
fn answer_follows_from_prompt_and_seed(#[case] prompt: &str) {
    let digest = PromptDigest::of(prompt);
    let expected = digest.text(0, digest.answer_length(SEED, MAX_TOKENS));
    for _ in 0..2 {
        let engine = engine::start_engine(ANY_PORT, settings()).unwrap();
        let body = chat_request(prompt, false);
        let answer = blocking_call(engine.address, "POST", "/v1/chat/completions", &body).unwrap();
        let answer: Value = serde_json::from_slice(&answer.body).unwrap();
        assert_eq!(answer["choices"][0]["message"]["content"], expected);
    }
}

#[test]
fn closed_connection_cancels_and_counts_the_request() {
    use std::io::{Read, Write};

    let engine = engine::start_engine(ANY_PORT, settings()).unwrap();
    let prompt = (0..)
        .map(|n| format!("long {n}"))
        .find(|prompt| PromptDigest::of(prompt).answer_length(SEED, 100_000) > 20_000);
    let body = json!({"prompt": prompt, "stream": true, "max_tokens": 100_000}).to_string();
    let mut stream = std::net::TcpStream::connect(engine.address).unwrap();
    let length = body.len();
    let head = format!("POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n");
    stream.write_all(format!("{head}\r\n{body}").as_bytes()).unwrap();
    stream.read_exact(&mut [0; 200]).unwrap();
    drop(stream);
    while engine.control.counters().unwrap()["cancelled"] != 1 {
        thread::sleep(Duration::from_millis(1));
    }
    let counters = engine.control.counters().unwrap();
    assert_eq!(counters["tokens"], counters["tokens_cancelled"]);
    assert_eq!(counters["running"], 0);
}

#[rstest]
#[case::from_start(0)]
#[case::from_offset_five(5)]
fn resumed_stream_continues_at_offset(#[case] offset: u32) {
    use std::io::{Read, Write};

    let engine = engine::start_engine(ANY_PORT, settings()).unwrap();
    let digest = PromptDigest::of("resumed");
    let length = digest.answer_length(SEED, MAX_TOKENS);
    let body = String::from_utf8(chat_request("resumed", true)).unwrap();
    let mut stream = std::net::TcpStream::connect(engine.address).unwrap();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
         x-resume-offset: {offset}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let contents: String = answer
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line.strip_prefix("data: ")?).ok())
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
        .collect();
    assert!(length > 5);
    assert_eq!(contents, digest.text(offset, length));
    assert!(answer.contains("data: [DONE]"));
}
