//! `dragonflystep releases`: runs edge nodes as processes while software versions of upstreams follow one another and all
//! nodes are lost at once, and checks the streams over all tries of their callers.

use {
    super::{Failure, output},
    argh::FromArgs,
    dragonflystep_soak::{ReleaseSettings, run_releases},
    std::path::PathBuf,
};

/// Runs edge nodes as processes while software versions of upstreams follow one another and all nodes are lost at once,
/// and checks what callers of streams received over all their tries.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "releases")]
pub struct ReleasesCommand {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds to run, one after the other
    #[argh(option, default = "1")]
    count: u64,
    /// number of nodes
    #[argh(option, default = "6")]
    nodes: usize,
    /// number of upstreams that serve at the same time
    #[argh(option, default = "12")]
    engines: usize,
    /// number of releases in a run, each with a loss of all nodes
    #[argh(option, default = "4")]
    releases: usize,
    /// kill no nodes
    #[argh(switch)]
    without_losses: bool,
    /// replace upstreams by ones of the same version
    #[argh(switch)]
    one_version: bool,
    /// program whose nodes are run; this one if absent
    #[argh(option)]
    binary: Option<PathBuf>,
}

impl ReleasesCommand {
    pub fn run(self) -> Result<(), Failure> {
        let binary = match self.binary {
            Some(binary) => binary,
            None => std::env::current_exe()?,
        };
        let mut failed_seeds = 0;
        for seed in self.seed..self.seed + self.count {
            let report = run_releases(&ReleaseSettings {
                binary: binary.clone(),
                seed,
                nodes: self.nodes,
                engines: self.engines,
                releases: self.releases,
                kills_nodes: !self.without_losses,
                changes_version: !self.one_version,
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
