//! Which setting decided about a request, and the branch that set it.

use coltsfootgate_core::ids::BranchPath;
use coltsfootgate_core::reason::ErrorKind;

use crate::schema::TreeKind;
use crate::tree::ConfigTree;

/// The branches that a request met, as far as it got.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuleSubjects<'a> {
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
    /// The branch that set it; where none did and the default holds, the root of its tree.
    pub branch: BranchPath,
    /// The key.
    pub key: &'static str,
}

impl ConfigTree {
    /// The rule behind a refusal or, without a reason, behind a request that was served.
    pub fn rule(&self, reason: Option<ErrorKind>, subjects: RuleSubjects<'_>) -> DecisionRule {
        let (kind, key) = reason.map_or((TreeKind::Classes, "tier"), deciding_key);
        let subject = match kind {
            TreeKind::Classes => subjects.class,
            TreeKind::Customers => subjects.customer,
            TreeKind::Pools => subjects.pool,
            TreeKind::Deployment => None,
        };
        let subject = subject.unwrap_or(kind.name());
        let branch = self.setting_branch(subject, key).unwrap_or_else(|| kind.name().into());
        DecisionRule { branch, key }
    }
}

/// The tree and key that lead to each reason.
fn deciding_key(reason: ErrorKind) -> (TreeKind, &'static str) {
    match reason {
        ErrorKind::Unauthorized => (TreeKind::Customers, "keys"),
        ErrorKind::RateLimited => (TreeKind::Customers, "rate"),
        ErrorKind::ConcurrencyLimited => (TreeKind::Customers, "concurrency"),
        ErrorKind::UnknownRoute | ErrorKind::MethodNotAllowed => (TreeKind::Pools, "service"),
        ErrorKind::UnknownModel => (TreeKind::Pools, "model"),
        ErrorKind::NoEndpoint
        | ErrorKind::EndpointRefused
        | ErrorKind::EndpointFailed
        | ErrorKind::EndpointLost
        | ErrorKind::AnswerMismatched => (TreeKind::Pools, "address"),
        ErrorKind::EndpointStalled => (TreeKind::Pools, "silence"),
        ErrorKind::QueueFull => (TreeKind::Classes, "queue_requests"),
        ErrorKind::DeadlineUnmeetable | ErrorKind::DeadlinePassed => {
            (TreeKind::Classes, "deadline")
        }
        ErrorKind::RetriesSpent => (TreeKind::Classes, "retry_budget"),
        ErrorKind::AnswerCutShort => (TreeKind::Classes, "resume"),
        ErrorKind::KeyReused | ErrorKind::KeyInFlight => (TreeKind::Classes, "repeatable"),
        ErrorKind::KeyTooOld | ErrorKind::ClaimUnavailable | ErrorKind::ClaimExpired => {
            (TreeKind::Deployment, "claim_window")
        }
        ErrorKind::ClaimsFull => (TreeKind::Deployment, "claim_pages"),
        ErrorKind::KeyCompleted => (TreeKind::Deployment, "kept_answer_bytes"),
        ErrorKind::Displaced
        | ErrorKind::MalformedRequest
        | ErrorKind::HeadTooLarge
        | ErrorKind::BodyTooLarge
        | ErrorKind::SlowRequest
        | ErrorKind::TooManyConnections
        | ErrorKind::CallerLeft
        | ErrorKind::CallerLeftWaiting
        | ErrorKind::KeyInvalid
        | ErrorKind::NotReady
        | ErrorKind::ShuttingDown => (TreeKind::Classes, "tier"),
    }
}
