//! The decision record of a request, written to the log and served on the operators' page.

use serde::Serialize;

/// What was decided about one request, and why.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DecisionRecord {
    /// The id of the request.
    pub request_id: String,
    /// The id that its caller assigned to it.
    pub caller_id: Option<String>,
    /// The instance that accepted it.
    pub instance: String,
    /// Its customer, once known.
    pub customer: Option<String>,
    /// Its class, once known.
    pub class: Option<String>,
    /// The tier of its customer, or of its class if the customer has none.
    pub tier: Option<u8>,
    /// The tier of its class, which orders requests of the same tier.
    pub class_tier: Option<u8>,
    /// Its pool, once known.
    pub pool: Option<String>,
    /// The pool for which it waited when newer settings dropped that.
    pub rerouted_from: Option<String>,
    /// The parts of its prompt, in order, as hexadecimal ids; the last one is left out, since no other
    /// request has it.
    pub shared_parts: Vec<String>,
    /// The endpoints whose connections were lost while they had the request.
    pub lost_endpoints: Vec<String>,
    /// The digest by which its repeats are recognized, if an endpoint was lost or something in it is blocked.
    pub request_digest: Option<String>,
    /// The endpoint of its last attempt.
    pub endpoint: Option<String>,
    /// The instance through which that attempt was sent, because this one reached no endpoint.
    pub via: Option<String>,
    /// The version of that endpoint's software.
    pub endpoint_version: Option<String>,
    /// Whether its caller already has events of the stream.
    pub is_resumption: bool,
    /// The id that its caller assigned to the request that brought the first of these events.
    pub resumes: Option<String>,
    /// How it was determined which software version began a stream that its caller takes up again.
    pub origin: Option<&'static str>,
    /// Time since the stored page that names the stream was read, in milliseconds.
    pub page_age_ms: Option<u64>,
    /// The instance that owns that endpoint.
    pub owner: Option<String>,
    /// Number of grant requests that were sent to owners.
    pub asked: u32,
    /// The owners in whose queues it waited when its last search for a grant ended.
    pub queues: Vec<String>,
    /// The limit on requests a second that the last answer of an endpoint stated.
    pub endpoint_limit: Option<f64>,
    /// How the last answer of an endpoint marked its end.
    pub answer_framing: Option<&'static str>,
    /// Where the content of that answer ended, if its transfer ended without an error.
    pub answer_end: Option<&'static str>,
    /// When it arrived, in milliseconds since the Unix epoch.
    pub arrived_ms: u64,
    /// When it received its last grant, in milliseconds since the Unix epoch.
    pub granted_ms: Option<u64>,
    /// When it ended, in milliseconds since the Unix epoch.
    pub ended_ms: u64,
    /// How long it waited for grants, in milliseconds.
    pub wait_ms: f64,
    /// Time from its arrival to the first token or the answer, in milliseconds.
    pub first_token_ms: Option<f64>,
    /// Mean time between two tokens of the last attempt, in milliseconds.
    pub between_tokens_ms: Option<f64>,
    /// Tokens sent to the caller.
    pub tokens: u64,
    /// Tokens received from endpoints that no caller could use.
    pub wasted_tokens: u64,
    /// Whether its tier's floor let it overtake a waiting request of a higher tier.
    pub by_floor: bool,
    /// Attempts sent to endpoints.
    pub attempts: u32,
    /// The reason for each retry.
    pub retries: Vec<&'static str>,
    /// The status of its answer; 0 before it has one.
    pub status: u16,
    /// Its outcome.
    pub outcome: &'static str,
    /// The reason for the outcome.
    pub reason: &'static str,
    /// The branch of the settings tree with the rule that decided the outcome.
    pub rule: String,
    /// The version of the settings tree that was applied.
    pub config_version: u64,
    /// Details of a refusal.
    pub message: String,
}
