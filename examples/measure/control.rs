//! Measures what the control plane costs nodes without traffic, by the number of nodes: first without changes, then
//! with regular changes of the catalogue.

use {
    super::{
        print_result,
        statsd::Gauges,
        system::{ENGINES, System, UpstreamSpec},
    },
    argh::FromArgs,
    dragonflystep::{
        config::CatalogueDocument,
        fakes::{
            engine::{EngineFake, EngineFakeSettings},
            engine_model::EngineShape,
        },
    },
    eyre::{Result, ensure},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, sleep_until},
};

/// Measures the cost of the control plane for nodes without traffic.
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
pub struct Control {
    /// number of nodes; repeat the option to compare several; default: 4, 8, 16 and 32
    #[argh(option)]
    nodes: Vec<usize>,
    /// seconds of each part of the measurement
    #[argh(option, default = "30")]
    seconds: u64,
    /// seconds between the first catalogue and the measurement, in which groups spread over the nodes
    #[argh(option, default = "15")]
    settle_seconds: u64,
    /// upstreams for each node
    #[argh(option, default = "6.4")]
    upstreams_per_node: f64,
}

/// Interval between changes. 9,200 changes a day are one in 9.4 s.
const CHANGE_INTERVAL: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Counters that grow over time: processor time of each node, and the platform's records of calls.
struct Counters {
    cpu: Vec<Duration>,
    records: Value,
}

impl Control {
    /// Measures systems of each size, one after the other.
    pub async fn run(self) -> Result<()> {
        let sizes = if self.nodes.is_empty() {
            vec![4, 8, 16, 32]
        } else {
            self.nodes.clone()
        };
        for nodes in sizes {
            self.measure(nodes).await?;
        }
        Ok(())
    }

    async fn measure(&self, nodes: usize) -> Result<()> {
        let mut engines = Vec::new();
        let mut upstreams = Vec::new();
        for _ in 0..(nodes as f64 * self.upstreams_per_node).round() as usize {
            let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
            let engine = EngineFake::start(loopback, EngineFakeSettings::new(shape())).await?;
            upstreams.push(UpstreamSpec {
                service: ENGINES,
                address: engine.address().to_string(),
                running_requests: 8,
            });
            engines.push(engine);
        }
        let gauges = Gauges::start()?;
        let system = System::start(nodes, Some(gauges.address))?;
        system.apply_first_catalogue(&upstreams).await?;
        sleep(Duration::from_secs(self.settle_seconds)).await;
        let length = Duration::from_secs(self.seconds);
        self.measure_phase("idle", &system, &gauges, sleep(length))
            .await?;
        let mut slowest = Duration::ZERO;
        let changes = change_regularly(&system, &upstreams[0], length, &mut slowest);
        self.measure_phase("a change every 10 s", &system, &gauges, changes)
            .await?;
        print_result(&format!(
            "{nodes} nodes, slowest change in force on all by their own word: {:.2} s (read one by one)",
            slowest.as_secs_f64()
        ));
        for engine in engines {
            engine.stop().await;
        }
        Ok(())
    }

    async fn measure_phase<T>(
        &self,
        what: &str,
        system: &System,
        gauges: &Gauges,
        work: impl Future<Output = T>,
    ) -> Result<()> {
        let before = read_counters(system).await?;
        let from = Instant::now();
        work.await;
        let until = Instant::now();
        let after = read_counters(system).await?;
        let seconds = until.duration_since(from).as_secs_f64();
        let nodes = system.nodes.len();
        let shares: Vec<f64> = before
            .cpu
            .iter()
            .zip(&after.cpu)
            .map(|(before, after)| (*after - *before).as_secs_f64() / seconds * 100.0)
            .collect();
        let rate = |name: &str| -> Vec<f64> {
            let rates =
                (0..nodes).map(|number| gauges.rate(&format!("n{number}.{name}"), from, until));
            rates.flatten().collect()
        };
        let (sent, received) = (rate("mesh.bytes_sent"), rate("mesh.bytes_received"));
        ensure!(sent.len() == nodes, "gauges of {} nodes", sent.len());
        let mut resident = Vec::new();
        for node in &system.nodes {
            resident.push(node.process.resident_bytes()? as f64 / 1048576.0);
        }
        let record = |name: &str| {
            let count = |page: &Value| page[name].as_f64().unwrap_or_default();
            (count(&after.records) - count(&before.records)) / seconds
        };
        print_result(&format!(
            "{nodes} nodes, {what}: core {} %, mesh sent {} B/s, received {} B/s, memory {} MiB; \
             platform {:.1} commits/s, {:.1} conflicts/s, {:.1} reads/s, {:.1} scans/s, {:.1} VM lists/s, \
             {:.1} rows read/s, scan of nodes {} B, of groups {} B, list of entries {} B; groups held {}",
            spread(&shares),
            spread(&sent),
            spread(&received),
            spread(&resident),
            record("commits"),
            record("conflicts"),
            record("table_reads"),
            record("table_scans"),
            record("vm_list_reads"),
            record("rows_read"),
            system.scan_bytes("node/").await?,
            system.scan_bytes("group/").await?,
            system.entries_bytes().await?,
            spread(&held_groups(system).await?),
        ));
        Ok(())
    }
}

