//! `dragonflystep report`: reports how fast nodes spend their error budgets.

use {
    super::{Failure, admin_client::AdminClient, output},
    argh::FromArgs,
    dragonflystep::report::{BurnReport, NodeReport, page, text},
    serde::Deserialize,
    std::{
        collections::BTreeSet,
        path::PathBuf,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Reports how fast the error budgets are spent, from the counts that the nodes keep.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "report")]
pub struct ReportCommand {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Action {
    Burn(Burn),
    Edge(super::edge_report::EdgeBurn),
}

/// Reports the error budget burn of each service and tier over all nodes.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "burn")]
struct Burn {
    /// administration address of a node, as IP:PORT; repeat for every node
    #[argh(option)]
    admin: Vec<String>,
    /// output format: text, json or page
    #[argh(option, default = "String::from(\"text\")")]
    format: String,
    /// file to write; default: standard output
    #[argh(option)]
    output: Option<PathBuf>,
}

/// The part of the `/admin/status` answer that lists the nodes which the node knows.
#[derive(Deserialize)]
struct KnownNodes {
    nodes: Vec<KnownNode>,
}

/// A node in the `/admin/status` answer.
#[derive(Deserialize)]
struct KnownNode {
    node: String,
}

impl ReportCommand {
    pub async fn run(self) -> Result<(), Failure> {
        match self.action {
            Action::Burn(burn) => burn.run().await,
            Action::Edge(burn) => burn.run().await,
        }
    }
}

impl Burn {
    async fn run(self) -> Result<(), Failure> {
        if self.admin.is_empty() {
            return Err(Failure::BadInput(
                "report burn: pass the address of each node with --admin".to_owned(),
            ));
        }
        let report = self.collect().await?;
        let shown = self.render(&report)?;
        match &self.output {
            Some(path) => std::fs::write(path, shown)?,
            None => output::text(&shown),
        }
        Ok(())
    }

    /// Collects the reports of the given nodes. The result lists as missing each node that did not answer, and each
    /// node that only other nodes know.
    async fn collect(&self) -> Result<BurnReport, Failure> {
        let mut reports: Vec<NodeReport> = Vec::new();
        let mut expected = BTreeSet::new();
        for address in &self.admin {
            let client = AdminClient::from_environment(address)?;
            match client.get("/admin/report").await {
                Ok(page) => reports.push(serde_json::from_value(page)?),
                Err(failure) => {
                    output::error(&format!("{address} is missing: {failure}"));
                    expected.insert(address.clone());
                    continue;
                }
            }
            let status: KnownNodes = serde_json::from_value(client.get("/admin/status").await?)?;
            expected.extend(status.nodes.into_iter().map(|known| known.node));
        }
        let expected: Vec<String> = expected.into_iter().collect();
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Ok(BurnReport::join(&reports, &expected, now.as_secs()))
    }

    fn render(&self, report: &BurnReport) -> Result<String, Failure> {
        match self.format.as_str() {
            "text" => Ok(text::render(report)?),
            "json" => Ok(serde_json::to_string_pretty(report)?),
            "page" => Ok(page::render(report)?),
            other => Err(Failure::BadInput(format!(
                "report burn: unknown format {other}, use text, json or page"
            ))),
        }
    }
}
