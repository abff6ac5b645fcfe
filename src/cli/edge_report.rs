//! `dragonflystep report edge`: the burn report over edge nodes.

use {
    super::{Failure, output},
    argh::FromArgs,
    dragonflystep_edge::EdgeBurnReport,
    std::time::Duration,
};

/// Time for a metrics page; a node that needs longer counts as missing.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Service-level burn by route over edge nodes, counted since their starts.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "edge")]
pub struct EdgeBurn {
    /// metrics address of a node, IP number and port; name all nodes
    #[argh(option)]
    metrics: Vec<String>,
    /// share of the requests that is to be in time, above 0 and below 1
    #[argh(option, default = "0.95")]
    objective_share: f64,
    /// text or json
    #[argh(option, default = "String::from(\"text\")")]
    format: String,
}

impl EdgeBurn {
    pub async fn run(self) -> Result<(), Failure> {
        if self.metrics.is_empty() {
            return Err(Failure::BadInput(
                "--metrics: name at least one node".to_owned(),
            ));
        }
        if !(self.objective_share > 0.0 && self.objective_share < 1.0) {
            let fault = "--objective-share: must be above 0 and below 1";
            return Err(Failure::BadInput(fault.to_owned()));
        }
        let client = reqwest::Client::builder()
            .no_proxy()
            .timeout(PAGE_TIMEOUT)
            .build()?;
        let (mut pages, mut missing) = (Vec::new(), Vec::new());
        for address in &self.metrics {
            match page(&client, address).await {
                Ok(page) => pages.push(page),
                Err(error) => missing.push(format!("{address}: {error}")),
            }
        }
        let report = EdgeBurnReport::from_pages(self.objective_share, &pages, missing);
        match self.format.as_str() {
            "text" => output::text(&report.to_text()),
            "json" => output::text(&serde_json::to_string_pretty(&report)?),
            other => {
                let fault = format!("--format: {other:?} is neither text nor json");
                return Err(Failure::BadInput(fault));
            }
        }
        Ok(())
    }
}

async fn page(client: &reqwest::Client, address: &str) -> Result<String, reqwest::Error> {
    let response = client
        .get(format!("http://{address}/metrics"))
        .send()
        .await?;
    response.error_for_status()?.text().await
}
