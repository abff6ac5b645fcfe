//! `dragonflystep catalogue diff`: shows the differences between two catalogue versions, and who made them.

use {
    super::{Failure, admin_client::AdminClient, output},
    argh::FromArgs,
    dragonflystep::{core::catalogue::CatalogueChange, report::CatalogueDiff},
    serde::Deserialize,
};

/// Shows the differences between two catalogue versions, and who made them.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// older version
    #[argh(positional)]
    from: u64,
    /// newer version
    #[argh(positional)]
    to: u64,
    /// output format: text or json
    #[argh(option, default = "String::from(\"text\")")]
    format: String,
}

/// Answer of `/admin/history`: the catalogue changes that the node still keeps.
#[derive(Deserialize)]
struct KeptChanges {
    changes: Vec<CatalogueChange>,
}

impl Diff {
    /// Fetches the changes that a node keeps, and prints the differences between the two versions.
    pub async fn run(self, client: &AdminClient) -> Result<(), Failure> {
        let page = client.get("/admin/history?since=0").await?;
        let kept: KeptChanges = serde_json::from_value(page)?;
        let diff = CatalogueDiff::between(&kept.changes, self.from, self.to)
            .map_err(|error| Failure::BadInput(format!("catalogue diff: {error}")))?;
        match self.format.as_str() {
            "text" => output::text(&diff.to_string()),
            "json" => output::text(&serde_json::to_string_pretty(&diff)?),
            other => {
                return Err(Failure::BadInput(format!(
                    "catalogue diff: unknown format {other}, use text or json"
                )));
            }
        }
        Ok(())
    }
}
