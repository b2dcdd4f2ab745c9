//! Finds the setting that decided the outcome of a request, and the branch that sets it.

use coltsfootgate_core::ids::BranchPath;
use coltsfootgate_core::reason::ErrorKind;

use crate::schema::ConfigSection;
use crate::tree::ConfigTree;

/// The branches that apply to a request, as far as they were determined before it ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestBranches<'a> {
    /// The branch of the class.
    pub class: Option<&'a str>,
    /// The branch of the customer.
    pub customer: Option<&'a str>,
    /// The branch of the pool.
    pub pool: Option<&'a str>,
}

/// The setting that decided the outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecisionRule {
    /// The branch that sets the key. If no branch sets it, this is the section root for an inherited
    /// key, and the branch that applies to the request for any other key.
    pub branch: BranchPath,
    /// The section that the key belongs to.
    pub section: ConfigSection,
    /// The key.
    pub key: &'static str,
}

impl<'a> RequestBranches<'a> {
    /// The branch that applies to the request in one section.
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
    /// The rule that decided the outcome of a request; `reason` is `None` if it was served.
    pub fn rule(&self, reason: Option<ErrorKind>, request: RequestBranches<'_>) -> DecisionRule {
        let (section, key) = reason.map_or((ConfigSection::Classes, "tier"), deciding_key);
        let applied = request.in_section(section).unwrap_or(section.name());
        let is_inherited = section.key(key).is_some_and(|spec| spec.inherited);
        let fallback = if is_inherited { section.name() } else { applied };
        let branch = self.origin_branch(applied, key).unwrap_or_else(|| fallback.into());
        DecisionRule { branch, section, key }
    }
}

/// The section and key of the setting that leads to each reason.
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
        ErrorKind::PromptBlocked => (ConfigSection::Pools, "allowed_parts"),
        ErrorKind::RequestBlocked => (ConfigSection::Pools, "allowed_requests"),
        ErrorKind::EndpointStalled => (ConfigSection::Pools, "silence"),
        ErrorKind::QueueFull => (ConfigSection::Classes, "queue_requests"),
        ErrorKind::DeadlineUnmeetable | ErrorKind::DeadlinePassed => {
            (ConfigSection::Classes, "deadline")
        }
        ErrorKind::RetriesSpent => (ConfigSection::Classes, "retry_budget"),
        ErrorKind::AnswerCutShort | ErrorKind::StreamUnknown => (ConfigSection::Classes, "resume"),
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
        | ErrorKind::MemoryFull
        | ErrorKind::CallerLeft
        | ErrorKind::CallerLeftWaiting
        | ErrorKind::KeyInvalid
        | ErrorKind::NotReady
        | ErrorKind::InstanceLeaving
        | ErrorKind::InstanceStopped
        | ErrorKind::SettingsStale => (ConfigSection::Classes, "tier"),
    }
}
