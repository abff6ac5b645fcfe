//! `dragonflystep overload`: runs many edge nodes as processes near the limit of a small service, and checks that no request
//! ran whose caller was told that it had not run.

use {
    super::{Failure, output},
    argh::FromArgs,
    dragonflystep_soak::{OverloadSettings, run_overload},
    std::{path::PathBuf, time::Duration},
};

/// Runs many edge nodes as processes near the limit of a small service, with troubles drawn from seeds, and checks that no
/// request ran whose caller was told that it had not run.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "overload")]
pub struct OverloadCommand {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds to run, one after the other
    #[argh(option, default = "1")]
    count: u64,
    /// number of nodes
    #[argh(option, default = "63")]
    nodes: usize,
    /// number of upstreams of the plain service
    #[argh(option, default = "3")]
    plain: usize,
    /// number of upstreams that answer streams
    #[argh(option, default = "140")]
    engines: usize,
    /// length of a run in seconds
    #[argh(option, default = "40")]
    length_s: u64,
    /// factor of the ordinary load
    #[argh(option, default = "1.0")]
    load: f64,
    /// number of troubles in a run
    #[argh(option, default = "16")]
    troubles: usize,
    /// draw only from the trouble of this name; may be given several times
    #[argh(option)]
    only: Vec<String>,
    /// factor of the shares of calls with which upstreams misbehave
    #[argh(option, default = "1.0")]
    intensity: f64,
    /// program whose nodes are run; this one if absent
    #[argh(option)]
    binary: Option<PathBuf>,
}

impl OverloadCommand {
    pub fn run(self) -> Result<(), Failure> {
        let binary = match self.binary {
            Some(binary) => binary,
            None => std::env::current_exe()?,
        };
        let mut failed_seeds = 0;
        for seed in self.seed..self.seed + self.count {
            let report = run_overload(&OverloadSettings {
                binary: binary.clone(),
                seed,
                nodes: self.nodes,
                plain_workers: self.plain,
                engines: self.engines,
                length: Duration::from_secs(self.length_s),
                load: self.load,
                troubles: self.only.clone(),
                trouble_count: self.troubles,
                intensity: self.intensity,
            })?;
            output::text(&format!("seed {seed}:\n{report}"));
            failed_seeds += u64::from(report.logs.is_some());
        }
        if failed_seeds > 0 {
            return Err(
                eyre::eyre!("{failed_seeds} of {} seeds broke a promise", self.count).into(),
            );
        }
        Ok(())
    }
}
