//! Runs the operator's command-line tool.

use std::process::ExitCode;

use coltsfootctl::dialect::NativeTool;

fn main() -> ExitCode {
    coltsfootctl::run::<NativeTool>()
}
