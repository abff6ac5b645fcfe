//! `dragonflystep experiment`: compares the scheduling policy with baseline policies in virtual time.

use {
    super::{Failure, output},
    argh::FromArgs,
    dragonflystep::experiment::{ExperimentOptions, run_command},
    std::path::PathBuf,
};

/// Simulates a scenario in virtual time and prints the results of each policy.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "experiment")]
pub struct ExperimentCommand {
    /// scenario file in JSON
    #[argh(option)]
    scenario: PathBuf,
    /// seed; repeat for several seeds; default: 1, 2 and 3
    #[argh(option)]
    seed: Vec<u64>,
    /// policy; repeat for several policies; default: all policies
    #[argh(option)]
    policy: Vec<String>,
    /// time for which callers send requests, in seconds; default: the time in the scenario
    #[argh(option)]
    seconds: Option<f64>,
    /// number of threads
    #[argh(option, default = "1")]
    threads: usize,
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
}

impl ExperimentCommand {
    pub fn run(self) -> Result<(), Failure> {
        let mut options = ExperimentOptions::new(self.scenario);
        if !self.seed.is_empty() {
            options.seeds = self.seed;
        }
        options.policies = self.policy;
        options.seconds = self.seconds;
        options.threads = self.threads;
        options.json = self.json;
        output::text(&run_command(&options)?);
        Ok(())
    }
}
