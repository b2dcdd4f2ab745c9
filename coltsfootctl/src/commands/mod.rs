//! The commands, each with its report.

mod apply;
mod check;
mod diff;
mod explain;
mod get;
mod history;
mod request;
mod source;
mod status;

use std::process::ExitCode;

use error_stack::Report;
use serde_json::json;

use crate::arguments::{ToolArguments, ToolCommand};
use crate::error::{ExitStatus, ToolError, ToolResult};
use crate::http::HttpClient;
use crate::instance::InstanceClient;
use crate::platform::HttpPlatform;
use crate::report::CommandReport;
use crate::settings::ToolSettings;
use crate::tree_store::TreeStore;

pub use apply::ApplyReport;

/// What commands work with.
pub(crate) struct ToolContext {
    pub(crate) settings: ToolSettings,
    json: bool,
}

impl ToolContext {
    pub(crate) fn platform(&self) -> ToolResult<HttpPlatform> {
        let Some(address) = self.settings.platform else {
            let message = "no platform address: set --platform IP:PORT or COLTSFOOTGATE_PLATFORM";
            return Err(Report::new(ToolError::Usage(message.into())));
        };
        Ok(HttpPlatform::new(address, self.client()))
    }

    pub(crate) fn store(&self) -> ToolResult<TreeStore<HttpPlatform>> {
        self.platform().map(TreeStore::new)
    }

    pub(crate) fn instances(&self) -> InstanceClient {
        InstanceClient::new(self.client())
    }

    fn client(&self) -> HttpClient {
        HttpClient::new(self.settings.timeout)
    }

    fn finish<R: CommandReport>(&self, result: ToolResult<R>) -> ExitCode {
        match result {
            Ok(report) => {
                if self.json {
                    println!("{}", serde_json::to_string(&report).unwrap_or_default());
                } else {
                    println!("{report}");
                }
                ExitCode::from(report.exit_status() as u8)
            }
            Err(error) => fail(&error, self.json),
        }
    }
}

/// Runs a command and prints its report.
pub async fn run(arguments: ToolArguments, settings: ToolSettings) -> ExitCode {
    let context = ToolContext { settings, json: arguments.json };
    match &arguments.command {
        Some(ToolCommand::Check(check)) => context.finish(check::run(check)),
        Some(ToolCommand::Apply(apply)) => context.finish(apply::run(&context, apply).await),
        Some(ToolCommand::Get(get)) => context.finish(get::run(&context, get).await),
        Some(ToolCommand::Diff(diff)) => context.finish(diff::run(&context, diff).await),
        Some(ToolCommand::History(history)) => {
            context.finish(history::run(&context, history).await)
        }
        Some(ToolCommand::Explain(explain)) => match &explain.request_id {
            Some(request_id) => context.finish(request::run(&context, request_id).await),
            None => context.finish(explain::run(&context, explain).await),
        },
        Some(ToolCommand::Status(_)) => context.finish(status::run(&context).await),
        None => {
            let message = "no command; see coltsfootctl --help".to_owned();
            fail(&Report::new(ToolError::Usage(message)), arguments.json)
        }
    }
}

/// Prints an error and gives the exit code that tells of it.
pub fn fail(error: &Report<ToolError>, json: bool) -> ExitCode {
    let kind = error.current_context();
    let status: ExitStatus = kind.exit_status();
    if json {
        let error = json!({ "error": kind.to_string(), "exit_status": status as u8 });
        println!("{error}");
    } else {
        eprintln!("coltsfootctl: {kind}");
    }
    ExitCode::from(status as u8)
}
