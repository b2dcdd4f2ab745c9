//! The record of each decision, for the log and for questions about a request.

use serde::Serialize;

/// Why one request was served, delayed or refused.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DecisionRecord {
    /// The id of the request.
    pub request_id: String,
    /// The id that its caller gave to it.
    pub caller_id: Option<String>,
    /// The instance that accepted it.
    pub instance: String,
    /// Its customer, once known.
    pub customer: Option<String>,
    /// Its class, once known.
    pub class: Option<String>,
    /// The tier of its class.
    pub tier: Option<u8>,
    /// Its pool, once known.
    pub pool: Option<String>,
    /// The endpoint of its last attempt.
    pub endpoint: Option<String>,
    /// The instance that owns that endpoint.
    pub owner: Option<String>,
    /// When it arrived, in milliseconds since the Unix epoch.
    pub arrived_ms: u64,
    /// When its last grant was given, in milliseconds since the Unix epoch.
    pub granted_ms: Option<u64>,
    /// When it ended, in milliseconds since the Unix epoch.
    pub ended_ms: u64,
    /// How long it waited for grants, in milliseconds.
    pub wait_ms: f64,
    /// Time from its arrival to the first token or the answer, in milliseconds.
    pub first_token_ms: Option<f64>,
    /// Mean time between two tokens of the last attempt, in milliseconds.
    pub between_tokens_ms: Option<f64>,
    /// Tokens passed on.
    pub tokens: u64,
    /// Tokens received that no caller got.
    pub wasted_tokens: u64,
    /// Whether a floor put it before a waiting request of a higher tier.
    pub by_floor: bool,
    /// Attempts sent to endpoints.
    pub attempts: u32,
    /// Why it was tried again, once for each retry.
    pub retries: Vec<&'static str>,
    /// The status of its answer; 0 before it has one.
    pub status: u16,
    /// Its outcome.
    pub outcome: &'static str,
    /// Why it ended so.
    pub reason: &'static str,
    /// The branch that set the rule which decided.
    pub rule: String,
    /// The version of the tree it was judged by.
    pub config_version: u64,
    /// Detail for the operator.
    pub message: String,
}
