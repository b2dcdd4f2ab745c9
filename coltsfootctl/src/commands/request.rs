//! `explain --request-id`: says why a request was served, delayed or refused.

use std::fmt::{self, Display, Formatter};

use coltsfootgate_config::{ConfigTree, RequestBranches, TracedValue};
use coltsfootgate_core::ids::{BranchPath, ConfigVersion};
use coltsfootgate_core::reason::ErrorKind;
use error_stack::Report;
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::commands::ToolContext;
use crate::commands::explain::{BranchValues, branch_values};
use crate::commands::source::stored_tree;
use crate::dialect::ToolDialect;
use crate::error::{ToolError, ToolResult};
use crate::instance::listed_routers;
use crate::log_reader::find_in_logs;
use crate::report::{CommandReport, table};
use crate::tree_store::platform_error;

/// The longest id of a request, in bytes.
const ID_BYTES: usize = 64;

/// The decision record of a request, with the settings that decided.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct RequestReport {
    /// The instance that was asked, or the file and line of its log.
    source: String,
    record: Value,
    /// The setting behind the outcome.
    rule: Option<TracedValue>,
    /// All settings that held for the request.
    values: Vec<BranchValues>,
    /// Why the settings could not be read.
    tree_error: Option<String>,
}

/// What the tool reads from a record; the rest is passed on as it is.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct DecisionFacts {
    class: Option<BranchPath>,
    customer: Option<BranchPath>,
    pool: Option<BranchPath>,
    reason: Option<String>,
    config_version: Option<ConfigVersion>,
}

impl CommandReport for RequestReport {}

impl Display for RequestReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let mut rows = vec![vec!["found at".to_owned(), self.source.clone()]];
        if let Value::Object(fields) = &self.record {
            rows.extend(fields.iter().map(|(name, value)| vec![name.clone(), plain(value)]));
        }
        formatter.write_str(&table(&rows))?;
        if let Some(rule) = &self.rule {
            write!(formatter, "\n\ndecided by {} = {}, {}", rule.key, rule.value, rule.origin())?;
        }
        for group in &self.values {
            write!(formatter, "\n\n{group}")?;
        }
        if let Some(error) = &self.tree_error {
            write!(formatter, "\n\nthe settings could not be read: {error}")?;
        }
        Ok(())
    }
}

/// Whether a text may be the id of a request, be it ours or the caller's.
fn is_request_id(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
    (1..=ID_BYTES).contains(&text.len()) && text.bytes().all(is_allowed)
}

/// A value without the quotes of JSON around a text.
fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

pub(crate) async fn run<D: ToolDialect>(
    context: &ToolContext<D>,
    request_id: &str,
    logs: &[String],
) -> ToolResult<RequestReport> {
    if !is_request_id(request_id) {
        let message = format!(
            "--request-id: found {request_id:?}; allowed: 1 to {ID_BYTES} letters, digits and -"
        );
        return Err(Report::new(ToolError::Usage(message)));
    }
    let (source, record) = match logs {
        [] => find_record(context, request_id).await?,
        files => find_in_logs(files, request_id)?,
    };
    let facts = DecisionFacts::deserialize(&record).unwrap_or_default();
    let (tree, tree_error) = match read_tree(context, facts.config_version).await {
        Ok(tree) => (Some(tree), None),
        Err(error) => (None, Some(error.current_context().to_string())),
    };
    let rule = tree.as_ref().and_then(|tree| deciding_rule(tree, &facts));
    let values = tree.map_or_else(Vec::new, |tree| {
        let branches = [&facts.class, &facts.customer, &facts.pool].into_iter().flatten();
        branches.map(|branch| branch_values(&tree, branch)).collect()
    });
    Ok(RequestReport { source, record, rule, values, tree_error })
}

/// Asks all listed instances for the record, as any of them may have taken the request.
async fn find_record<D: ToolDialect>(
    context: &ToolContext<D>,
    request_id: &str,
) -> ToolResult<(String, Value)> {
    let instances = listed_routers(&context.platform()?).await.map_err(platform_error)?;
    let client = context.instances();
    let asked = instances.iter().map(|instance| async {
        let address = instance.operators_address;
        (address, client.request(address, request_id).await)
    });
    let mut silent = Vec::new();
    for (instance, answer) in join_all(asked).await {
        match answer {
            Ok(Some(record)) => return Ok((instance.to_string(), record)),
            Ok(None) => {}
            Err(error) => silent.push(format!("{instance}: {error}")),
        }
    }
    let mut message = format!("none of {} instances has a record of it", instances.len());
    if !silent.is_empty() {
        message = format!("{message}, but some could not be asked: {}", silent.join("; "));
    }
    Err(Report::new(ToolError::NotFound(message)))
}

async fn read_tree<D: ToolDialect>(
    context: &ToolContext<D>,
    version: Option<ConfigVersion>,
) -> ToolResult<ConfigTree> {
    stored_tree(&context.store()?, version).await?.tree()
}

/// The setting behind a reason; for a request that was served, the one that gave it its tier.
fn deciding_rule(tree: &ConfigTree, facts: &DecisionFacts) -> Option<TracedValue> {
    let code = facts.reason.as_deref()?;
    let kind = ErrorKind::ALL.iter().copied().find(|kind| kind.code() == code);
    let subjects = RequestBranches {
        class: facts.class.as_deref(),
        customer: facts.customer.as_deref(),
        pool: facts.pool.as_deref(),
    };
    let rule = tree.rule(kind, subjects);
    let subject = subjects.in_section(rule.section).unwrap_or(&rule.branch);
    tree.trace(subject, rule.key)
}
