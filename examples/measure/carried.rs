//! Measures how many requests per second a node can serve with one core, from its processor time per request.

use {
    super::{
        print_result,
        process::Process,
        system::{ACCOUNT_KEY, ENGINES, PLAIN, System, UpstreamSpec, completion},
    },
    argh::FromArgs,
    eyre::{Result, ensure},
    reqwest::{Client, RequestBuilder},
    std::time::Instant,
};

/// Measures the requests per second that a node can serve with one core.
#[derive(FromArgs)]
#[argh(subcommand, name = "carried")]
pub struct Carried {
    /// requests of each kind
    #[argh(option, default = "4000")]
    requests: usize,
    /// concurrent requests
    #[argh(option, default = "32")]
    at_once: usize,
    /// tokens of an engine's answer; repeat the option to compare several lengths; default: 1, 33 and 129
    #[argh(option)]
    tokens: Vec<u32>,
}

impl Carried {
    /// Loads the node with completions of each length and then with plain requests.
    pub async fn run(self) -> Result<()> {
        let arguments = [
            "engine",
            "--max-batch",
            "64",
            "--decode-step-ms",
            "1",
            "--prefill-tokens-per-s",
            "10000000",
        ];
        let (_engine, engine) = Process::stand_in(&arguments)?;
        let (_plain, plain) = Process::stand_in(&["service", "--latency-ms", "1"])?;
        let system = System::start(1, None)?;
        let upstream = |service, address| UpstreamSpec {
            service,
            address,
            running_requests: 64,
        };
        system
            .apply_first_catalogue(&[upstream(ENGINES, engine), upstream(PLAIN, plain)])
            .await?;
        let node = &system.nodes[0];
        let engine_url = format!("http://{}/services/{ENGINES}/v1/completions", node.caller);
        let lengths = if self.tokens.is_empty() {
            vec![1, 33, 129]
        } else {
            self.tokens.clone()
        };
        for tokens in lengths {
            let body = completion(2000, tokens);
            let what = format!("engine, {tokens} tokens");
            self.load(&what, &node.process, |client| {
                client.post(&engine_url).json(&body)
            })
            .await?;
        }
        let plain_url = format!("http://{}/services/{PLAIN}/stock", node.caller);
        self.load("plain", &node.process, |client| client.get(&plain_url))
            .await
    }

    async fn load(
        &self,
        what: &str,
        node: &Process,
        call: impl Fn(&Client) -> RequestBuilder,
    ) -> Result<()> {
        let client = Client::builder().no_proxy().build()?;
        let requests_per_lane = self.requests / self.at_once;
        let cpu_before = node.cpu_time()?;
        let started_at = Instant::now();
        let mut lanes = Vec::new();
        for _ in 0..self.at_once {
            let calls: Vec<_> = (0..requests_per_lane)
                .map(|_| call(&client).bearer_auth(ACCOUNT_KEY))
                .collect();
            lanes.push(tokio::spawn(async move {
                let mut done = 0_usize;
                for call in calls {
                    let answer = call.send().await?;
                    let succeeded = answer.status().is_success();
                    answer.bytes().await?;
                    done += usize::from(succeeded);
                }
                Ok::<_, reqwest::Error>(done)
            }));
        }
        let mut done = 0;
        for lane in lanes {
            done += lane.await??;
        }
        let cpu = (node.cpu_time()? - cpu_before).as_secs_f64();
        let wall = started_at.elapsed().as_secs_f64();
        ensure!(
            done == requests_per_lane * self.at_once,
            "{what}: only {done} requests succeeded"
        );
        print_result(&format!(
            "{what}: {done} requests, {:.0}/s over the wall, processor {:.3} ms each, {:.0}/s on one core",
            done as f64 / wall,
            cpu * 1000.0 / done as f64,
            done as f64 / cpu
        ));
        Ok(())
    }
}
