//! `explain`: says what holds for a described request, and which branch set each value.

use std::fmt::{self, Display, Formatter};

use coltsfootgate_config::{ConfigTree, RequestAttributes, TracedValue};
use coltsfootgate_core::ids::BranchPath;
use error_stack::Report;
use serde::Serialize;

use crate::arguments::ExplainArguments;
use crate::commands::ToolContext;
use crate::commands::source::{read_file, read_tree, stored_tree};
use crate::dialect::ToolDialect;
use crate::error::{ToolError, ToolResult};
use crate::report::{CommandReport, table};

const DEFAULT_METHOD: &str = "POST";
const DEFAULT_PATH: &str = "/v1/chat/completions";

/// What holds for a described request.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct ExplainReport {
    tree: String,
    class: BranchPath,
    tier: u8,
    repeatable: bool,
    customer: Option<BranchPath>,
    pool: Option<BranchPath>,
    values: Vec<BranchValues>,
}

/// The values that hold for one branch.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct BranchValues {
    branch: BranchPath,
    values: Vec<TracedValue>,
}

impl CommandReport for ExplainReport {}

impl Display for ExplainReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let name = |branch: &Option<BranchPath>| branch.as_deref().unwrap_or("none").to_owned();
        let repeatable = if self.repeatable { "repeatable" } else { "not repeatable" };
        writeln!(formatter, "tree      {}", self.tree)?;
        writeln!(formatter, "class     {} (tier {}, {repeatable})", self.class, self.tier)?;
        writeln!(formatter, "customer  {}", name(&self.customer))?;
        write!(formatter, "pool      {}", name(&self.pool))?;
        for group in &self.values {
            write!(formatter, "\n\n{group}")?;
        }
        Ok(())
    }
}

impl Display for BranchValues {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let row = |value: &TracedValue| {
            vec![format!("  {}", value.key), value.value.to_string(), value.origin()]
        };
        let rows: Vec<_> = self.values.iter().map(row).collect();
        write!(formatter, "{}\n{}", self.branch, table(&rows))
    }
}

/// Traces the values of a branch, but for the digests of keys.
pub(crate) fn branch_values(tree: &ConfigTree, branch: &BranchPath) -> BranchValues {
    let values = tree.trace_all(branch).into_iter().filter(|value| &*value.key != "keys");
    BranchValues { branch: branch.clone(), values: values.collect() }
}

pub(crate) async fn run<D: ToolDialect>(
    context: &ToolContext<D>,
    arguments: &ExplainArguments,
) -> ToolResult<ExplainReport> {
    let (name, tree) = match &arguments.file {
        Some(file) => (file.clone(), read_tree(file, &read_file(file)?)?),
        None => {
            let stored = stored_tree(&context.store()?, arguments.at).await?;
            (stored.name(), stored.tree()?)
        }
    };
    explain(name, &tree, arguments)
}

fn explain(
    name: String,
    tree: &ConfigTree,
    arguments: &ExplainArguments,
) -> ToolResult<ExplainReport> {
    let headers = read_headers(&arguments.header)?;
    let customer = arguments.customer.as_deref().map(|id| find_customer(tree, id)).transpose()?;
    let path = arguments.path.as_deref().unwrap_or(DEFAULT_PATH);
    let class = tree.classify(&RequestAttributes {
        host: arguments.host.as_deref(),
        customer: customer.as_deref().unwrap_or_default(),
        method: arguments.method.as_deref().unwrap_or(DEFAULT_METHOD),
        path,
        model: arguments.model.as_deref(),
        headers: &headers,
    });
    let pool = class.pools.first().map(|share| share.pool.clone());
    let pool = pool.or_else(|| pool_by_name(tree, arguments.model.as_deref(), path));
    let branches = [Some(&class.id), customer.as_ref(), pool.as_ref()].into_iter().flatten();
    Ok(ExplainReport {
        tree: name,
        class: class.id.clone(),
        tier: class.tier.number(),
        repeatable: class.repeatable,
        values: branches.map(|branch| branch_values(tree, branch)).collect(),
        customer: customer.clone(),
        pool: pool.clone(),
    })
}

/// The pool of a request whose class names none.
fn pool_by_name(tree: &ConfigTree, model: Option<&str>, path: &str) -> Option<BranchPath> {
    let pool = match model {
        Some(model) => tree.pool_for_model(model),
        None => tree.pool_for_path(path),
    };
    pool.map(|pool| pool.id.clone())
}

/// Finds a customer by its branch, or by the last part of it.
fn find_customer(tree: &ConfigTree, id: &str) -> ToolResult<BranchPath> {
    let is_named = |customer: &BranchPath| {
        **customer == *id || customer.rsplit('.').next().is_some_and(|name| name == id)
    };
    let mut customers = tree.customers().map(|customer| &customer.id);
    customers
        .find(|customer| is_named(customer))
        .cloned()
        .ok_or_else(|| Report::new(ToolError::NotFound(format!("the tree has no customer {id}"))))
}

fn read_headers(headers: &[String]) -> ToolResult<Vec<(String, String)>> {
    let read = |header: &String| {
        let (name, value) = header.split_once(':').ok_or_else(|| {
            let message = format!("--header: found {header:?}; allowed: NAME:VALUE");
            Report::new(ToolError::Usage(message))
        })?;
        Ok((name.trim().to_owned(), value.trim().to_owned()))
    };
    headers.iter().map(read).collect()
}
