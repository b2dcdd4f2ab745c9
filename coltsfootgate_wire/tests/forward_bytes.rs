//! Tests that requests to forward are the bytes that earlier builds send and read, where they stood as one message.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootgate_wire::{
    ForwardRequest, HeaderRows, WireError, decode_forward_request, encode_forward_request,
};
use rstest::rstest;
use serde::Serialize;

/// The message of builds up to 47a027b, of the same protocol version.
#[derive(Serialize)]
struct EarlierRequest {
    pool: Arc<str>,
    endpoint: Arc<str>,
    attempt: Arc<str>,
    method: Arc<str>,
    path: Arc<str>,
    headers: HeaderRows,
    body: Vec<u8>,
    head_micros: u64,
    silence_micros: u64,
}

fn request(body_bytes: usize) -> ForwardRequest {
    ForwardRequest {
        pool: "pools.p".into(),
        endpoint: "i-1@17".into(),
        attempt: "a1".into(),
        method: "POST".into(),
        path: "/orders/1?x=2".into(),
        headers: vec![("host".into(), b"a.example".to_vec()), ("x".into(), vec![0xff])],
        body: (0..body_bytes).map(|number| number as u8).collect(),
        head_timeout: Duration::from_millis(2_500),
        silence: Duration::from_secs(70),
    }
}

fn joined(request: ForwardRequest) -> Vec<u8> {
    let message = encode_forward_request(request).unwrap();
    [message.head, message.body, message.tail].concat()
}

#[rstest]
#[case::no_body(0)]
#[case::one_byte_of_length(250)]
#[case::three_bytes_of_length(251)]
#[case::five_bytes_of_length(70_000)]
fn the_parts_are_the_bytes_of_one_message(#[case] body_bytes: usize) {
    let ForwardRequest { pool, endpoint, attempt, method, path, headers, body, .. } =
        request(body_bytes);
    let (head_micros, silence_micros, body) = (2_500_000, 70_000_000, body.to_vec());
    let earlier = EarlierRequest {
        pool,
        endpoint,
        attempt,
        method,
        path,
        headers,
        body,
        head_micros,
        silence_micros,
    };
    let earlier = bincode::serde::encode_to_vec(&earlier, bincode::config::standard()).unwrap();
    assert_eq!(joined(request(body_bytes)), earlier);
    assert_eq!(decode_forward_request(&earlier.into()).unwrap(), request(body_bytes));
}

#[rstest]
#[case::cut_in_the_body(400)]
#[case::cut_after_the_body(565)]
#[case::cut_in_the_head(20)]
fn a_message_that_is_cut_is_no_request(#[case] length: usize) {
    let whole = joined(request(500));
    assert!(whole.len() > length, "{}", whole.len());
    let cut = Bytes::copy_from_slice(&whole[..length]);
    assert!(matches!(decode_forward_request(&cut), Err(WireError::Malformed(_))));
}

#[test]
fn a_message_with_more_behind_it_is_no_request() {
    let longer = [joined(request(500)), vec![0]].concat();
    assert!(matches!(decode_forward_request(&longer.into()), Err(WireError::Malformed(_))));
}

#[test]
fn a_body_above_the_largest_message_is_not_encoded() {
    let too_large = encode_forward_request(request((1 << 20) + 1024));
    assert!(matches!(too_large, Err(WireError::TooLarge(_))));
}
