//! Measures the latency that a node adds, compared to the same call sent directly to the engine stand-in.

use {
    super::{
        print_result,
        process::Process,
        system::{ACCOUNT_KEY, ENGINES, System, UpstreamSpec, completion},
    },
    argh::FromArgs,
    eyre::{Result, ensure},
    reqwest::{Client, RequestBuilder},
    std::time::{Duration, Instant},
};

/// Measures the latency that a node adds at p50 and p99; direct calls and calls through the node alternate.
#[derive(FromArgs)]
#[argh(subcommand, name = "latency")]
pub struct Latency {
    /// calls of each kind, direct and through the node
    #[argh(option, default = "400")]
    calls: usize,
    /// concurrent calls
    #[argh(option, default = "4")]
    at_once: usize,
    /// tokens of an answer
    #[argh(option, default = "16")]
    tokens: u32,
    /// bytes of a prompt
    #[argh(option, default = "2000")]
    prompt_bytes: usize,
    /// milliseconds of a decode step
    #[argh(option, default = "10")]
    decode_step_ms: u64,
    /// open a new connection to the node for each call
    #[argh(switch)]
    fresh_connections: bool,
}

/// Idle connections that a client keeps to the node. It uses one at a time.
const IDLE_CONNECTIONS: usize = 4;

#[derive(Clone, Copy)]
struct Timing {
    first: Duration,
    complete: Duration,
}

#[derive(Default)]
struct Timings {
    direct: Vec<Timing>,
    through_node: Vec<Timing>,
}

impl Latency {
    /// Runs the calls on concurrent lanes and reports the time to the first token and to the complete answer.
    pub async fn run(self) -> Result<()> {
        let step = self.decode_step_ms.to_string();
        let arguments = ["engine", "--max-batch", "64", "--decode-step-ms", &step];
        let (_engine, address) = Process::stand_in(&arguments)?;
        let system = System::start(1, None)?;
        let upstream = UpstreamSpec {
            service: ENGINES,
            address: address.clone(),
            running_requests: 64,
        };
        system.apply_first_catalogue(&[upstream]).await?;
        let mut lanes = Vec::new();
        for lane in 0..self.at_once {
            let work = self.lane(lane, address.clone(), system.nodes[0].caller.clone());
            lanes.push(tokio::spawn(work));
        }
        let mut all = Timings::default();
        for lane in lanes {
            let timings = lane.await??;
            all.direct.extend(timings.direct);
            all.through_node.extend(timings.through_node);
        }
        report("first token", &all, |timing| timing.first);
        report("whole answer", &all, |timing| timing.complete);
        Ok(())
    }

    fn lane(
        &self,
        lane: usize,
        engine: String,
        node: String,
    ) -> impl Future<Output = Result<Timings>> + Send + 'static {
        let calls = self.calls / self.at_once;
        let body = completion(self.prompt_bytes, self.tokens);
        let idle_connections = if self.fresh_connections {
            0
        } else {
            IDLE_CONNECTIONS
        };
        async move {
            // The node opens a connection for each dispatch, so the direct calls do the same.
            let direct_client = Client::builder()
                .no_proxy()
                .pool_max_idle_per_host(0)
                .build()?;
            let client = Client::builder()
                .no_proxy()
                .pool_max_idle_per_host(idle_connections)
                .build()?;
            let mut timings = Timings::default();
            for call in 0..=calls {
                let direct = direct_client
                    .post(format!("http://{engine}/v1/completions"))
                    .header(
                        "X-Request-Id",
                        format!("straight:1:{}", lane * (calls + 1) + call),
                    )
                    .header("X-Fencing-Number", "1");
                timings.direct.push(time(direct.json(&body)).await?);
                let through_node = client
                    .post(format!("http://{node}/services/{ENGINES}/v1/completions"))
                    .bearer_auth(ACCOUNT_KEY);
                timings
                    .through_node
                    .push(time(through_node.json(&body)).await?);
            }
            // Drops the first calls, which find neither a cached prefix nor an open connection.
            timings.direct.remove(0);
            timings.through_node.remove(0);
            Ok(timings)
        }
    }
}

async fn time(call: RequestBuilder) -> Result<Timing> {
    let started_at = Instant::now();
    let mut answer = call.send().await?;
    let status = answer.status();
    let mut first = None;
    let mut text = Vec::new();
    while let Some(part) = answer.chunk().await? {
        first.get_or_insert(started_at.elapsed());
        text.extend_from_slice(&part);
    }
    ensure!(
        status.is_success() && text.ends_with(b"[DONE]\n\n"),
        "an answer is not complete: {status} {}",
        String::from_utf8_lossy(&text)
    );
    let complete = started_at.elapsed();
    Ok(Timing {
        first: first.unwrap_or(complete),
        complete,
    })
}

fn report(what: &str, timings: &Timings, pick: impl Fn(&Timing) -> Duration) {
    for (name, share) in [("p50", 0.5), ("p99", 0.99)] {
        let direct = quantile(&timings.direct, &pick, share);
        let through_node = quantile(&timings.through_node, &pick, share);
        print_result(&format!(
            "{what} {name}: straight {direct:.2} ms, by the node {through_node:.2} ms, ratio {:.3}, calls {}",
            through_node / direct,
            timings.through_node.len()
        ));
    }
}

fn quantile(timings: &[Timing], pick: impl Fn(&Timing) -> Duration, share: f64) -> f64 {
    let mut sorted: Vec<_> = timings.iter().map(pick).collect();
    sorted.sort_unstable();
    let index = ((sorted.len() as f64 - 1.0) * share).round() as usize;
    sorted[index].as_secs_f64() * 1000.0
}
