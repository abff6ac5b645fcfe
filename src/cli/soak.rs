//! `dragonflystep soak`: edge nodes as processes under randomized faults; what callers and workers see is checked.

use {super::Failure, super::output, argh::FromArgs, dragonflystep_soak::run_seed};

/// Runs edge nodes as processes under faults drawn from seeds, and checks what callers and workers see.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "soak")]
pub struct SoakCommand {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// seeds to run, one after the other
    #[argh(option, default = "1")]
    count: u64,
}

impl SoakCommand {
    pub fn run(self) -> Result<(), Failure> {
        let binary = std::env::current_exe()?;
        let mut broken = 0;
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
                broken += 1;
            }
        }
        if broken > 0 {
            return Err(eyre::eyre!("{broken} of {} seeds broke a promise", self.count).into());
        }
        Ok(())
    }
}
