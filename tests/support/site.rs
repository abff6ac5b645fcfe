//! Starts a platform stand-in, upstream stand-ins and nodes, each as a separate process.

use {
    super::{AdminClient, CONDITION_TIMEOUT, Control, Process, loopback_address, wait_for},
    dragonflystep::fakes::caller::{CallerSettings, LoadClient, TrafficSettings},
    serde_json::{Value, json},
    sha2::{Digest, Sha256},
    std::{
        collections::BTreeSet,
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
    tempfile::TempDir,
    tokio::sync::{Mutex, MutexGuard},
};

/// Id of the service that the engines serve.
pub const MODEL_SERVICE: &str = "assistant";
/// Name of the model that the engines serve.
pub const MODEL: &str = "proof-model";
/// Id of the service that the plain upstreams serve.
pub const PLAIN_SERVICE: &str = "ledger";
/// API key of the client account.
pub const ACCOUNT_KEY: &str = "proof-account-key-1";
/// Administration key that permits reading only.
pub const READ_KEY: &str = "proof-read-key-0001";
/// Administration key that permits changes.
pub const EDIT_KEY: &str = "proof-edit-key-0001";
const PLATFORM_KEY: &str = "proof-platform-key-1";
const MESH_KEY: &str = "proof-mesh-key-0001";

/// Lets one site run at a time, so that tests don't compete for ports and CPU time or distort each other's timing.
static SITE_LOCK: Mutex<()> = Mutex::const_new(());

/// Size and limits of a site.
#[derive(Debug, Clone)]
pub struct SiteSettings {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of data centres, at most four. Nodes are assigned round-robin; all upstreams are in the first.
    pub data_centres: usize,
    /// Number of engine stand-ins.
    pub engines: usize,
    /// Number of engines in a group.
    pub engines_per_group: usize,
    /// Number of plain upstreams.
    pub services: usize,
    /// Limit of concurrently running requests per upstream.
    pub running_requests: u32,
    /// Duration of an engine's decode step, in milliseconds.
    pub decode_step_ms: u32,
    /// Duration of a call to a plain upstream, in milliseconds.
    pub latency_ms: u32,
    /// Value of the field `tuning` in the settings of every node.
    pub tuning: Value,
}

impl Default for SiteSettings {
    fn default() -> Self {
        Self {
            nodes: 3,
            data_centres: 1,
            engines: 4,
            engines_per_group: 2,
            services: 2,
            running_requests: 8,
            decode_step_ms: 5,
            latency_ms: 20,
            tuning: json!({}),
        }
    }
}

/// A stand-in for the platform or an upstream, running as a process.
#[derive(Debug)]
pub struct StandIn {
    /// Handle that kills the process when dropped.
    pub process: Process,
    /// Address on which it serves requests.
    pub address: SocketAddr,
    /// Client for injecting faults and reading records.
    pub control: Control,
}

/// A node running as a process.
#[derive(Debug)]
pub struct NodeProcess {
    /// Name in the node's settings, `entry-1` and up.
    pub name: String,
    /// Handle of the current process; a restart replaces it.
    pub process: Process,
    /// Address on which it serves callers.
    pub caller_address: SocketAddr,
    /// Client for the node's administration API.
    pub admin: AdminClient,
    settings: PathBuf,
    log: PathBuf,
}

impl NodeProcess {
    /// Starts the node again with the same settings. The previous process must have ended and freed its ports.
    pub fn restart(&mut self) {
        self.process = start_node(&self.settings, &self.log);
    }

    /// Path of the node's settings file.
    pub fn settings_path(&self) -> &PathBuf {
        &self.settings
    }
}

/// All processes and files of one test. Dropping it ends the processes and removes the files.
#[derive(Debug)]
pub struct Site {
    /// The nodes, in the order of their numbers.
    pub nodes: Vec<NodeProcess>,
    /// Engine stand-ins; `engine-0` in the catalogue is the first.
    pub engines: Vec<StandIn>,
    /// Plain upstreams; `ledger-0` in the catalogue is the first.
    pub services: Vec<StandIn>,
    /// Stand-in for the platform.
    pub platform: StandIn,
    /// Settings that the site was started with.
    pub settings: SiteSettings,
    /// Settings and logs of the processes; kept when `DRAGONFLYSTEP_KEEP_LOGS` is set.
    pub directory: TempDir,
    _site_guard: MutexGuard<'static, ()>,
}

impl Site {
    /// Starts all processes, applies the catalogue and waits until every group has a broker.
    pub async fn start(settings: SiteSettings) -> Self {
        let site = Self::start_without_catalogue(settings).await;
        site.nodes[0].admin.apply(&site.catalogue()).await;
        site.wait_until_ready().await;
        site
    }

    /// Starts all processes without applying a catalogue.
    pub async fn start_without_catalogue(settings: SiteSettings) -> Self {
        let site_guard = SITE_LOCK.lock().await;
        let mut directory = TempDir::new().expect("a temporary directory can be created");
        if std::env::var_os("DRAGONFLYSTEP_KEEP_LOGS").is_some() {
            directory.disable_cleanup(true);
        }
        let platform = start_stand_in(&directory, "platform", &["platform", "--key", PLATFORM_KEY]);
        let mut site = Self {
            nodes: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            platform,
            settings,
            directory,
            _site_guard: site_guard,
        };
        site.start_upstreams();
        for number in 0..site.settings.nodes {
            site.add_node(number);
        }
        site
    }

    fn start_upstreams(&mut self) {
        let step = self.settings.decode_step_ms.to_string();
        let latency = self.settings.latency_ms.to_string();
        for number in 0..self.settings.engines {
            let arguments = ["engine", "--decode-step-ms", &step, "--max-batch", "64"];
            let engine = start_stand_in(&self.directory, &format!("engine-{number}"), &arguments);
            self.engines.push(engine);
        }
        for number in 0..self.settings.services {
            let arguments = ["service", "--latency-ms", &latency];
            let service = start_stand_in(&self.directory, &format!("ledger-{number}"), &arguments);
            self.services.push(service);
        }
    }

    fn add_node(&mut self, number: usize) {
        let name = format!("entry-{}", number + 1);
        let (caller_address, admin_address) = (loopback_address(), loopback_address());
        let settings = json!({
            "node": name,
            "data_centre": self.data_centre_of(number),
            "vm": format!("vm-{name}"),
            "caller_address": caller_address.to_string(),
            "mesh_address": loopback_address().to_string(),
            "admin_address": admin_address.to_string(),
            "platform": {"address": self.platform.address.to_string(), "key": PLATFORM_KEY},
            "mesh_key": MESH_KEY,
            "admin_keys": {"read": READ_KEY, "edit": EDIT_KEY},
            "log": {"level": "debug"},
            "tuning": self.settings.tuning,
        });
        let path = self.directory.path().join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).expect("the test directory is writable");
        let log = self.directory.path().join(format!("{name}.log"));
        self.nodes.push(NodeProcess {
            name,
            process: start_node(&path, &log),
            caller_address,
            admin: AdminClient::new(admin_address),
            settings: path,
            log,
        });
    }

    /// Returns the data centre of the node with the given index.
    pub fn data_centre_of(&self, node: usize) -> String {
        const NAMES: [&str; 4] = ["a", "b", "c", "d"];
        NAMES[node % self.settings.data_centres].to_owned()
    }

    /// Returns the catalogue document that lists all upstreams of this site.
    pub fn catalogue(&self) -> Value {
        let tier = |id: &str, rank: u8| {
            json!({"id": id, "rank": rank, "default_deadline_ms": 15_000,
                "objective": {"first_token_ms": 1_000, "token_gap_ms": 45, "good_share": 0.95}})
        };
        let engines = self.engines.iter().enumerate().map(|(number, engine)| {
            let mut upstream = self.upstream(&format!("engine-{number}"), MODEL_SERVICE, engine);
            upstream["group"] = self.group_of(number).into();
            upstream
        });
        let services = self.services.iter().enumerate();
        let services = services.map(|(number, service)| {
            self.upstream(&format!("ledger-{number}"), PLAIN_SERVICE, service)
        });
        json!({
            "tiers": [tier("urgent", 0), tier("routine", 1)],
            "services": [{"id": MODEL_SERVICE, "kind": "engine", "model": MODEL},
                {"id": PLAIN_SERVICE, "kind": "plain"}],
            "upstreams": engines.chain(services).collect::<Vec<_>>(),
            "accounts": [{"id": "works", "key_sha256": hex::encode(Sha256::digest(ACCOUNT_KEY))}],
        })
    }

    fn upstream(&self, id: &str, service: &str, stand_in: &StandIn) -> Value {
        json!({"id": id, "service": service, "owner": "proofs", "class": service,
            "address": stand_in.address.to_string(), "data_centre": "a", "vm": format!("vm-{id}"),
            "limits": {"running_requests": self.settings.running_requests}, "checks_fencing": true})
    }

    /// Waits until every node has a catalogue in force and knows a holder of every group.
    pub async fn wait_until_ready(&self) {
        let mut groups: BTreeSet<String> = (0..self.settings.engines)
            .map(|number| self.group_of(number))
            .collect();
        groups.insert(format!("{PLAIN_SERVICE}-a-1"));
        for node in &self.nodes {
            wait_for(
                "every node knows a holder of each group",
                CONDITION_TIMEOUT,
                || async {
                    node.process.assert_running();
                    let holders = node.admin.holders().await;
                    let held = |group: &String| {
                        let mut holders = holders.iter();
                        holders.any(|(name, holder, _)| name == group && holder.is_some())
                    };
                    let in_force = node.admin.version().await? > 0;
                    (in_force && groups.iter().all(held)).then_some(())
                },
            )
            .await;
        }
    }

    /// Returns the name of the group that the engine with the given index belongs to.
    fn group_of(&self, engine: usize) -> String {
        let group = 1 + engine / self.settings.engines_per_group;
        format!("{MODEL_SERVICE}-a-{group}")
    }

    /// Returns the index of the node that holds `group` and its epoch, as known to the node with index `asked`.
    pub async fn holder(&self, asked: usize, group: &str) -> Option<(usize, u64)> {
        let holders = self.nodes[asked].admin.holders().await;
        let (_, holder, epoch) = holders.into_iter().find(|(name, ..)| name == group)?;
        let holder = holder?;
        let index = self.nodes.iter().position(|node| node.name == holder)?;
        Some((index, epoch))
    }

    /// Returns the settings of a load client that sends `traffic` to all nodes of this site.
    pub fn caller_settings(&self, traffic: TrafficSettings) -> CallerSettings {
        let addresses = self
            .nodes
            .iter()
            .map(|node| node.caller_address.to_string());
        let mut settings = CallerSettings::new(addresses.collect(), traffic);
        settings.model_service = MODEL_SERVICE.to_owned();
        settings.model = MODEL.to_owned();
        settings.plain_service = PLAIN_SERVICE.to_owned();
        settings
    }

    /// Copies the settings and logs of all processes into the directory `into`, which outlives the site.
    pub fn copy_logs(&self, into: &Path) {
        fs::create_dir_all(into).expect("the directory for logs can be created");
        let files = fs::read_dir(self.directory.path()).expect("the test directory is readable");
        for file in files.flatten() {
            fs::copy(file.path(), into.join(file.file_name())).expect("a log can be copied");
        }
    }

    /// Creates a load client that sends `traffic` to all nodes of this site.
    pub fn caller(&self, traffic: TrafficSettings) -> LoadClient {
        LoadClient::new(self.caller_settings(traffic))
    }
}

fn start_stand_in(directory: &TempDir, name: &str, arguments: &[&str]) -> StandIn {
    let listen = loopback_address().to_string();
    let arguments = [&["fake"], arguments, &["--listen", &listen]].concat();
    let log = directory.path().join(format!("{name}.log"));
    let mut process = Process::start(&arguments, &log);
    let [address, control] = process.read_addresses();
    StandIn {
        process,
        address,
        control: Control::new(control),
    }
}

fn start_node(settings: &Path, log: &Path) -> Process {
    let settings = settings
        .to_str()
        .expect("the path of a temporary file is valid UTF-8");
    Process::start(&["node", "--settings", settings], log)
}
