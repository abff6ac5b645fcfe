//! A small deployment: nodes as processes of the program under review, with settings as `deploy/node.json` gives them.

use {
    crate::record::Record,
    serde_json::{Value, json},
    std::{
        io,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        process::Stdio,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        process::{Child, Command},
        time::{Instant, sleep, timeout},
    },
};

/// The program, as the deploy file names it.
const PROGRAM: &str = "target/release/dragonflystep";

const INGRESS_PORT: u16 = 9_000;
const READINESS_PORT: u16 = 9_001;
const DIRECTORY_PORT: u16 = 9_002;
const PEERS_PORT: u16 = 9_003;
const METRICS_PORT: u16 = 9_100;

/// Longest time for all nodes to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// `retry_slack` and `quota_slack` of the sheet.
const RETRY_SLACK: u32 = 56;
const QUOTA_SLACK: u32 = 190_000;

pub struct Node {
    pub name: String,
    pub ip: IpAddr,
    settings: PathBuf,
    pub log: PathBuf,
    child: Option<Child>,
    record: Rc<Record>,
    /// When the process was last started or killed.
    pub disturbed_at: Instant,
}

impl Node {
    pub fn ingress(&self) -> SocketAddr {
        SocketAddr::new(self.ip, INGRESS_PORT)
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(PROGRAM)
            .args(["edge", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        self.disturbed_at = Instant::now();
        self.record.line(&format!("node {} is started", self.name));
        Ok(())
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
            self.disturbed_at = Instant::now();
            self.record.line(&format!("node {} is killed", self.name));
        }
    }

    /// The owner of the services that the node used last, by its log.
    pub fn last_owner(&self) -> Option<String> {
        let log = std::fs::read_to_string(&self.log).ok()?;
        let records = log.lines().rev();
        let mut records = records.filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let change = records.find(|record| record["message"] == "owner changed")?;
        change["owner"].as_str().map(str::to_owned)
    }

    pub async fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, READINESS_PORT);
        let asking = dragonflystep_standins::get(address, "/dragonflystep/readyz");
        matches!(timeout(Duration::from_millis(500), asking).await, Ok(Ok(answer)) if answer.status == 200)
    }
}

/// Finds loopback addresses at which the ports of all nodes are free.
async fn free_prefix(nodes: usize) -> io::Result<[u8; 2]> {
    let process = std::process::id();
    for attempt in 0..200_u32 {
        let prefix = [
            30 + ((process + attempt) % 200) as u8,
            1 + ((process / 200 + attempt * 7) % 250) as u8,
        ];
        let mut is_free = true;
        for index in 0..nodes {
            for port in [
                INGRESS_PORT,
                READINESS_PORT,
                DIRECTORY_PORT,
                PEERS_PORT,
                METRICS_PORT,
            ] {
                let ip = node_ip(prefix, index);
                is_free &= TcpListener::bind(SocketAddr::new(ip, port)).await.is_ok();
            }
        }
        if is_free {
            return Ok(prefix);
        }
    }
    Err(io::Error::other("no free loopback addresses"))
}

fn node_ip(prefix: [u8; 2], index: usize) -> IpAddr {
    Ipv4Addr::new(127, prefix[0], prefix[1], 10 + index as u8).into()
}

/// Writes the settings of the nodes into `folder`, one for each address of the store; starts nothing.
pub async fn prepare(
    folder: &Path,
    stores: &[String],
    record: &Rc<Record>,
) -> io::Result<Vec<Node>> {
    let prefix = free_prefix(stores.len()).await?;
    let mut nodes = Vec::new();
    for (index, store) in stores.iter().enumerate() {
        let ip = node_ip(prefix, index);
        let address = |port| SocketAddr::new(ip, port).to_string();
        let name = format!("edge-hall-a-{}", index + 1);
        let settings = json!({
            "node": name, "data_centre": "hall-a", "regions": {"hall-a": "malardalen"},
            "listen": {"ingress": address(INGRESS_PORT), "readiness": address(READINESS_PORT),
                "directory": address(DIRECTORY_PORT), "peers": address(PEERS_PORT), "metrics": address(METRICS_PORT)},
            "first_start": false, "cpu_share": 0.25, "max_descriptors": 4100, "memory_mb": 260,
            "stop_grace_s": 8, "address_lifetime_limit_s": 5,
            "retries": {"ratio": 0.2, "slack": RETRY_SLACK, "window_s": 10},
            "quotas": {"window_s": 8, "tolerated_share": 0.1, "tolerated_units": QUOTA_SLACK},
            "platform": {"store": store}
        });
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())?;
        nodes.push(Node {
            log: folder.join(format!("{name}.log")),
            name,
            ip,
            settings: path,
            child: None,
            record: record.clone(),
            disturbed_at: Instant::now(),
        });
    }
    Ok(nodes)
}

/// Waits until all nodes are ready.
pub async fn wait_until_ready(nodes: &[Node]) -> io::Result<()> {
    let until = Instant::now() + START_TIMEOUT;
    for node in nodes {
        while !node.is_ready().await {
            if Instant::now() > until {
                return Err(io::Error::other(format!("{} is not ready", node.name)));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}
