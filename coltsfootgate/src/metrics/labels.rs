//! Values of the metric labels.

/// A latency target of a class.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LatencyTarget {
    /// Time to the first token.
    FirstToken,
    /// Time between two tokens, for all tokens of an answer.
    BetweenTokens,
    /// Time to the complete answer.
    WholeAnswer,
}

impl LatencyTarget {
    /// The name used as a label.
    pub fn name(self) -> &'static str {
        match self {
            Self::FirstToken => "first-token",
            Self::BetweenTokens => "between-tokens",
            Self::WholeAnswer => "whole-answer",
        }
    }
}

/// The kind of remote side of a connection.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ConnectionSide {
    /// A caller.
    Callers,
    /// Another instance.
    Peers,
    /// An operator or a monitoring system.
    Operators,
    /// An endpoint: a model engine or a plain service.
    Endpoints,
}

impl ConnectionSide {
    /// The name used as a label.
    pub fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Peers => "peers",
            Self::Operators => "operators",
            Self::Endpoints => "endpoints",
        }
    }
}
