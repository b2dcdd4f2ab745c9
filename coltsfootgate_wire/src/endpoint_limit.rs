//! Wire type of what answers state about the limits of endpoints.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use coltsfootgate_core::endpoint_limit::{LimitNotice, LimitStatement};

use crate::error::WireError;
use crate::names::{TimedMessage, check_name, check_non_negative, micros_since, time_before};

#[derive(Deserialize, Serialize)]
pub(crate) struct WireLimitStatement {
    endpoint: Arc<str>,
    /// The limit in requests a second, if the answer stated one.
    rate: Option<f64>,
    micros_since_sent: u64,
    micros_since_answered: u64,
}

impl From<TimedMessage<LimitStatement>> for WireLimitStatement {
    fn from(TimedMessage { message: statement, now }: TimedMessage<LimitStatement>) -> Self {
        Self {
            endpoint: statement.endpoint,
            rate: statement.notice.rate(),
            micros_since_sent: micros_since(statement.sent_at, now),
            micros_since_answered: micros_since(statement.answered_at, now),
        }
    }
}

impl TryFrom<TimedMessage<WireLimitStatement>> for LimitStatement {
    type Error = WireError;

    fn try_from(timed: TimedMessage<WireLimitStatement>) -> Result<Self, WireError> {
        let TimedMessage { message: statement, now } = timed;
        let rate = statement.rate.map(|rate| check_non_negative(rate, "rate")).transpose()?;
        Ok(Self {
            endpoint: check_name(statement.endpoint, "endpoint")?,
            notice: rate.map_or(LimitNotice::Unlimited, LimitNotice::Limited),
            sent_at: time_before(now, statement.micros_since_sent)?,
            answered_at: time_before(now, statement.micros_since_answered)?,
        })
    }
}
