//! Runs the operator's command-line tool.

use std::process::ExitCode;

use coltsfootctl::arguments::ToolArguments;
use coltsfootctl::commands;
use coltsfootctl::settings::ToolSettings;
use gumdrop::Options;
use monoio::{LegacyDriver, RuntimeBuilder};

fn main() -> ExitCode {
    let arguments = ToolArguments::parse_args_default_or_exit();
    if arguments.version {
        println!("coltsfootctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = match ToolSettings::new(&arguments, |name| std::env::var(name).ok()) {
        Ok(settings) => settings,
        Err(error) => return commands::fail(&error, arguments.json),
    };
    let mut runtime = match RuntimeBuilder::<LegacyDriver>::new().enable_timer().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("coltsfootctl: no runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    runtime.block_on(commands::run(arguments, settings))
}
