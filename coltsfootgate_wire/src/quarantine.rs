//! Wire types of crashed endpoints and blocked parts of prompts.

use std::sync::Arc;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use coltsfootgate_core::quarantine::{
    BlockEntry, BlockState, CrashReport, LostRequest, PartKey, QuarantineNotice,
};

use crate::error::WireError;
use crate::grant::PARTS_MAX;
use crate::names::{TimedMessage, check_name, micros_since, time_before};

/// Maximum number of rows in a message of this module.
const ROWS_MAX: usize = 2048;

#[derive(Deserialize, Serialize)]
pub(crate) struct WirePartKey {
    pool: Arc<str>,
    part: u64,
}

#[derive(Deserialize, Serialize)]
struct WireLostRequest {
    parts: Vec<u64>,
    micros_since_sent: u64,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct WireCrashReport {
    pool: Arc<str>,
    endpoint: Arc<str>,
    lost: Vec<WireLostRequest>,
}

#[derive(Deserialize, Serialize)]
pub(crate) struct WireServedParts(Vec<(WirePartKey, u64)>);

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
    entries: Vec<(WirePartKey, WireBlockEntry)>,
    watched: Vec<WirePartKey>,
}

fn check_rows<T>(rows: &[T]) -> Result<(), WireError> {
    if rows.len() > ROWS_MAX { Err(WireError::WrongValue("rows")) } else { Ok(()) }
}

impl From<PartKey> for WirePartKey {
    fn from(PartKey { pool, part }: PartKey) -> Self {
        Self { pool, part }
    }
}

impl TryFrom<WirePartKey> for PartKey {
    type Error = WireError;

    fn try_from(WirePartKey { pool, part }: WirePartKey) -> Result<Self, WireError> {
        Ok(Self { pool: check_name(pool, "pool")?, part })
    }
}

impl From<TimedMessage<CrashReport>> for WireCrashReport {
    fn from(TimedMessage { message: report, now }: TimedMessage<CrashReport>) -> Self {
        let lost = report.lost.into_iter().map(|lost| WireLostRequest {
            parts: lost.parts,
            micros_since_sent: micros_since(lost.sent_at, now),
        });
        Self { pool: report.pool, endpoint: report.endpoint, lost: lost.collect() }
    }
}

impl TryFrom<TimedMessage<WireCrashReport>> for CrashReport {
    type Error = WireError;

    fn try_from(timed: TimedMessage<WireCrashReport>) -> Result<Self, WireError> {
        let TimedMessage { message: report, now } = timed;
        check_rows(&report.lost)?;
        let lost = report.lost.into_iter().map(|lost| {
            if lost.parts.len() > PARTS_MAX {
                return Err(WireError::WrongValue("parts"));
            }
            let sent_at = time_before(now, lost.micros_since_sent)?;
            Ok(LostRequest { parts: lost.parts, sent_at })
        });
        Ok(Self {
            pool: check_name(report.pool, "pool")?,
            endpoint: check_name(report.endpoint, "endpoint")?,
            lost: lost.collect::<Result<_, WireError>>()?,
        })
    }
}

impl From<TimedMessage<Vec<(PartKey, Instant)>>> for WireServedParts {
    fn from(TimedMessage { message: served, now }: TimedMessage<Vec<(PartKey, Instant)>>) -> Self {
        let rows = served.into_iter().map(|(key, at)| (key.into(), micros_since(at, now)));
        Self(rows.collect())
    }
}

impl TryFrom<TimedMessage<WireServedParts>> for Vec<(PartKey, Instant)> {
    type Error = WireError;

    fn try_from(timed: TimedMessage<WireServedParts>) -> Result<Self, WireError> {
        let TimedMessage { message: WireServedParts(rows), now } = timed;
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
        let watched = notice.watched.into_iter().map(WirePartKey::from);
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
        let watched = notice.watched.into_iter().map(PartKey::try_from);
        Ok(Self {
            entries: entries.collect::<Result<_, WireError>>()?,
            watched: watched.collect::<Result<_, WireError>>()?,
        })
    }
}
