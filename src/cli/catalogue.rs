//! `dragonflystep catalogue`: shows and changes the catalogue.

use {
    super::{
        Failure, admin_client::AdminClient, catalogue_apply::Apply, catalogue_diff::Diff, output,
    },
    argh::FromArgs,
};

/// Shows and changes the catalogue through the administration API of any node.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "catalogue")]
pub struct CatalogueCommand {
    /// administration address of a node, as IP:PORT
    #[argh(option)]
    admin: String,
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Action {
    Show(Show),
    Apply(Apply),
    Diff(Diff),
    Status(Status),
    History(History),
}

/// Shows the catalogue that is in force.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
struct Show {}

/// Shows which catalogue version is in force on each node, and which node is the broker of each group.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
struct Status {}

/// Shows the changes of the catalogue with their authors and reasons.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "history")]
struct History {
    /// first version to show
    #[argh(option, default = "1")]
    since: u64,
}

impl CatalogueCommand {
    pub async fn run(self) -> Result<(), Failure> {
        let client = AdminClient::from_environment(&self.admin)?;
        match self.action {
            Action::Show(Show {}) => print_document(&client, "/admin/catalogue").await,
            Action::Status(Status {}) => print_document(&client, "/admin/status").await,
            Action::History(history) => {
                print_document(&client, &format!("/admin/history?since={}", history.since)).await
            }
            Action::Apply(apply) => apply.run(&client).await,
            Action::Diff(diff) => diff.run(&client).await,
        }
    }
}

/// Fetches a document of the administration API and prints it as indented JSON.
async fn print_document(client: &AdminClient, path: &str) -> Result<(), Failure> {
    let document = client.get(path).await?;
    output::text(&serde_json::to_string_pretty(&document)?);
    Ok(())
}
