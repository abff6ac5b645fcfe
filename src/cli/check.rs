//! `dragonflystep check`: validates settings files and catalogue documents, and lists every fault.

use {
    super::{Failure, output},
    argh::FromArgs,
    dragonflystep::config::{CatalogueDocument, NodeSettings},
    std::path::{Path, PathBuf},
};

/// Checks a settings file or a catalogue document; starts and changes nothing.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct CheckCommand {
    /// settings file of a node, in JSON
    #[argh(option)]
    settings: Option<PathBuf>,
    /// catalogue document in JSON
    #[argh(option)]
    catalogue: Option<PathBuf>,
}

impl CheckCommand {
    pub fn run(self) -> Result<(), Failure> {
        if self.settings.is_none() && self.catalogue.is_none() {
            return Err(Failure::BadInput(
                "check: pass a file with --settings, --catalogue or both".to_owned(),
            ));
        }
        if let Some(path) = &self.settings {
            read_settings(path)?;
            output::text(&format!("{}: settings are good", path.display()));
        }
        if let Some(path) = &self.catalogue {
            read_catalogue(path)?;
            output::text(&format!("{}: catalogue is good", path.display()));
        }
        Ok(())
    }
}

/// Reads and validates a settings file; the error text contains the file's path.
pub fn read_settings(path: &Path) -> Result<NodeSettings, Failure> {
    NodeSettings::read(path).map_err(|error| bad_input(path, &error.to_string()))
}

/// Reads and validates a catalogue document; the error text contains the file's path.
pub fn read_catalogue(path: &Path) -> Result<CatalogueDocument, Failure> {
    CatalogueDocument::read(path).map_err(|error| bad_input(path, &error.to_string()))
}

/// Creates an error for invalid input, and puts the path in front if the text does not contain it.
fn bad_input(path: &Path, faults: &str) -> Failure {
    let prefix = path.display().to_string();
    let has_path = faults.contains(&prefix);
    Failure::BadInput(if has_path {
        faults.to_owned()
    } else {
        format!("{prefix}:\n{faults}")
    })
}
