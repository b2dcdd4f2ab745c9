//! `diff`: shows the differences between two trees.

use std::fmt::{self, Display, Formatter};

use coltsfootgate_config::{ChangeLine, diff};
use serde::Serialize;

use crate::arguments::DiffArguments;
use crate::commands::ToolContext;
use crate::commands::source::{read_document, read_file, stored_tree};
use crate::dialect::ToolDialect;
use crate::error::ToolResult;
use crate::report::CommandReport;

/// The differences between two trees.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct DiffReport {
    before: String,
    after: String,
    changes: Vec<ChangeLine>,
}

impl CommandReport for DiffReport {}

impl Display for DiffReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "from {} to {}; ", self.before, self.after)?;
        write!(formatter, "changes: {}", self.changes.len())?;
        for change in &self.changes {
            write!(formatter, "\n{change}")?;
        }
        Ok(())
    }
}

pub(crate) async fn run<D: ToolDialect>(
    context: &ToolContext<D>,
    arguments: &DiffArguments,
) -> ToolResult<DiffReport> {
    let store = context.store()?;
    if let Some(file) = &arguments.file {
        let before = stored_tree(&store, arguments.from).await?;
        let after = read_document(file, &read_file(file)?)?;
        let changes = diff(&before.document()?, &after);
        return Ok(DiffReport { before: before.name(), after: file.clone(), changes });
    }
    let after = stored_tree(&store, arguments.to).await?;
    let from = arguments.from.unwrap_or(after.version.saturating_sub(1));
    let before = stored_tree(&store, Some(from)).await?;
    let changes = diff(&before.document()?, &after.document()?);
    Ok(DiffReport { before: before.name(), after: after.name(), changes })
}
