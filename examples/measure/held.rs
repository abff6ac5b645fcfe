//! Measures the memory of a node without requests and with an increasing number of open streams.

use {
    super::{
        print_result,
        process::Process,
        system::{ACCOUNT_KEY, ENGINES, System, UpstreamSpec, completion},
    },
    argh::FromArgs,
    eyre::Result,
    reqwest::Client,
    std::time::Duration,
    tokio::{task::JoinSet, time::timeout},
};

/// Measures the memory of a node without requests and with open streams.
#[derive(FromArgs)]
#[argh(subcommand, name = "held")]
pub struct Held {
    /// streams opened in each step
    #[argh(option, default = "500")]
    step: usize,
    /// number of steps
    #[argh(option, default = "3")]
    steps: usize,
    /// bytes of a prompt
    #[argh(option, default = "4000")]
    prompt_bytes: usize,
}

const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(60);
const TOKENS: u32 = 4000;
const ENGINE_PROCESSES: usize = 4;
/// Limit of running requests per engine; the stand-in accepts no more.
const STREAMS_PER_ENGINE: u32 = 1000;

impl Held {
    /// Opens streams step by step and reports the resident memory after each step.
    pub async fn run(self) -> Result<()> {
        let arguments = [
            "engine",
            "--max-batch",
            "10000",
            "--decode-step-ms",
            "500",
            "--prefill-tokens-per-s",
            "100000000",
        ];
        let mut engines = Vec::new();
        let mut upstreams = Vec::new();
        for _ in 0..ENGINE_PROCESSES {
            let (engine, address) = Process::stand_in(&arguments)?;
            engines.push(engine);
            upstreams.push(UpstreamSpec {
                service: ENGINES,
                address,
                running_requests: STREAMS_PER_ENGINE,
            });
        }
        let system = System::start(1, None)?;
        system.apply_first_catalogue(&upstreams).await?;
        let node = &system.nodes[0];
        let client = Client::builder().no_proxy().build()?;
        print_result(&format!(
            "idle: {} KiB",
            node.process.resident_bytes()? / 1024
        ));
        let url = format!("http://{}/services/{ENGINES}/v1/completions", node.caller);
        let mut streams = Vec::new();
        for _ in 0..self.steps {
            let mut opening = JoinSet::new();
            for _ in 0..self.step {
                let body = completion(self.prompt_bytes, TOKENS);
                let call = client.post(&url).bearer_auth(ACCOUNT_KEY).json(&body);
                opening.spawn(async move {
                    let mut answer = call.send().await?;
                    answer.chunk().await?;
                    Ok::<_, reqwest::Error>(answer)
                });
            }
            while let Ok(Some(opened)) = timeout(FIRST_TOKEN_TIMEOUT, opening.join_next()).await {
                let answer = opened??;
                if answer.status().is_success() {
                    streams.push(answer);
                }
            }
            print_result(&format!(
                "{} streams held: {} KiB",
                streams.len(),
                node.process.resident_bytes()? / 1024
            ));
        }
        Ok(())
    }
}
