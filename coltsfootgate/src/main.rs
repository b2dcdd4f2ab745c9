//! The daemon's executable.

use std::process::ExitCode;

fn main() -> ExitCode {
    coltsfootgate::daemon::run::<coltsfootgate::dialect::NativeDialect>()
}
