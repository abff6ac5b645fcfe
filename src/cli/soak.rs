//! `dragonflystep soak`: runs edge nodes as processes under randomized faults, and checks what callers and upstreams
//! observe.

use {super::Failure, super::output, argh::FromArgs, dragonflystep_soak::run_seed};

/// Runs edge nodes as processes under faults drawn from seeds, and checks what callers and upstreams observe.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "soak")]
pub struct SoakCommand {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds to run, one after the other
    #[argh(option, default = "1")]
    count: u64,
}

impl SoakCommand {
    pub fn run(self) -> Result<(), Failure> {
        let binary = std::env::current_exe()?;
        let mut failed_seeds = 0;
        for seed in self.seed..self.seed + self.count {
            let report = run_seed(&binary, seed)?;
            let count = report.violations.len();
            output::text(&format!(
                "seed {seed}: {} requests, {count} promises broken",
                report.requests
            ));
            for violation in &report.violations {
                output::text(&format!("  {violation}"));
            }
            if let Some(logs) = &report.logs {
                output::text(&format!("  logs: {}", logs.display()));
                failed_seeds += 1;
            }
        }
        if failed_seeds > 0 {
            return Err(
                eyre::eyre!("{failed_seeds} of {} seeds broke a promise", self.count).into(),
            );
        }
        Ok(())
    }
}
