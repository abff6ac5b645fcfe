//! A small deployment: a store, and nodes as processes, started with the command of the deploy file.

use {
    crate::{client::get_status, record::Record},
    dragonflystep_standins::StoreStandIn,
    rustix::process::{Pid, Signal, kill_process},
    serde_json::{Value, json},
    std::{
        error::Error,
        net::{Ipv4Addr, SocketAddr, TcpListener},
        path::Path,
        process::Stdio,
        rc::Rc,
        time::Duration,
    },
    tempfile::TempDir,
    tokio::{
        process::{Child, Command},
        task::spawn_local,
        time::{Instant, sleep},
    },
};

const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which workers write their entries again, as `heartbeat_ms` in the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// API key of the only tenant.
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// A node's process.
pub struct NodeProcess {
    pub name: String,
    pub ingress: SocketAddr,
    readiness: SocketAddr,
    child: Child,
}

impl NodeProcess {
    pub fn terminate(&self) -> Result<(), Box<dyn Error>> {
        let id = self.child.id().ok_or("the node has ended already")?;
        let pid = Pid::from_raw(id.cast_signed()).ok_or("no process id")?;
        Ok(kill_process(pid, Signal::TERM)?)
    }

    /// Waits for the end of the process.
    pub async fn wait(&mut self) -> std::io::Result<std::process::ExitStatus> {
        self.child.wait().await
    }
}

/// The nodes and the store. The nodes are killed when it is dropped.
pub struct System {
    pub nodes: Vec<NodeProcess>,
    _store: StoreStandIn,
    _directory: TempDir,
}

/// What a worker says of itself in the store.
pub struct Entry {
    pub id: String,
    pub service: &'static str,
    pub address: String,
    pub slots: u32,
}

impl System {
    /// Starts the store with a configuration and the entries of workers, and then `count` nodes; waits until all are ready.
    pub async fn start(
        program: &Path,
        record: &Record,
        count: usize,
        config: &Value,
        entries: Vec<Entry>,
    ) -> Result<Self, Box<dyn Error>> {
        let store = StoreStandIn::start().await?;
        store.put("op", "config", config);
        for entry in entries {
            spawn_local(beat(store.clone(), entry));
        }
        let directory = tempfile::tempdir()?;
        let ports = free_ports(count * 5)?;
        let mut nodes = Vec::new();
        for index in 0..count {
            let addresses = &ports[index * 5..index * 5 + 5];
            let zone = ZONES[index % ZONES.len()];
            let name = format!("edge-{zone}-{}", index / ZONES.len() + 1);
            let settings = settings(&name, zone, addresses, &store.address());
            let path = directory.path().join(format!("{name}.json"));
            std::fs::write(&path, settings.to_string())?;
            let log = std::fs::File::create(directory.path().join(format!("{name}.log")))?;
            let child = Command::new(program)
                .args(["edge", "--settings"])
                .arg(&path)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .kill_on_drop(true)
                .spawn()?;
            record.line(&format!("node {name} started, ingress {}", addresses[0]));
            nodes.push(NodeProcess {
                name,
                ingress: addresses[0],
                readiness: addresses[1],
                child,
            });
        }
        let until = Instant::now() + START_TIMEOUT;
        for node in &nodes {
            while get_status(node.readiness, "/dragonflystep/readyz").await != Some(200) {
                if Instant::now() > until {
                    return Err(format!("{} is not ready in time", node.name).into());
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        record.line("all nodes are ready");
        Ok(Self {
            nodes,
            _store: store,
            _directory: directory,
        })
    }
}

/// Writes a worker's entry again and again, as workers do.
async fn beat(store: StoreStandIn, entry: Entry) {
    for seq in 1_u64.. {
        let document = json!({"backend": entry.service, "address": entry.address, "zone": "hall-a",
            "version": "v1", "batch_slots": entry.slots, "state": "ready", "warmup_left_ms": 0, "seq": seq});
        store.put("servers", &entry.id, &document);
        sleep(HEARTBEAT).await;
    }
}

/// The settings that `deploy/node.json` gives for a machine of a small site.
fn settings(name: &str, zone: &str, addresses: &[SocketAddr], store: &str) -> Value {
    json!({
        "node": name,
        "data_centre": zone,
        "regions": {"hall-a": "malardalen", "hall-b": "malardalen", "hall-c": "malardalen"},
        "listen": {"ingress": addresses[0], "readiness": addresses[1], "directory": addresses[2],
            "peers": addresses[3], "metrics": addresses[4]},
        "first_start": true,
        "cpu_share": 0.25,
        "max_descriptors": 4100,
        "memory_mb": 260,
        "stop_grace_s": 8,
        "address_lifetime_limit_s": 5,
        "retries": {"ratio": 0.2, "slack": 56, "window_s": 10},
        "quotas": {"window_s": 8, "tolerated_share": 0.1, "tolerated_units": 190_000},
        "platform": {"store": store}
    })
}

/// Free ports of the loopback address. All are held until the last one is known, so that none comes twice.
fn free_ports(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect::<Result<_, _>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

/// A configuration of one service, with an engine if `engine` is an object, and these routes.
pub fn config(service: &str, engine: &Value, routes: &[Value]) -> Value {
    json!({"version": 7, "routes": routes,
        "services": [{"name": service, "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false,
            "engine": engine}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1, "unit": "tokens",
            "plain_tokens": 200, "rate_per_s": 100_000_000, "burst": 100_000_000}]})
}

/// A counter that several tasks share.
pub type Shared<T> = Rc<std::cell::RefCell<T>>;
