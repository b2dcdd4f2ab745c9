//! The four ways in which a request can end.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// How a request ended, as far as this system can prove it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The complete answer reached the caller.
    Completed,
    /// No endpoint started the request.
    NotRun,
    /// An endpoint started the request, but the caller did not receive the complete answer.
    PartiallyRun,
    /// The request was sent, and it is not known whether it ran.
    Unknown,
}

impl RequestOutcome {
    /// The name used in headers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun => "not-run",
            Self::PartiallyRun => "partially-run",
            Self::Unknown => "unknown",
        }
    }
}

impl Display for RequestOutcome {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
