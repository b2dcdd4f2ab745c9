//! `explain --request-id`: says why a request was served, delayed or refused.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

use error_stack::Report;
use futures_util::future::join_all;
use serde::Serialize;
use serde_json::Value;

use crate::commands::ToolContext;
use crate::error::{ToolError, ToolResult};
use crate::platform::PlatformService;
use crate::report::{CommandReport, table};
use crate::tree_store::platform_error;

/// The decision record of a request.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct RequestReport {
    instance: SocketAddr,
    record: Value,
}

impl CommandReport for RequestReport {}

impl Display for RequestReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let mut rows = vec![vec!["instance".to_owned(), self.instance.to_string()]];
        if let Value::Object(fields) = &self.record {
            rows.extend(fields.iter().map(|(name, value)| vec![name.clone(), plain(value)]));
        }
        formatter.write_str(&table(&rows))
    }
}

/// A value without the quotes of JSON around a text.
pub(crate) fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

pub(crate) async fn run(context: &ToolContext, request_id: &str) -> ToolResult<RequestReport> {
    if uuid::Uuid::parse_str(request_id).is_err() {
        let message = format!("--request-id: found {request_id:?}; allowed: a UUID");
        return Err(Report::new(ToolError::Usage(message)));
    }
    let instances = context.platform()?.instances().await.map_err(platform_error)?;
    let client = context.instances();
    let asked = instances.iter().map(|instance| async {
        let address = instance.operators_address;
        (address, client.request(address, request_id).await)
    });
    let mut silent = Vec::new();
    for (instance, answer) in join_all(asked).await {
        match answer {
            Ok(Some(record)) => return Ok(RequestReport { instance, record }),
            Ok(None) => {}
            Err(error) => silent.push(error.to_string()),
        }
    }
    let mut message = format!("none of {} instances has a record of it", instances.len());
    if !silent.is_empty() {
        message = format!("{message}, but some could not be asked: {}", silent.join("; "));
    }
    Err(Report::new(ToolError::NotFound(message)))
}
