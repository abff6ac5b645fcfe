//! The process that owns the services is killed once while all workers fail part of their requests.
//!
//! Rule: BUDGET, "In some `retry_window_s`, a service gets more arrivals beyond the first of each request than `retry_ratio` x the
//! requests for it + `retry_slack`, summed over all machines."

use {
    crate::{
        Verdict,
        nodes::{Node, prepare, wait_until_ready},
        record::Record,
        workers::{Arrival, Workers},
    },
    dragonflystep_standins::{StoreStandIn, send},
    serde_json::{Value, json},
    std::{cell::RefCell, collections::HashSet, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        task::spawn_local,
        time::{Instant, sleep, sleep_until, timeout},
    },
};

/// `retry_ratio`, `retry_slack` and `retry_window_s` of the sheet.
const RATIO: f64 = 0.2;
const SLACK: f64 = 56.0;
const WINDOW: Duration = Duration::from_secs(10);

const NODES: usize = 3;
const WORKERS: usize = 12;
const REQUESTS_PER_S: f64 = 62.0;

/// From when to when the workers fail part of their requests, and which share.
const FAILING_S: (f64, f64) = (9.0, 21.0);
const FAILING_SHARE: f64 = 0.45;

/// When the owner is killed, and for how long it is down.
const KILL_S: f64 = 14.0;
const DOWN: Duration = Duration::from_millis(500);

const LENGTH_S: f64 = 24.0;

struct Clients {
    nodes: Vec<SocketAddr>,
    /// When each request was sent.
    sent: RefCell<Vec<Instant>>,
    record: Rc<Record>,
}

pub async fn run(record: Rc<Record>, has_trouble: bool) -> Verdict {
    let store = StoreStandIn::start().await?;
    store.put("op", "config", &configuration());
    let workers = Workers::new(
        "lm-servers",
        store.clone(),
        record.clone(),
        Duration::from_millis(50),
        "",
        Duration::ZERO,
    );
    for _ in 0..WORKERS {
        workers.start_one().await?;
    }
    let folder = tempfile::tempdir()?;
    let mut nodes = prepare(folder.path(), &vec![store.address(); NODES], &record).await?;
    for node in &mut nodes {
        node.start()?;
    }
    wait_until_ready(&nodes).await?;
    sleep(Duration::from_secs(4)).await;
    let begun = Instant::now();
    let at = move |at_s: f64| begun + Duration::from_secs_f64(at_s);
    record.line("the traffic begins");
    let clients = Rc::new(Clients {
        nodes: nodes.iter().map(Node::ingress).collect(),
        sent: RefCell::default(),
        record: record.clone(),
    });
    let traffic = spawn_local(send_all(clients.clone()));
    sleep_until(at(FAILING_S.0)).await;
    record.line("the workers begin to fail requests");
    workers.failing_share.set(FAILING_SHARE);
    sleep_until(at(KILL_S)).await;
    if has_trouble {
        let owner = nodes[0].last_owner().ok_or("no owner is known")?;
        let killed = nodes.iter_mut().find(|node| node.name == owner);
        let killed = killed.ok_or("the owner is no node")?;
        killed.kill().await;
        sleep(DOWN).await;
        killed.start()?;
    }
    sleep_until(at(FAILING_S.1)).await;
    record.line("the workers fail no requests any more");
    workers.failing_share.set(0.0);
    sleep_until(at(LENGTH_S)).await;
    traffic.abort();
    for node in &mut nodes {
        node.kill().await;
    }
    Ok(judge(
        &workers.arrivals.borrow(),
        &clients.sent.borrow(),
        &record,
    ))
}

/// Checks each window that begins with a repeated arrival.
fn judge(arrivals: &[Arrival], sent: &[Instant], record: &Record) -> bool {
    let mut known = HashSet::new();
    let repeats: Vec<Instant> = arrivals
        .iter()
        .filter(|arrival| !known.insert(&arrival.id))
        .map(|arrival| arrival.at)
        .collect();
    let count = |times: &[Instant], from: Instant| {
        let until = from + WINDOW;
        let within = times.iter().filter(|at| **at >= from && **at < until);
        within.count() as f64
    };
    let excess_of = |from: Instant| {
        let starts = [
            Some(from),
            from.checked_sub(WINDOW),
            from.checked_sub(WINDOW / 2),
        ];
        let requests = starts.into_iter().flatten().map(|start| count(sent, start));
        let requests = requests.fold(0.0, f64::max);
        let permitted = RATIO * requests + SLACK;
        let repeated = count(&repeats, from);
        (repeated - permitted, repeated, requests, permitted)
    };
    let worst = repeats
        .iter()
        .map(|from| excess_of(*from))
        .max_by(|a, b| a.0.total_cmp(&b.0));
    let Some((excess, repeated, requests, permitted)) = worst else {
        record.line("no request was repeated");
        return true;
    };
    record.line(&format!(
        "worst window of {} s: {repeated} arrivals beyond the first of their request, for {requests} requests; allowed {permitted:.1}",
        WINDOW.as_secs()
    ));
    excess <= 0.0
}

async fn send_all(clients: Rc<Clients>) {
    let begun = Instant::now();
    for number in 0_usize.. {
        spawn_local(send_with_retry(clients.clone(), number));
        sleep_until(begun + Duration::from_secs_f64((number + 1) as f64 / REQUESTS_PER_S)).await;
    }
}

/// A client that repeats a failed request once, as the sheet says.
async fn send_with_retry(clients: Rc<Clients>, number: usize) {
    for attempt in 0..2 {
        let node = clients.nodes[(number + attempt) % NODES];
        let id = format!("r{number}-{attempt}");
        let body = format!("question {number}");
        let bytes = format!(
            "POST /question/ HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer key-1\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        clients.sent.borrow_mut().push(Instant::now());
        clients.record.line(&format!("{id} is sent to {node}"));
        let answer = timeout(Duration::from_secs(4), send(node, bytes.as_bytes())).await;
        let status = answer.ok().and_then(Result::ok).map_or(0, |it| it.status);
        clients.record.line(&format!("{id} is answered: {status}"));
        if status == 200 {
            return;
        }
    }
}

/// One route of requests that may be repeated at a second worker.
fn configuration() -> Value {
    json!({"version": 7,
        "routes": [{"name": "question", "host": "shop.example", "prefix": "/question/", "type": "idempotent", "timeout_ms": 2000,
            "slo_ms": 1000, "priority": 1, "backend": "lm-servers", "max_attempts": 2, "anonymous": false, "resumable": false}],
        "services": [{"name": "lm-servers", "health_path": "/healthz", "max_conns": 370}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "fitters", "api_keys": ["key-1"], "priority": 1, "unit": "tokens", "plain_tokens": 200,
            "rate_per_s": 1e6, "burst": 1e6}]})
}
