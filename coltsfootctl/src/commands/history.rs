//! `history`: lists versions, the newest first.

use std::fmt::{self, Display, Formatter};

use coltsfootgate_config::HeadObject;
use coltsfootgate_core::calendar::{DAY_SECONDS, civil_date};
use serde::Serialize;

use crate::arguments::HistoryArguments;
use crate::commands::ToolContext;
use crate::dialect::ToolDialect;
use crate::error::ToolResult;
use crate::report::{CommandReport, table};

const DEFAULT_VERSION_COUNT: u64 = 20;
const ROOT_DIGEST_CHARACTERS: usize = 12;

/// The heads of the current and of past versions.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct HistoryReport {
    versions: Vec<HeadObject>,
}

impl CommandReport for HistoryReport {}

impl Display for HistoryReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let mut rows = vec![
            ["version", "written", "author", "root", "nonce", "note"].map(String::from).to_vec(),
        ];
        rows.extend(self.versions.iter().map(|head| {
            vec![
                head.version.to_string(),
                head.written_at.map(format_utc_time).unwrap_or_default(),
                head.author.as_deref().unwrap_or_default().into(),
                head.root.chars().take(ROOT_DIGEST_CHARACTERS).collect(),
                head.nonce.to_string(),
                head.note.as_deref().unwrap_or_default().into(),
            ]
        }));
        formatter.write_str(&table(&rows))
    }
}

pub(crate) async fn run<D: ToolDialect>(
    context: &ToolContext<D>,
    arguments: &HistoryArguments,
) -> ToolResult<HistoryReport> {
    let store = context.store()?;
    let mut versions = Vec::new();
    if let Some(stored) = store.head().await? {
        let limit = arguments.limit.unwrap_or(DEFAULT_VERSION_COUNT);
        let limit = if D::KEEPS_TREES { limit } else { 1 };
        let oldest = stored.head.version.saturating_sub(limit) + 1;
        let past = (oldest..stored.head.version).rev();
        versions.push(stored.head);
        for version in past {
            versions.extend(store.past_head(version).await?);
        }
    }
    Ok(HistoryReport { versions })
}

/// Formats seconds since the Unix epoch as date and time in UTC.
fn format_utc_time(seconds: u64) -> String {
    let (days, second) = (seconds / DAY_SECONDS, seconds % DAY_SECONDS);
    let (year, month, day) = civil_date(days);
    let (hour, minute, second) = (second / 3600, second / 60 % 60, second % 60);
    format!("{year}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}Z")
}
