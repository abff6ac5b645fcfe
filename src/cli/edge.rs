//! `dragonflystep edge`: runs one edge node on the users' platform until it is signalled to stop.

use {
    super::Failure,
    argh::FromArgs,
    dragonflystep_edge::{start_log, stop_signal},
    dragonflystep_site::{SiteError, load_settings},
    std::path::PathBuf,
    tokio::task::LocalSet,
};

/// Runs one edge node until SIGTERM or SIGINT, which stop it without cutting off requests.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "edge")]
pub struct EdgeCommand {
    /// settings file in JSON
    #[argh(option)]
    settings: PathBuf,
    /// check the settings without starting the node
    #[argh(switch)]
    check: bool,
}

impl EdgeCommand {
    pub fn run(self) -> Result<(), Failure> {
        let (settings, store) = load_settings(&self.settings).map_err(|error| match error {
            SiteError::Settings(_) | SiteError::NoStore => Failure::BadInput(error.to_string()),
            other => other.into(),
        })?;
        if self.check {
            return Ok(());
        }
        let path = self.settings;
        let log = start_log(&settings.node, log::LevelFilter::Info)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let node = async {
            let log_writer = tokio::task::spawn_local(log.clone().run());
            let result = dragonflystep_site::run(settings, &store, Some(path), stop_signal()).await;
            log_writer.abort();
            result
        };
        let result = LocalSet::new().block_on(&runtime, node);
        log.finish();
        Ok(result?)
    }
}
