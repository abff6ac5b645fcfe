//! `dragonflystep report`: how fast each tier spends its error budget.

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

/// Reports from the nodes' own counts.
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

/// Service-level burn by service and tier over all nodes.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "burn")]
struct Burn {
    /// administration address of a node, IP number and port; name all nodes
    #[argh(option)]
    admin: Vec<String>,
    /// text, json or page
    #[argh(option, default = "String::from(\"text\")")]
    format: String,
    /// file to write; standard output when missing
    #[argh(option)]
    output: Option<PathBuf>,
}

/// The nodes that a node knows, as it shows them.
#[derive(Deserialize)]
struct KnownNodes {
    nodes: Vec<KnownNode>,
}

/// One of them.
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
                "report burn: name each node with --admin".to_owned(),
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

    /// Asks each node; one that does not answer, or that only the others know, is named in the report.
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
                "report burn: no format {other}; text, json or page"
            ))),
        }
    }
}
