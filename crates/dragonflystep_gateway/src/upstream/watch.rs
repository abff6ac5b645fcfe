//! Reading of the load and cache reports of upstreams.

use {
    super::client,
    crate::{gateway::Shared, registry::lock},
    dragonflystep_core::{
        catalogue::ServiceKind,
        event::{Event, UpstreamEvent},
        ids::{BlockHash, UpstreamId},
    },
    reqwest::{Response, StatusCode},
    serde::{Deserialize, de::DeserializeOwned},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        task::AbortHandle,
        time::{MissedTickBehavior, interval, timeout},
    },
};

/// Largest report that is read; a longer one counts as a failed read.
const MAX_REPORT_BYTES: usize = 4 * 1024 * 1024;

/// The tasks that read reports, by upstream.
#[derive(Default)]
pub(crate) struct Watches {
    tasks: Mutex<HashMap<UpstreamId, AbortHandle>>,
}

impl Watches {
    /// Ends all of them.
    pub(crate) fn stop(&self) {
        for (_, task) in lock(&self.tasks).drain() {
            task.abort();
        }
    }
}

/// What is read of one upstream.
struct Watched {
    upstream: UpstreamId,
    address: Arc<str>,
    kind: ServiceKind,
    /// Number of the last cache report that was told.
    sequence: u64,
    /// A plain service without a load report is not asked again.
    reports_load: bool,
}

#[derive(Deserialize)]
struct LoadReport {
    running: u32,
    queued: u32,
    sampled_ms_ago: u64,
}

#[derive(Deserialize)]
struct CacheReports {
    events: Vec<CacheReport>,
}

#[derive(Deserialize)]
struct CacheReport {
    sequence: u64,
    #[serde(default)]
    stored: Vec<String>,
    #[serde(default)]
    evicted: Vec<String>,
}

/// A report could not be read.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("the upstream's address is wrong")]
    Address(#[from] client::AddressError),
    #[error("the upstream can't be reached")]
    Call(#[from] reqwest::Error),
    #[error("the report is no JSON of the agreed form")]
    Json(#[from] serde_json::Error),
    #[error("status {0}")]
    Status(u16),
    #[error("the report is longer than {MAX_REPORT_BYTES} bytes")]
    TooLong,
    #[error("a block hash is not hexadecimal")]
    Hash(#[from] std::num::ParseIntError),
}

/// Starts to read reports of an upstream; an earlier start for it ends.
pub(crate) fn start(
    shared: &Arc<Shared>,
    upstream: &UpstreamId,
    address: Arc<str>,
    kind: ServiceKind,
) {
    let watched = Watched {
        upstream: upstream.clone(),
        address,
        kind,
        sequence: 0,
        reports_load: true,
    };
    let task = shared.runtime.spawn(run(shared.clone(), watched));
    let earlier = lock(&shared.watches.tasks).insert(upstream.clone(), task.abort_handle());
    if let Some(earlier) = earlier {
        earlier.abort();
    }
}

/// Stops reading reports of an upstream.
pub(crate) fn stop(shared: &Shared, upstream: &UpstreamId) {
    if let Some(task) = lock(&shared.watches.tasks).remove(upstream) {
        task.abort();
    }
}

async fn run(shared: Arc<Shared>, mut watched: Watched) {
    // An interval of zero would be a busy loop, and the runtime refuses it.
    let pause = shared.settings.watch_interval.max(Duration::from_millis(1));
    let mut ticks = interval(pause);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let round = read_round(&shared, &mut watched);
        let failed = !matches!(timeout(shared.timeouts.watch, round).await, Ok(Ok(())));
        if failed {
            let upstream = watched.upstream.clone();
            tell(&shared, UpstreamEvent::WatchFailed { upstream });
        }
    }
}

async fn read_round(shared: &Shared, watched: &mut Watched) -> Result<(), ReadError> {
    if watched.reports_load {
        read_load(shared, watched).await?;
    }
    if watched.kind == ServiceKind::Engine {
        read_cache(shared, watched).await?;
    }
    Ok(())
}

async fn read_load(shared: &Shared, watched: &mut Watched) -> Result<(), ReadError> {
    let report: LoadReport = match read(shared, &watched.address, "v1/load").await {
        Err(ReadError::Status(status))
            if status == StatusCode::NOT_FOUND.as_u16() && watched.kind == ServiceKind::Plain =>
        {
            watched.reports_load = false;
            return Ok(());
        }
        other => other?,
    };
    tell(
        shared,
        UpstreamEvent::LoadReported {
            upstream: watched.upstream.clone(),
            running: report.running,
            queued: report.queued,
            age: Duration::from_millis(report.sampled_ms_ago),
        },
    );
    Ok(())
}

async fn read_cache(shared: &Shared, watched: &mut Watched) -> Result<(), ReadError> {
    let path = format!("v1/cache-events?after={}", watched.sequence);
    let reports: CacheReports = read(shared, &watched.address, &path).await?;
    for report in reports.events {
        // An event that was told before is not told again; gaps are left for the reducer to see.
        if report.sequence <= watched.sequence {
            continue;
        }
        let event = UpstreamEvent::CacheReported {
            upstream: watched.upstream.clone(),
            sequence: report.sequence,
            stored: hashes(&report.stored)?,
            evicted: hashes(&report.evicted)?,
        };
        watched.sequence = report.sequence;
        tell(shared, event);
    }
    Ok(())
}

async fn read<T: DeserializeOwned>(
    shared: &Shared,
    address: &str,
    path: &str,
) -> Result<T, ReadError> {
    let url = client::url(address, path)?;
    let mut response = shared.clients.kept.get(url).send().await?;
    if response.status() != StatusCode::OK {
        return Err(ReadError::Status(response.status().as_u16()));
    }
    let body = read_body(&mut response).await?;
    Ok(serde_json::from_slice(&body)?)
}

async fn read_body(response: &mut Response) -> Result<Vec<u8>, ReadError> {
    let mut body = Vec::new();
    while let Some(piece) = response.chunk().await? {
        if body.len() + piece.len() > MAX_REPORT_BYTES {
            return Err(ReadError::TooLong);
        }
        body.extend_from_slice(&piece);
    }
    Ok(body)
}

fn hashes(texts: &[String]) -> Result<Vec<BlockHash>, ReadError> {
    let parsed: Result<_, _> = texts
        .iter()
        .map(|text| BlockHash::from_str_radix(text, 16))
        .collect();
    Ok(parsed?)
}

fn tell(shared: &Shared, event: UpstreamEvent) {
    let _ = shared.events.send(Event::Upstream(event));
}
