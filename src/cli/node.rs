//! `dragonflystep node`: runs one node until it is signalled to stop.

use {
    super::{Failure, check::read_settings},
    argh::FromArgs,
    dragonflystep::{
        config::{LogFormat as ConfiguredFormat, NodeSettings},
        node::{
            Node,
            logging::{self, LogFormat, LogSettings},
        },
    },
    std::path::PathBuf,
    tokio::signal::unix::{SignalKind, signal},
};

/// Runs one node until SIGTERM or SIGINT, which stop it without cutting off requests.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "node")]
pub struct NodeCommand {
    /// settings file in JSON
    #[argh(option)]
    settings: PathBuf,
}

impl NodeCommand {
    pub async fn run(self) -> Result<(), Failure> {
        let settings = read_settings(&self.settings)?;
        logging::start(&log_settings(&settings))?;
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let node = Node::start(&settings).await?;
        let stopper = node.stopper();
        let signal_task = tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            log::info!("planned stop begins");
            stopper.stop();
        });
        node.wait().await;
        signal_task.abort();
        log::info!("node ended");
        Ok(())
    }
}

fn log_settings(settings: &NodeSettings) -> LogSettings {
    LogSettings {
        format: match settings.log.format {
            ConfiguredFormat::Text => LogFormat::Text,
            ConfiguredFormat::Json => LogFormat::Json,
        },
        level: settings.log.level,
        file: settings.log.file.clone(),
        node: settings.node.to_string(),
    }
}
