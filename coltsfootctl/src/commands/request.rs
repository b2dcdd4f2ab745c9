//! `explain --request-id`: shows why a request was served, delayed or refused.

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

/// Maximum length of a request id, in bytes.
const REQUEST_ID_BYTES_MAX: usize = 64;

/// The decision record of a request, with the settings that applied to it.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct RequestReport {
    /// The instance that returned the record, or the log file and line that contain it.
    source: String,
    record: Value,
    /// The setting that decided the outcome.
    rule: Option<TracedValue>,
    /// All settings that applied to the request.
    values: Vec<BranchValues>,
    /// Why the tree of settings could not be read.
    tree_error: Option<String>,
}

/// The members of a decision record that the tool reads; the others are printed unchanged.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
struct DecisionFields {
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
            rows.extend(
                fields.iter().map(|(name, value)| vec![name.clone(), unquoted_text(value)]),
            );
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

/// Whether a text is a valid request id, either the router's or the caller's.
fn is_request_id(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
    (1..=REQUEST_ID_BYTES_MAX).contains(&text.len()) && text.bytes().all(is_allowed)
}

/// Formats a JSON value, a text without its quotes.
fn unquoted_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

pub(crate) async fn run<D: ToolDialect>(
    context: &ToolContext<D>,
    request_id: &str,
    logs: &[String],
) -> ToolResult<RequestReport> {
    if !is_request_id(request_id) {
        let message = format!(
            "--request-id: found {request_id:?}; \
             allowed: 1 to {REQUEST_ID_BYTES_MAX} letters, digits and -"
        );
        return Err(Report::new(ToolError::Usage(message)));
    }
    let (source, record) = match logs {
        [] => find_record(context, request_id).await?,
        files => find_in_logs(files, request_id)?,
    };
    let fields = DecisionFields::deserialize(&record).unwrap_or_default();
    let (tree, tree_error) = match read_tree(context, fields.config_version).await {
        Ok(tree) => (Some(tree), None),
        Err(error) => (None, Some(error.current_context().to_string())),
    };
    let rule = tree.as_ref().and_then(|tree| deciding_rule(tree, &fields));
    let values = tree.map_or_else(Vec::new, |tree| {
        let branches = [&fields.class, &fields.customer, &fields.pool].into_iter().flatten();
        branches.map(|branch| branch_values(&tree, branch)).collect()
    });
    Ok(RequestReport { source, record, rule, values, tree_error })
}

/// Queries all listed instances for the record, since any of them may have received the request.
async fn find_record<D: ToolDialect>(
    context: &ToolContext<D>,
    request_id: &str,
) -> ToolResult<(String, Value)> {
    let instances = listed_routers(&context.platform()?).await.map_err(platform_error)?;
    let client = context.instance_client();
    let queries = instances.iter().map(|instance| async {
        let address = instance.operators_address;
        (address, client.decision_record(address, request_id).await)
    });
    let mut failures = Vec::new();
    for (instance, response) in join_all(queries).await {
        match response {
            Ok(Some(record)) => return Ok((instance.to_string(), record)),
            Ok(None) => {}
            Err(error) => failures.push(format!("{instance}: {error}")),
        }
    }
    let mut message =
        format!("none of {} instances has a record of request {request_id}", instances.len());
    if !failures.is_empty() {
        message = format!("{message}, but some could not be queried: {}", failures.join("; "));
    }
    Err(Report::new(ToolError::NotFound(message)))
}

async fn read_tree<D: ToolDialect>(
    context: &ToolContext<D>,
    version: Option<ConfigVersion>,
) -> ToolResult<ConfigTree> {
    stored_tree(&context.store()?, version).await?.tree()
}

/// The setting that decided the outcome of a request; for a served request, the one that set its
/// tier.
fn deciding_rule(tree: &ConfigTree, fields: &DecisionFields) -> Option<TracedValue> {
    let code = fields.reason.as_deref()?;
    let reason = ErrorKind::ALL.iter().copied().find(|reason| reason.code() == code);
    let branches = RequestBranches {
        class: fields.class.as_deref(),
        customer: fields.customer.as_deref(),
        pool: fields.pool.as_deref(),
    };
    let rule = tree.rule(reason, branches);
    let branch = branches.in_section(rule.section).unwrap_or(&rule.branch);
    tree.trace(branch, rule.key)
}
