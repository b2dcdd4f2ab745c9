//! The commands of the tool and their reports.

mod apply;
mod check;
mod diff;
mod explain;
mod get;
mod history;
mod request;
mod source;
mod status;

use std::marker::PhantomData;
use std::process::ExitCode;

use error_stack::Report;
use serde_json::json;

use crate::arguments::{ToolArguments, ToolCommand};
use crate::dialect::ToolDialect;
use crate::error::{ExitStatus, ToolError, ToolResult};
use crate::instance::InstanceClient;
use crate::report::CommandReport;
use crate::settings::ToolSettings;
use crate::tree_store::TreeStore;

pub use apply::ApplyReport;

/// The settings of a run, shared by all commands.
pub(crate) struct ToolContext<D> {
    pub(crate) settings: ToolSettings,
    json: bool,
    dialect: PhantomData<D>,
}

impl<D: ToolDialect> ToolContext<D> {
    pub(crate) fn platform(&self) -> ToolResult<D::Platform> {
        let Some(address) = self.settings.platform else {
            let message =
                "the platform address is not set; use --platform IP:PORT or COLTSFOOTGATE_PLATFORM";
            return Err(Report::new(ToolError::Usage(message.into())));
        };
        D::platform(&self.settings, address)
    }

    pub(crate) fn store(&self) -> ToolResult<TreeStore<D::Platform>> {
        self.platform().map(TreeStore::new)
    }

    pub(crate) fn instance_client(&self) -> InstanceClient {
        InstanceClient::new(self.settings.timeout)
    }

    fn print_result<R: CommandReport>(&self, result: ToolResult<R>) -> ExitCode {
        match result {
            Ok(report) => {
                if self.json {
                    println!("{}", serde_json::to_string(&report).unwrap_or_default());
                } else {
                    println!("{report}");
                }
                ExitCode::from(report.exit_status() as u8)
            }
            Err(error) => print_error::<D>(&error, self.json),
        }
    }
}

/// Runs a command, prints its report or error, and returns the exit code.
pub async fn run<D: ToolDialect>(arguments: ToolArguments, settings: ToolSettings) -> ExitCode {
    let context = ToolContext::<D> { settings, json: arguments.json, dialect: PhantomData };
    match &arguments.command {
        Some(ToolCommand::Check(check)) => context.print_result(check::run::<D>(check)),
        Some(ToolCommand::Apply(apply)) => context.print_result(apply::run(&context, apply).await),
        Some(ToolCommand::Get(get)) => context.print_result(get::run(&context, get).await),
        Some(ToolCommand::Diff(diff)) => context.print_result(diff::run(&context, diff).await),
        Some(ToolCommand::History(history)) => {
            context.print_result(history::run(&context, history).await)
        }
        Some(ToolCommand::Explain(explain)) => match &explain.request_id {
            Some(request_id) => {
                context.print_result(request::run(&context, request_id, &explain.log).await)
            }
            None => context.print_result(explain::run(&context, explain).await),
        },
        Some(ToolCommand::Status(_)) => context.print_result(status::run(&context).await),
        None => {
            let message = format!("no command was given; see {} --help", D::NAME);
            print_error::<D>(&Report::new(ToolError::Usage(message)), arguments.json)
        }
    }
}

/// Prints an error, as text to stderr or as JSON to stdout, and returns its exit code.
pub fn print_error<D: ToolDialect>(error: &Report<ToolError>, json: bool) -> ExitCode {
    let error = error.current_context();
    let status: ExitStatus = error.exit_status();
    if json {
        let error = json!({ "error": error.to_string(), "exit_status": status as u8 });
        println!("{error}");
    } else {
        eprintln!("{}: {error}", D::NAME);
    }
    ExitCode::from(status as u8)
}
