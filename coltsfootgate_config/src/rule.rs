//! Which setting decided about a request, and the branch that set it.

use coltsfootgate_core::ids::BranchPath;
use coltsfootgate_core::reason::ErrorKind;

use crate::schema::ConfigSection;
use crate::tree::ConfigTree;

/// The branches that a request met, as far as it got.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestBranches<'a> {
    /// The class.
    pub class: Option<&'a str>,
    /// The customer.
    pub customer: Option<&'a str>,
    /// The pool.
    pub pool: Option<&'a str>,
}

/// A setting that decided about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecisionRule {
    /// The branch that set it. Where none did, the root of its tree if the default holds, or else
    /// the branch that the request met.
    pub branch: BranchPath,
    /// The tree that the key belongs to.
    pub section: ConfigSection,
    /// The key.
    pub key: &'static str,
}

impl<'a> RequestBranches<'a> {
    /// The branch that a request met in one tree.
    pub fn in_section(&self, section: ConfigSection) -> Option<&'a str> {
        match section {
            ConfigSection::Classes => self.class,
            ConfigSection::Customers => self.customer,
            ConfigSection::Pools => self.pool,
            ConfigSection::Deployment | ConfigSection::Connections => None,
        }
    }
}

impl ConfigTree {
    /// The rule behind a refusal or, without a reason, behind a request that was served.
    pub fn rule(&self, reason: Option<ErrorKind>, subjects: RequestBranches<'_>) -> DecisionRule {
        let (section, key) = reason.map_or((ConfigSection::Classes, "tier"), deciding_key);
        let subject = subjects.in_section(section).unwrap_or(section.name());
        let is_inherited = section.key(key).is_some_and(|spec| spec.inherited);
        let unset = if is_inherited { section.name() } else { subject };
        let branch = self.origin_branch(subject, key).unwrap_or_else(|| unset.into());
        DecisionRule { branch, section, key }
    }
}

/// The tree and key that lead to each reason.
fn deciding_key(reason: ErrorKind) -> (ConfigSection, &'static str) {
    match reason {
        ErrorKind::Unauthorized => (ConfigSection::Customers, "keys"),
        ErrorKind::RateLimited => (ConfigSection::Customers, "rate"),
        ErrorKind::ConcurrencyLimited => (ConfigSection::Customers, "concurrency"),
        ErrorKind::UnknownRoute | ErrorKind::MethodNotAllowed => (ConfigSection::Pools, "service"),
        ErrorKind::UnknownModel => (ConfigSection::Pools, "model"),
        ErrorKind::NoEndpoint
        | ErrorKind::EndpointRefused
        | ErrorKind::EndpointFailed
        | ErrorKind::EndpointLost
        | ErrorKind::AnswerMismatched => (ConfigSection::Pools, "address"),
        ErrorKind::EndpointStalled => (ConfigSection::Pools, "silence"),
        ErrorKind::QueueFull => (ConfigSection::Classes, "queue_requests"),
        ErrorKind::DeadlineUnmeetable | ErrorKind::DeadlinePassed => {
            (ConfigSection::Classes, "deadline")
        }
        ErrorKind::RetriesSpent => (ConfigSection::Classes, "retry_budget"),
        ErrorKind::AnswerCutShort => (ConfigSection::Classes, "resume"),
        ErrorKind::KeyReused | ErrorKind::KeyInFlight => (ConfigSection::Classes, "repeatable"),
        ErrorKind::KeyTooOld | ErrorKind::ClaimUnavailable | ErrorKind::ClaimExpired => {
            (ConfigSection::Deployment, "claim_window")
        }
        ErrorKind::ClaimsFull => (ConfigSection::Deployment, "claim_pages"),
        ErrorKind::KeyCompleted => (ConfigSection::Deployment, "kept_answer_bytes"),
        ErrorKind::HeadTooLarge => (ConfigSection::Connections, "head_bytes"),
        ErrorKind::BodyTooLarge => (ConfigSection::Connections, "body_bytes"),
        ErrorKind::SlowRequest => (ConfigSection::Connections, "head_time"),
        ErrorKind::Displaced
        | ErrorKind::MalformedRequest
        | ErrorKind::TooManyConnections
        | ErrorKind::CallerLeft
        | ErrorKind::CallerLeftWaiting
        | ErrorKind::KeyInvalid
        | ErrorKind::NotReady
        | ErrorKind::SettingsStale => (ConfigSection::Classes, "tier"),
    }
}
