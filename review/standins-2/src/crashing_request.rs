//! A request that crashes the workers that run it comes again and again, beside a disruption that makes the nodes forget it.
//!
//! Rule: BUDGET, "A request that crashes the workers that run it reaches workers in more than three retries, sent by machines in
//! touch later than `contact_ms` after it has crashed the third."

use {
    crate::{
        Verdict,
        nodes::{Node, prepare, wait_until_ready},
        record::Record,
        store_proxy::StoreProxy,
        workers::Workers,
    },
    dragonflystep_standins::{StoreStandIn, send},
    serde_json::json,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        task::spawn_local,
        time::{Instant, sleep, sleep_until, timeout},
    },
};

/// Retries that the rule allows.
const MAX_RETRIES: usize = 3;

/// Time for which killed processes are down.
const DOWN: Duration = Duration::from_millis(500);

const NODES: usize = 3;
const CRASHING_PATH: &str = "/ledger/bad";
const SOUND_PATH: &str = "/ledger/sound";

/// What happens beside the request.
#[derive(Clone, Copy)]
pub struct Plan {
    /// The service, by its name on the sheet.
    pub service: &'static str,
    /// `contact_ms` of the sheet.
    pub contact: Duration,
    /// Time between two tries of the request that crashes workers: at first, and after the third.
    pub gaps: (Duration, Duration),
    /// Time for which a worker works on it before it crashes.
    pub crash_after: Duration,
    /// Whether the request crashes workers also without the disruption.
    pub crashes_always: bool,
    pub workers: usize,
    /// Time for which a worker works on a sound request, and how many of these come in a second.
    pub work: Duration,
    pub sound_per_s: f64,
    /// When all processes are killed, in seconds from the first try.
    pub kills_s: &'static [f64],
    /// When workers crash, from when to when and at which interval in seconds, and how many at once.
    pub worker_crashes: Option<(f64, f64, f64, usize)>,
    /// From when to when the store turns the owner of the services away, in seconds from the first try.
    pub owner_turned_away_s: Option<(f64, f64)>,
    pub length_s: f64,
}

/// All processes of the system are killed three times.
pub const ALL_KILLED: Plan = Plan {
    service: "shop-app",
    contact: Duration::from_millis(3_000),
    gaps: (Duration::from_secs(2), Duration::from_millis(5_100)),
    crash_after: Duration::ZERO,
    crashes_always: true,
    workers: 4,
    work: Duration::from_millis(20),
    sound_per_s: 5.0,
    kills_s: &[20.4, 30.6, 40.8],
    worker_crashes: None,
    owner_turned_away_s: None,
    length_s: 48.0,
};

/// A quarter of the workers crash at once, again and again.
pub const WORKERS_CRASH: Plan = Plan {
    service: "lm-servers",
    contact: Duration::from_millis(4_000),
    gaps: (Duration::from_secs(2), Duration::from_millis(5_100)),
    crash_after: Duration::ZERO,
    crashes_always: true,
    workers: 90,
    work: Duration::from_millis(600),
    sound_per_s: 195.0,
    kills_s: &[],
    worker_crashes: Some((8.0, 45.0, 5.0, 22)),
    owner_turned_away_s: None,
    length_s: 52.0,
};

/// The store turns the owner away while the request crashes its third worker; later all processes are killed once.
pub const OWNER_TURNED_AWAY: Plan = Plan {
    service: "shop-app",
    contact: Duration::from_millis(3_000),
    gaps: (Duration::from_secs(2), Duration::from_millis(5_100)),
    crash_after: Duration::ZERO,
    crashes_always: true,
    workers: 4,
    work: Duration::from_millis(20),
    sound_per_s: 5.0,
    kills_s: &[20.4],
    worker_crashes: None,
    owner_turned_away_s: Some((3.0, 12.0)),
    length_s: 38.0,
};

