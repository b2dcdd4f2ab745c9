//! Wire types of crashed endpoints and of what crashes them.

use std::sync::Arc;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use coltsfootgate_core::quarantine::{
    BlockEntry, BlockState, CauseKey, CrashCause, CrashReport, LostRequest, QuarantineNotice,
};

use crate::error::WireError;
use crate::grant::PARTS_MAX;
use crate::names::{TimedMessage, check_name, micros_since, time_before};

/// Maximum number of possible causes of one lost request: the parts of its prompt and the request itself.
const CAUSES_MAX: usize = PARTS_MAX + 1;
/// Maximum number of rows in a message of this module.
const ROWS_MAX: usize = 2048;

#[derive(Deserialize, Serialize)]
enum WireCause {
    Part(u64),
    Request(u64),
}

#[derive(Deserialize, Serialize)]
pub(crate) struct WireCauseKey {
    pool: Arc<str>,
    cause: WireCause,
}

#[derive(Deserialize, Serialize)]
struct WireLostRequest {
    causes: Vec<WireCause>,
    micros_since_sent: u64,
}

/// The crash of an endpoint. A row of `lost` without causes names the moment of a crash that is reported again; earlier
/// builds find no cause in it.
#[derive(Deserialize, Serialize)]
pub(crate) struct WireCrashReport {
    pool: Arc<str>,
    endpoint: Arc<str>,
    lost: Vec<WireLostRequest>,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct WireServedCauses(Vec<(WireCauseKey, u64)>);

#[derive(Deserialize, Serialize)]
struct WireBlockEntry {
    revision: u32,
    is_blocked: bool,
    crashes: u32,
    trials: u32,
    micros_since_change: u64,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct WireNotice {
    entries: Vec<(WireCauseKey, WireBlockEntry)>,
    watched: Vec<WireCauseKey>,
}

fn check_rows<T>(rows: &[T]) -> Result<(), WireError> {
    if rows.len() > ROWS_MAX { Err(WireError::WrongValue("rows")) } else { Ok(()) }
}

impl From<CrashCause> for WireCause {
    fn from(cause: CrashCause) -> Self {
        match cause {
            CrashCause::Part(part) => Self::Part(part),
            CrashCause::Request(digest) => Self::Request(digest),
        }
    }
}

impl From<WireCause> for CrashCause {
    fn from(cause: WireCause) -> Self {
        match cause {
            WireCause::Part(part) => Self::Part(part),
            WireCause::Request(digest) => Self::Request(digest),
        }
    }
}

impl From<CauseKey> for WireCauseKey {
    fn from(CauseKey { pool, cause }: CauseKey) -> Self {
        Self { pool, cause: cause.into() }
    }
}

impl TryFrom<WireCauseKey> for CauseKey {
    type Error = WireError;

    fn try_from(WireCauseKey { pool, cause }: WireCauseKey) -> Result<Self, WireError> {
        Ok(Self { pool: check_name(pool, "pool")?, cause: cause.into() })
    }
}

impl From<TimedMessage<CrashReport>> for WireCrashReport {
    fn from(TimedMessage { message: report, now }: TimedMessage<CrashReport>) -> Self {
        let lost = report.lost.into_iter().map(|lost| WireLostRequest {
            causes: lost.causes.into_iter().map(WireCause::from).collect(),
            micros_since_sent: micros_since(lost.sent_at, now),
        });
        let crashed_at = report.crashed_at.map(|crashed_at| WireLostRequest {
            causes: Vec::new(),
            micros_since_sent: micros_since(crashed_at, now),
        });
        Self {
            pool: report.pool,
            endpoint: report.endpoint,
            lost: lost.chain(crashed_at).collect(),
        }
    }
}

impl TryFrom<TimedMessage<WireCrashReport>> for CrashReport {
    type Error = WireError;

    fn try_from(timed: TimedMessage<WireCrashReport>) -> Result<Self, WireError> {
        let TimedMessage { message: report, now } = timed;
        check_rows(&report.lost)?;
        let (moments, lost): (Vec<_>, Vec<_>) =
            report.lost.into_iter().partition(|lost| lost.causes.is_empty());
        let crashed_at = moments.first().map(|moment| time_before(now, moment.micros_since_sent));
        let lost = lost.into_iter().map(|lost| {
            if lost.causes.len() > CAUSES_MAX {
                return Err(WireError::WrongValue("causes"));
            }
            let sent_at = time_before(now, lost.micros_since_sent)?;
            let causes = lost.causes.into_iter().map(CrashCause::from).collect();
            Ok(LostRequest { causes, sent_at })
        });
        Ok(Self {
            pool: check_name(report.pool, "pool")?,
            endpoint: check_name(report.endpoint, "endpoint")?,
            lost: lost.collect::<Result<_, WireError>>()?,
            crashed_at: crashed_at.transpose()?,
        })
    }
}

impl From<TimedMessage<Vec<(CauseKey, Instant)>>> for WireServedCauses {
    fn from(TimedMessage { message: served, now }: TimedMessage<Vec<(CauseKey, Instant)>>) -> Self {
        let rows = served.into_iter().map(|(key, at)| (key.into(), micros_since(at, now)));
        Self(rows.collect())
    }
}

impl TryFrom<TimedMessage<WireServedCauses>> for Vec<(CauseKey, Instant)> {
    type Error = WireError;

    fn try_from(timed: TimedMessage<WireServedCauses>) -> Result<Self, WireError> {
        let TimedMessage { message: WireServedCauses(rows), now } = timed;
        check_rows(&rows)?;
        let served =
            rows.into_iter().map(|(key, micros)| Ok((key.try_into()?, time_before(now, micros)?)));
        served.collect()
    }
}

impl From<TimedMessage<QuarantineNotice>> for WireNotice {
    fn from(TimedMessage { message: notice, now }: TimedMessage<QuarantineNotice>) -> Self {
        let entries = notice.entries.into_iter().map(|(key, entry)| {
            let entry = WireBlockEntry {
                revision: entry.revision,
                is_blocked: entry.state == BlockState::Blocked,
                crashes: entry.crashes,
                trials: entry.trials,
                micros_since_change: micros_since(entry.since, now),
            };
            (key.into(), entry)
        });
        let watched = notice.watched.into_iter().map(WireCauseKey::from);
        Self { entries: entries.collect(), watched: watched.collect() }
    }
}

impl TryFrom<TimedMessage<WireNotice>> for QuarantineNotice {
    type Error = WireError;

    fn try_from(timed: TimedMessage<WireNotice>) -> Result<Self, WireError> {
        let TimedMessage { message: notice, now } = timed;
        check_rows(&notice.entries)?;
        check_rows(&notice.watched)?;
        let entries = notice.entries.into_iter().map(|(key, entry)| {
            let state = if entry.is_blocked { BlockState::Blocked } else { BlockState::Released };
            let entry = BlockEntry {
                revision: entry.revision,
                state,
                crashes: entry.crashes,
                trials: entry.trials,
                since: time_before(now, entry.micros_since_change)?,
            };
            Ok((key.try_into()?, entry))
        });
        let watched = notice.watched.into_iter().map(CauseKey::try_from);
        Ok(Self {
            entries: entries.collect::<Result<_, WireError>>()?,
            watched: watched.collect::<Result<_, WireError>>()?,
        })
    }
}
