//! `dragonflystep demo`: runs a complete system in one process, with stand-ins for the external systems.

mod summary;
mod system;

use {
    self::system::System,
    super::{Failure, output},
    argh::FromArgs,
    dragonflystep::{
        fakes::caller::{
            CallerAccount, CallerReport, CallerSettings, CallerTier, LoadClient, TrafficSettings,
        },
        node::logging::{self, LogFormat, LogSettings},
    },
    eyre::eyre,
    std::{
        path::{Path, PathBuf},
        time::Duration,
    },
};

/// Runs a complete system with stand-ins for external systems in this process, sends traffic and prints the results.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "demo")]
pub struct DemoCommand {
    /// seed of the traffic
    #[argh(option, default = "1")]
    seed: u64,
    /// number of requests
    #[argh(option, default = "400")]
    requests: u32,
    /// file for the nodes' log; default: no log
    #[argh(option)]
    log: Option<PathBuf>,
}

impl DemoCommand {
    pub async fn run(self) -> Result<(), Failure> {
        if let Some(path) = &self.log {
            logging::start(&log_settings(path))?;
        }
        let system = System::start().await?;
        output::text(&format!(
            "{} nodes, {} engines of two speeds and {} plain workers run on loopback; sending {} requests.",
            system::NODES,
            system::ENGINES,
            system::PLAIN_UPSTREAMS,
            self.requests
        ));
        let report = self.send_traffic(&system).await;
        output::text(&summary::traffic(&report));
        output::text(&summary::prompt_tokens(&system));
        output::text(&system.burn_report().await?);
        let violations = summary::violations(&report, &system);
        system.stop().await;
        if violations.is_empty() {
            output::text("Every answer was checked token by token; no promise was broken.");
            return Ok(());
        }
        Err(eyre!("promises broken:\n{}", violations.join("\n")).into())
    }

    async fn send_traffic(&self, system: &System) -> CallerReport {
        let traffic = TrafficSettings {
            seed: self.seed,
            requests: self.requests,
            requests_per_s: 40.0,
            tiers: tiers(),
            accounts: accounts(),
            stock_share: 0.15,
            order_share: 0.1,
            shared_prefixes: 6,
            prefix_bytes: 4_096,
            prompt_bytes: 100..=10_000,
            output_tokens: 2..=60,
        };
        let mut settings = CallerSettings::new(system.caller_addresses(), traffic);
        settings.model_service = system::MODEL_SERVICE.to_owned();
        settings.model = system::MODEL.to_owned();
        settings.plain_service = system::PLAIN_SERVICE.to_owned();
        LoadClient::new(settings).run().await
    }
}

fn log_settings(path: &Path) -> LogSettings {
    LogSettings {
        format: LogFormat::Text,
        level: log::LevelFilter::Debug,
        file: Some(path.to_owned()),
        node: "demo".to_owned(),
    }
}

fn tiers() -> Vec<CallerTier> {
    let tier = |name: &str, weight, seconds| CallerTier {
        name: name.to_owned(),
        weight,
        deadline: Duration::from_secs(seconds),
    };
    vec![
        tier("urgent", 0.2, 4),
        tier("routine", 0.5, 8),
        tier("background", 0.3, 12),
    ]
}

fn accounts() -> Vec<CallerAccount> {
    system::ACCOUNTS
        .iter()
        .map(|(name, weight)| CallerAccount {
            key: system::account_key(name),
            weight: *weight,
            tiers: Vec::new(),
        })
        .collect()
}
