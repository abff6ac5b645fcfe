//! Measures node processes on loopback: added latency, throughput per core, memory, and the cost of the control plane.
//!
//! Build the binary first: `cargo build --release`. Then, for example,
//! `cargo run --release --example measure -- latency`. Each command ends by itself.

mod accounts;
mod carried;
mod control;
mod held;
mod latency;
mod process;
mod statsd;
mod system;

use {
    argh::FromArgs,
    eyre::Result,
    std::io::{self, Write},
};

/// Measures node processes of the built binary on loopback.
#[derive(FromArgs)]
struct CommandLine {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Accounts(accounts::Accounts),
    Latency(latency::Latency),
    Carried(carried::Carried),
    Held(held::Held),
    Control(control::Control),
}

#[tokio::main]
async fn main() -> Result<()> {
    let line: CommandLine = argh::from_env();
    match line.command {
        Command::Accounts(command) => command.run().await,
        Command::Latency(command) => command.run().await,
        Command::Carried(command) => command.run().await,
        Command::Held(command) => command.run().await,
        Command::Control(command) => command.run().await,
    }
}

/// Writes one line of a result to standard output.
fn print_result(line: &str) {
    // If the reader has closed the pipe, the measurement still runs to its end.
    let _ = writeln!(io::stdout().lock(), "{line}");
}
