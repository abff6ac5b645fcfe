//! `dragonflystep report edge`: reports how fast edge nodes spend the error budget of each route.

use {
    super::{Failure, output},
    argh::FromArgs,
    dragonflystep_edge::EdgeBurnReport,
    std::time::Duration,
};

/// Time limit for fetching a metrics page; a node that takes longer is reported as missing.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Reports the error budget burn of each route over edge nodes, counted since each node started.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "edge")]
pub struct EdgeBurn {
    /// metrics address of a node, as IP:PORT; repeat for every node
    #[argh(option)]
    metrics: Vec<String>,
    /// share of requests that must be in time; above 0 and below 1
    #[argh(option, default = "0.95")]
    objective_share: f64,
    /// output format: text or json
    #[argh(option, default = "String::from(\"text\")")]
    format: String,
}

impl EdgeBurn {
    pub async fn run(self) -> Result<(), Failure> {
        if self.metrics.is_empty() {
            return Err(Failure::BadInput(
                "--metrics: pass the address of at least one node".to_owned(),
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
            match fetch_metrics_page(&client, address).await {
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

async fn fetch_metrics_page(
    client: &reqwest::Client,
    address: &str,
) -> Result<String, reqwest::Error> {
    let response = client
        .get(format!("http://{address}/metrics"))
        .send()
        .await?;
    response.error_for_status()?.text().await
}
