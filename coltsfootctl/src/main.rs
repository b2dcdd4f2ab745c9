//! The operators' command-line tool for platforms whose store contains whole trees.

use std::process::ExitCode;

use coltsfootctl::dialect::NativeTool;

fn main() -> ExitCode {
    coltsfootctl::run::<NativeTool>()
}
