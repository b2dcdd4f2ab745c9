//! `check`: finds every fault in tree files.

use std::fmt::{self, Display, Formatter};

use coltsfootgate_config::{ConfigErrors, ConfigTree};
use error_stack::Report;
use serde::Serialize;

use crate::arguments::CheckArguments;
use crate::commands::source::{read_file, split};
use crate::dialect::ToolDialect;
use crate::error::{ToolError, ToolResult};
use crate::report::CommandReport;

/// The files that were checked, all of them valid.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct CheckReport {
    files: Vec<CheckedFile>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct CheckedFile {
    file: String,
    classes: usize,
    customers: usize,
    pools: usize,
    endpoints: usize,
}

impl CommandReport for CheckReport {}

impl Display for CheckReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        for (position, file) in self.files.iter().enumerate() {
            let separator = if position > 0 { "\n" } else { "" };
            write!(
                formatter,
                "{separator}{}: valid; {} classes, {} customers, {} pools, {} endpoints",
                file.file, file.classes, file.customers, file.pools, file.endpoints
            )?;
        }
        Ok(())
    }
}

pub(crate) fn run<D: ToolDialect>(arguments: &CheckArguments) -> ToolResult<CheckReport> {
    let mut files = Vec::new();
    let mut errors = Vec::new();
    for file in &arguments.files {
        let text = read_file(file)?;
        match D::check(file, &text) {
            Ok(tree) => files.push(check_file::<D>(file, &tree)?),
            Err(ConfigErrors(found)) => errors.extend(found),
        }
    }
    if !errors.is_empty() {
        return Err(Report::new(ToolError::InvalidTree(ConfigErrors(errors))));
    }
    Ok(CheckReport { files })
}

fn check_file<D: ToolDialect>(file: &str, tree: &ConfigTree) -> ToolResult<CheckedFile> {
    split(tree.document())?;
    Ok(CheckedFile {
        file: file.into(),
        classes: tree.classes().count(),
        customers: tree.customers().count(),
        pools: tree.pools().count() - D::PLACEHOLDER_POOLS,
        endpoints: tree.pools().map(|pool| pool.endpoints.len()).sum(),
    })
}
