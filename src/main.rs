//! The `dragonflystep` binary.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