/// The request works for a while before it crashes its worker, and comes again four times a second. Without the disruption it
/// is sound.
pub const LATE_CRASH: Plan = Plan {
    service: "shop-app",
    contact: Duration::from_millis(3_000),
    gaps: (Duration::from_millis(250), Duration::from_millis(250)),
    crash_after: Duration::from_millis(1_900),
    crashes_always: false,
    workers: 12,
    work: Duration::from_millis(20),
    sound_per_s: 20.0,
    kills_s: &[],
    worker_crashes: None,
    owner_turned_away_s: None,
    length_s: 24.0,
};

pub async fn run(record: Rc<Record>, plan: Plan, has_trouble: bool) -> Verdict {
    let crashes = has_trouble || plan.crashes_always;
    let store = StoreStandIn::start().await?;
    store.put("op", "config", &configuration(plan.service));
    let workers = Workers::new(
        plan.service,
        store.clone(),
        record.clone(),
        plan.work,
        if crashes { CRASHING_PATH } else { "" },
        plan.crash_after,
    );
    for _ in 0..plan.workers {
        workers.start_one().await?;
    }
    let mut proxies = Vec::new();
    for _ in 0..NODES {
        proxies.push(StoreProxy::start(store.address()).await?);
    }
    let addresses: Vec<String> = proxies.iter().map(StoreProxy::address).collect();
    let folder = tempfile::tempdir()?;
    let mut nodes = prepare(folder.path(), &addresses, &record).await?;
    for node in &mut nodes {
        node.start()?;
    }
    wait_until_ready(&nodes).await?;
    let ingress: Vec<SocketAddr> = nodes.iter().map(Node::ingress).collect();
    let unanswered = Rc::new(Cell::new(0));
    let sound = spawn_local(send_sound(
        ingress.clone(),
        plan.sound_per_s,
        unanswered.clone(),
    ));
    sleep(plan.contact + Duration::from_secs(1)).await;
    let begun = Instant::now();
    let at = move |at_s: f64| begun + Duration::from_secs_f64(at_s);
    record.line("the tries begin");
    if let (true, Some((from_s, to_s))) = (has_trouble, plan.owner_turned_away_s) {
        let owner = nodes[0].last_owner().ok_or("no owner is known")?;
        let index = nodes.iter().position(|node| node.name == owner);
        let proxy = proxies[index.ok_or("the owner is no node")?].clone();
        spawn_local(turn_away(
            proxy,
            owner,
            at(from_s),
            at(to_s),
            record.clone(),
        ));
    }
    if let (true, Some((from_s, to_s, gap_s, count))) = (has_trouble, plan.worker_crashes) {
        let workers = workers.clone();
        spawn_local(async move {
            let mut next_s = from_s;
            while next_s < to_s {
                sleep_until(at(next_s)).await;
                workers.crash(count);
                next_s += gap_s;
            }
        });
    }
    // Whether the node that each try was sent to was in touch.
    let tries: Rc<RefCell<HashMap<String, bool>>> = Rc::default();
    let mut kills: Vec<Instant> = plan.kills_s.iter().map(|at_s| at(*at_s)).collect();
    kills.retain(|_| has_trouble);
    kills.reverse();
    let mut next_try = begun;
    let mut number = 0;
    while begun.elapsed().as_secs_f64() < plan.length_s {
        let next_kill = kills.last().copied();
        let next = next_kill.map_or(next_try, |kill| kill.min(next_try));
        sleep_until(next).await;
        if Some(next) == next_kill {
            kills.pop();
            for node in &mut nodes {
                node.kill().await;
            }
            sleep(DOWN).await;
            for node in &mut nodes {
                node.start()?;
            }
            continue;
        }
        number += 1;
        next_try += if number < 3 { plan.gaps.0 } else { plan.gaps.1 };
        let node = &nodes[number % NODES];
        let is_in_touch = node.disturbed_at.elapsed() > plan.contact;
        let id = format!("bad-{number}");
        tries.borrow_mut().insert(id.clone(), is_in_touch);
        record.line(&format!(
            "try {id} is sent to {}, in touch: {is_in_touch}",
            node.name
        ));
        spawn_local(send_try(node.ingress(), id, record.clone()));
    }
    sound.abort();
    for node in &mut nodes {
        node.kill().await;
    }
    record.line(&format!(
        "sound requests that ended without a 200: {}",
        unanswered.get()
    ));
    if let Ok(path) = std::env::var("KEEP_LOGS") {
        for node in &nodes {
            std::fs::copy(&node.log, format!("{path}/{}.log", node.name))?;
        }
    }
    if !crashes {
        record.line("the request crashed no worker; the rule says nothing of it");
        return Ok(workers.content_crashes.borrow().is_empty());
    }
    judge(&workers, &tries.borrow(), plan.contact, &record)
}

