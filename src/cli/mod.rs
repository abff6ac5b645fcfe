//! The command command_line: parses the arguments, runs the command and maps its result to an exit code.

mod admin_client;
mod catalogue;
mod catalogue_apply;
mod catalogue_diff;
mod check;
mod demo;
mod edge;
mod edge_report;
mod experiment;
mod explain;
mod fake;
mod node;
mod output;
mod overload;
mod releases;
mod report;
mod soak;

use {
    argh::FromArgs,
    std::{fmt, future::Future, process::ExitCode},
};

/// Exit code for invalid input; nothing was started or changed.
const EXIT_BAD_INPUT: u8 = 2;
/// Exit code for every other failure.
const EXIT_FAILED: u8 = 1;

/// Schedules requests to model upstreams that differ in speed and change without notice.
#[derive(FromArgs, Debug)]
struct CommandLine {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Edge(edge::EdgeCommand),
    Node(node::NodeCommand),
    Check(check::CheckCommand),
    Catalogue(catalogue::CatalogueCommand),
    Report(report::ReportCommand),
    Demo(demo::DemoCommand),
    Experiment(experiment::ExperimentCommand),
    Explain(explain::ExplainCommand),
    Fake(fake::FakeCommand),
    Overload(overload::OverloadCommand),
    Releases(releases::ReleasesCommand),
    Soak(soak::SoakCommand),
}

/// Why a command ended without success.
#[derive(Debug)]
enum Failure {
    /// The input is invalid; the text lists the faults.
    BadInput(String),
    /// Any other error.
    Failed(eyre::Report),
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadInput(faults) => formatter.write_str(faults),
            Self::Failed(report) => write!(formatter, "{report:#}"),
        }
    }
}

impl<E: Into<eyre::Report>> From<E> for Failure {
    fn from(error: E) -> Self {
        Self::Failed(error.into())
    }
}

/// Parses the command line and runs the command.
pub fn run() -> ExitCode {
    let command_line: CommandLine = argh::from_env();
    let result = match command_line.command {
        Command::Edge(command) => command.run(),
        Command::Node(command) => block_on_runtime(command.run()),
        Command::Check(command) => command.run(),
        Command::Catalogue(command) => block_on_runtime(command.run()),
        Command::Report(command) => block_on_runtime(command.run()),
        Command::Demo(command) => block_on_runtime(command.run()),
        Command::Experiment(command) => command.run(),
        Command::Explain(command) => command.run(),
        Command::Fake(command) => block_on_runtime(command.run()),
        Command::Overload(command) => command.run(),
        Command::Releases(command) => command.run(),
        Command::Soak(command) => command.run(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::BadInput(faults)) => {
            output::error(&faults);
            ExitCode::from(EXIT_BAD_INPUT)
        }
        Err(Failure::Failed(report)) => {
            output::error(&format!("error: {report:#}"));
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Runs a command to its end on a multi-threaded Tokio runtime.
fn block_on_runtime(command: impl Future<Output = Result<(), Failure>>) -> Result<(), Failure> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(command)
}
