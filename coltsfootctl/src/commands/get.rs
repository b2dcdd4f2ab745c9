//! `get`: prints the tree or one branch.

use std::fmt::{self, Display, Formatter};

use coltsfootgate_core::ids::ConfigVersion;
use error_stack::Report;
use serde::Serialize;

use crate::arguments::GetArguments;
use crate::commands::ToolContext;
use crate::commands::source::{stored_tree, version_line};
use crate::dialect::ToolDialect;
use crate::error::{ToolError, ToolResult};
use crate::report::CommandReport;

/// The tree or a branch as text.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct GetReport {
    version: ConfigVersion,
    text: String,
}

impl CommandReport for GetReport {}

impl Display for GetReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.text.trim_end())
    }
}

pub(crate) async fn run<D: ToolDialect>(
    context: &ToolContext<D>,
    arguments: &GetArguments,
) -> ToolResult<GetReport> {
    let stored = stored_tree(&context.store()?, arguments.at).await?;
    let text = match &arguments.branch {
        None => stored.text(),
        Some(branch) => match stored.document()?.render_path(branch) {
            Some(text) => format!("{}\n\n{text}", version_line(stored.version)),
            None => {
                let message = format!("version {} has no branch {branch}", stored.version);
                return Err(Report::new(ToolError::NotFound(message)));
            }
        },
    };
    Ok(GetReport { version: stored.version, text })
}