fn spread(values: &[f64]) -> String {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let most = values.iter().copied().fold(0.0, f64::max);
    format!("{mean:.2} (most {most:.2})")
}

/// Returns the number of groups that each node holds, as known to the first node.
async fn held_groups(system: &System) -> Result<Vec<f64>> {
    let status = system.status(&system.nodes[0]).await?;
    let groups = status["groups"].as_array().cloned().unwrap_or_default();
    let held_by = |number: usize| {
        let name = format!("entry-{number}");
        let own = groups.iter().filter(|group| group["holder"] == *name);
        own.count() as f64
    };
    Ok((0..system.nodes.len()).map(held_by).collect())
}

async fn read_counters(system: &System) -> Result<Counters> {
    let cpu = system.nodes.iter().map(|node| node.process.cpu_time());
    Ok(Counters {
        cpu: cpu.collect::<Result<_>>()?,
        records: system.platform_records().await?,
    })
}

async fn change_regularly(
    system: &System,
    spec: &UpstreamSpec,
    length: Duration,
    slowest: &mut Duration,
) -> Result<()> {
    let started_at = Instant::now();
    let mut version = 1;
    while started_at.elapsed() + CHANGE_INTERVAL <= length + POLL_INTERVAL {
        let next = Instant::now() + CHANGE_INTERVAL;
        let edits = json!([{"put_upstream": upstream(spec, 8 + version as u32)}]);
        let sent_at = Instant::now();
        let token = format!("change-{version}");
        ensure!(
            system.change(version, &token, &edits).await?,
            "change {version} was not accepted"
        );
        version += 1;
        for node in &system.nodes {
            while !has_version(&system.status(node).await?, version)
                && sent_at.elapsed() < CHANGE_TIMEOUT
            {
                sleep(POLL_INTERVAL).await;
            }
        }
        *slowest = (*slowest).max(sent_at.elapsed());
        sleep_until(next.into()).await;
    }
    Ok(())
}

/// Returns true if the node that gave this status has `version` in force. Its own entry is the first one with
/// `silent_ms` of 0.
fn has_version(status: &Value, version: u64) -> bool {
    let nodes = status["nodes"].as_array().cloned().unwrap_or_default();
    let own = nodes.iter().find(|node| node["silent_ms"] == 0);
    own.is_some_and(|node| node["catalogue_version"] == version)
}

/// Returns the catalogue entry of the first upstream, `spec`, with the limit `running_requests`.
fn upstream(spec: &UpstreamSpec, running_requests: u32) -> Value {
    let document = json!({"tiers": [], "services": [{"id": ENGINES, "kind": "plain"}], "accounts": [],
        "upstreams": [{"id": "worker-0", "service": ENGINES, "owner": "measure", "class": ENGINES,
            "address": spec.address, "data_centre": "a", "group": "assistant-a-1",
            "limits": {"running_requests": running_requests}}]});
    let parsed = CatalogueDocument::parse(&document.to_string()).expect("the document is complete");
    let edits = parsed
        .edits_against(&Default::default())
        .expect("the document is consistent");
    let edits = serde_json::to_value(edits).expect("edits can be written");
    let put = edits.as_array().and_then(|edits| {
        let mut puts = edits.iter().filter_map(|edit| edit.get("put_upstream"));
        puts.next().cloned()
    });
    put.expect("an upstream is put")
}

fn shape() -> EngineShape {
    EngineShape {
        prefill_tokens_per_s: 20_000.0,
        decode_step: Duration::from_millis(10),
        decode_step_per_stream: Duration::from_micros(200),
        max_batch: 16,
        cache_blocks: 64,
        load_lag: Duration::from_secs(1),
    }
}
