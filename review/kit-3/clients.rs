//! Requests of clients, and the operator's settings of a small deployment.

use std::net::SocketAddr;
use std::time::Duration;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A streaming request with these parts of its prompt; the last one belongs to it alone.
pub fn stream_request(path: &str, id: &str, parts: &str, deadline: Duration) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n\
         X-Coltsfootgate-Attempt-Id: {id}\r\nX-Coltsfootgate-Deadline-Ms: {}\r\n\
         X-Coltsfootgate-Model: m\r\nX-Coltsfootgate-Token-Counts: 700,80\r\n\
         X-Coltsfootgate-Prompt-Prefix: {parts}\r\nContent-Length: 2\r\n\r\n{{}}",
        deadline.as_millis()
    )
}

/// A version of the settings with one streaming route that may not be resumed.
pub fn stream_settings(version: u64, service: &str, limits: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"digest\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/digest/\",\"kind\":\"streaming\",\"timeout_ms\":15000,\
         \"target_latency_ms\":2500,\"gap_target_ms\":1200,\"priority\":1,\"attempts\":1,\
         \"resumable\":false,\"sticky\":true,\"service\":\"{service}\"}}],\
         \"services\":[{{\"name\":\"{service}\",\"health_path\":\"/health\",\
         \"engine\":{{\"kv_cache_tokens\":400000}}}}],\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"]}}],\"limits\":{limits}}}"
    )
}

/// Limits on clients as in the small deployments.
pub fn limits(header_bytes: u32) -> String {
    format!(
        "{{\"header_bytes\":{header_bytes},\"body_bytes\":4194304,\"header_timeout_ms\":10000,\
         \"idle_timeout_ms\":60000}}"
    )
}

/// Spreads requests over addresses in turn.
pub fn turn(addresses: &[SocketAddr], number: usize) -> SocketAddr {
    addresses[number % addresses.len()]
}
