//! Runs the tool with the flags and environment variables of the process.

use std::process::ExitCode;

use gumdrop::Options;
use monoio::{LegacyDriver, RuntimeBuilder};

use crate::arguments::ToolArguments;
use crate::commands;
use crate::dialect::ToolDialect;
use crate::settings::ToolSettings;

/// Runs the command of the command line and returns its exit code.
pub fn run<D: ToolDialect>() -> ExitCode {
    let arguments = ToolArguments::parse_args_default_or_exit();
    if arguments.version {
        println!("{} {}", D::NAME, env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = match ToolSettings::new(&arguments, |name| std::env::var(name).ok()) {
        Ok(settings) => settings,
        Err(error) => return commands::print_error::<D>(&error, arguments.json),
    };
    let mut runtime = match RuntimeBuilder::<LegacyDriver>::new().enable_timer().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{}: the async runtime could not be started: {error}", D::NAME);
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(commands::run::<D>(arguments, settings))
}
