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
    /// The branch that set it. Where none did, the root of its tree if the default holds, or else
    /// the branch that the request met.
    pub branch: BranchPath,
    /// The tree that the key belongs to.
    pub tree: TreeKind,
    /// The key.
    pub key: &'static str,
}

impl<'a> RuleSubjects<'a> {
    /// The branch that a request met in one tree.
    pub fn of(&self, tree: TreeKind) -> Option<&'a str> {
        match tree {
            TreeKind::Classes => self.class,
            TreeKind::Customers => self.customer,
            TreeKind::Pools => self.pool,
            TreeKind::Deployment | TreeKind::Connections => None,
        }
    }
}

impl ConfigTree {
    /// The rule behind a refusal or, without a reason, behind a request that was served.
    pub fn rule(&self, reason: Option<ErrorKind>, subjects: RuleSubjects<'_>) -> DecisionRule {
        let (tree, key) = reason.map_or((TreeKind::Classes, "tier"), deciding_key);
        let subject = subjects.of(tree).unwrap_or(tree.name());
        let is_inherited = tree.key(key).is_some_and(|spec| spec.inherited);
        let unset = if is_inherited { tree.name() } else { subject };
        let branch = self.setting_branch(subject, key).unwrap_or_else(|| unset.into());
        DecisionRule { branch, tree, key }
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
        ErrorKind::HeadTooLarge => (TreeKind::Connections, "head_bytes"),
        ErrorKind::BodyTooLarge => (TreeKind::Connections, "body_bytes"),
        ErrorKind::SlowRequest => (TreeKind::Connections, "head_time"),
        ErrorKind::Displaced
        | ErrorKind::MalformedRequest
        | ErrorKind::TooManyConnections
        | ErrorKind::CallerLeft
        | ErrorKind::CallerLeftWaiting
        | ErrorKind::KeyInvalid
        | ErrorKind::NotReady
        | ErrorKind::SettingsStale => (TreeKind::Classes, "tier"),
    }
}
