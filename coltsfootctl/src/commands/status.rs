//! `status`: shows the instances, the versions in force, endpoints and queues.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::sync::Arc;

use coltsfootgate_config::HeadObject;
use coltsfootgate_core::ids::ConfigVersion;
use futures_util::future::join_all;
use serde::Serialize;
use serde_json::Value;

use crate::commands::ToolContext;
use crate::commands::request::plain;
use crate::error::ToolResult;
use crate::instance::InstanceClient;
use crate::platform::{InstanceState, ListedInstance, PlatformService};
use crate::report::{CommandReport, table};
use crate::tree_store::platform_error;

/// The state of the deployment as the tool sees it.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct StatusReport {
    head: Option<HeadObject>,
    instances: Vec<InstanceStatus>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct InstanceStatus {
    instance: SocketAddr,
    zone: Arc<str>,
    state: InstanceState,
    version: Option<ConfigVersion>,
    status: Option<Value>,
    error: Option<String>,
}

impl CommandReport for StatusReport {}

impl Display for StatusReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match &self.head {
            Some(head) => writeln!(formatter, "stored version {}", head.version)?,
            None => writeln!(formatter, "no tree is stored")?,
        }
        let mut rows =
            vec![["instance", "zone", "listed", "version", "notes"].map(String::from).to_vec()];
        for instance in &self.instances {
            let state = match instance.state {
                InstanceState::Live => "live",
                InstanceState::Leaving => "leaving",
            };
            let version = instance.version.map_or_else(|| "none".into(), |v| v.to_string());
            let error = instance.error.clone().unwrap_or_default();
            let address = instance.instance.to_string();
            rows.push(vec![address, instance.zone.to_string(), state.into(), version, error]);
        }
        formatter.write_str(&table(&rows))?;
        for instance in &self.instances {
            if let Some(Value::Object(fields)) = &instance.status {
                write!(formatter, "\n\n{}", instance.instance)?;
                for (name, value) in fields {
                    write_field(formatter, name, value)?;
                }
            }
        }
        Ok(())
    }
}

/// Writes one field; a list gets a line for each entry.
fn write_field(formatter: &mut Formatter<'_>, name: &str, value: &Value) -> fmt::Result {
    let Value::Array(entries) = value else {
        return write!(formatter, "\n  {name}: {}", plain(value));
    };
    write!(formatter, "\n  {name}: {}", entries.len())?;
    for entry in entries {
        write!(formatter, "\n    {}", entry_text(entry))?;
    }
    Ok(())
}

fn entry_text(entry: &Value) -> String {
    let Value::Object(fields) = entry else {
        return plain(entry);
    };
    let fields = fields.iter().map(|(name, value)| format!("{name}={}", plain(value)));
    fields.collect::<Vec<_>>().join(" ")
}

pub(crate) async fn run(context: &ToolContext) -> ToolResult<StatusReport> {
    let head = context.store()?.head().await?.map(|stored| stored.head);
    let listed = context.platform()?.instances().await.map_err(platform_error)?;
    let client = context.instances();
    let instances = join_all(listed.iter().map(|listed| ask(&client, listed))).await;
    Ok(StatusReport { head, instances })
}

async fn ask(client: &InstanceClient, listed: &ListedInstance) -> InstanceStatus {
    let address = listed.operators_address;
    let (version, status) = (client.version(address).await, client.status(address).await);
    let error = version.as_ref().err().or(status.as_ref().err()).map(ToString::to_string);
    InstanceStatus {
        instance: address,
        zone: listed.zone.clone(),
        state: listed.state,
        version: version.ok().flatten(),
        status: status.ok().flatten(),
        error,
    }
}