/// Whether the rule held.
fn judge(
    workers: &Workers,
    tries: &HashMap<String, bool>,
    contact: Duration,
    record: &Record,
) -> Verdict {
    let crashes = workers.content_crashes.borrow();
    let third = crashes
        .get(2)
        .ok_or("the request crashed fewer than three workers")?;
    let arrivals = workers.arrivals.borrow();
    let late = arrivals.iter().filter(|arrival| {
        arrival.path == CRASHING_PATH
            && arrival.at > *third + contact
            && tries.get(&arrival.id) == Some(&true)
    });
    let late: Vec<&str> = late.map(|arrival| arrival.id.as_str()).collect();
    record.line(&format!(
        "the request crashed {} workers in all; retries by machines in touch that reached workers later than {} ms after the third crash: {} ({}), allowed {MAX_RETRIES}",
        crashes.len(),
        contact.as_millis(),
        late.len(),
        late.join(" ")
    ));
    Ok(late.len() <= MAX_RETRIES)
}

async fn turn_away(
    proxy: StoreProxy,
    owner: String,
    from: Instant,
    to: Instant,
    record: Rc<Record>,
) {
    sleep_until(from).await;
    proxy.turn_away(true);
    record.line(&format!("the store turns {owner} away"));
    sleep_until(to).await;
    proxy.turn_away(false);
    record.line(&format!("the store serves {owner} again"));
}

async fn send_try(node: SocketAddr, id: String, record: Rc<Record>) {
    let bytes = request(CRASHING_PATH, &id, "always the same");
    let answer = timeout(Duration::from_secs(4), send(node, &bytes)).await;
    let text = match answer {
        Ok(Ok(answer)) => answer.status.to_string(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer in time".to_owned(),
    };
    record.line(&format!("try {id} is answered: {text}"));
}

/// Sends sound requests through all nodes.
async fn send_sound(nodes: Vec<SocketAddr>, per_s: f64, unanswered: Rc<Cell<u32>>) {
    for number in 0_usize.. {
        let node = nodes[number % nodes.len()];
        let unanswered = unanswered.clone();
        spawn_local(async move {
            let id = format!("sound-{number}");
            let bytes = request(SOUND_PATH, &id, &format!("order {number}"));
            let answer = timeout(Duration::from_secs(4), send(node, &bytes)).await;
            let status = answer.ok().and_then(Result::ok).map_or(0, |it| it.status);
            unanswered.set(unanswered.get() + u32::from(status != 200));
        });
        sleep(Duration::from_secs_f64(1.0 / per_s)).await;
    }
}

fn request(path: &str, id: &str, body: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer key-1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// One route of requests that may not be repeated, as `winding-data` and `test-report-read` of the sheets.
fn configuration(service: &str) -> serde_json::Value {
    json!({"version": 7,
        "routes": [{"name": "ledger", "host": "shop.example", "prefix": "/ledger/", "type": "non_idempotent", "timeout_ms": 2000,
            "slo_ms": 300, "priority": 1, "backend": service, "max_attempts": 1, "anonymous": false, "resumable": false}],
        "services": [{"name": service, "health_path": "/healthz", "max_conns": 110}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "fitters", "api_keys": ["key-1"], "priority": 1, "unit": "tokens", "plain_tokens": 200,
            "rate_per_s": 1e6, "burst": 1e6}]})
}
