//! Starts and stops the demo's nodes and stand-ins.

use {
    super::super::{Failure, admin_client::AdminClient},
    dragonflystep::{
        config::{CatalogueDocument, NodeSettings},
        core::catalogue::Catalogue,
        fakes::{
            engine::{EngineFake, EngineFakeSettings},
            engine_model::EngineShape,
            platform::PlatformFake,
            service::{ServiceFake, ServiceFakeSettings},
        },
        node::Node,
        report::{BurnReport, text},
    },
    eyre::eyre,
    serde_json::{Value, json},
    sha2::{Digest, Sha256},
    std::{
        net::{SocketAddr, TcpListener},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Number of scheduler nodes.
pub const NODES: usize = 3;
/// Number of model engines; every second one is half as fast.
pub const ENGINES: usize = 4;
/// Number of upstreams of the plain service.
pub const PLAIN_UPSTREAMS: usize = 2;
/// Name of the service that the engines provide.
pub const MODEL_SERVICE: &str = "assistant";
/// Model that the engines serve.
pub const MODEL: &str = "demo-model";
/// Name of the plain service.
pub const PLAIN_SERVICE: &str = "ledger";
/// Client accounts, each with its share of the traffic.
pub const ACCOUNTS: [(&str, f64); 3] = [("works", 0.6), ("bench", 0.3), ("office", 0.1)];

const PLATFORM_KEY: &str = "demo-platform-key";
const MESH_KEY: &str = "demo-mesh-key-0001";
const READ_KEY: &str = "demo-read-key-0001";
const EDIT_KEY: &str = "demo-edit-key-0001";
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_INTERVAL: Duration = Duration::from_millis(100);

/// The running nodes and stand-ins of the demo.
pub struct System {
    nodes: Vec<Node>,
    engines: Vec<EngineFake>,
    services: Vec<ServiceFake>,
    platform: PlatformFake,
}

/// Returns the API key of a client account.
pub fn account_key(name: &str) -> String {
    format!("demo-key-of-{name}")
}

impl System {
    /// Starts the stand-ins and nodes, applies the catalogue, and waits until every group has a broker.
    pub async fn start() -> Result<Self, Failure> {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformFake::start(loopback, PLATFORM_KEY).await?;
        let mut engines = Vec::new();
        for number in 0..ENGINES {
            engines.push(EngineFake::start(loopback, engine_settings(number)).await?);
        }
        let mut services = Vec::new();
        for _ in 0..PLAIN_UPSTREAMS {
            services.push(ServiceFake::start(loopback, service_settings()).await?);
        }
        let mut nodes = Vec::new();
        for number in 0..NODES {
            let settings = node_settings(number, platform.address())?;
            nodes.push(Node::start(&settings).await?);
        }
        let system = Self {
            nodes,
            engines,
            services,
            platform,
        };
        system.apply_catalogue().await?;
        system.wait_for_brokers().await?;
        Ok(system)
    }

    /// Addresses at which the nodes accept requests of callers.
    pub fn caller_addresses(&self) -> Vec<String> {
        self.nodes
            .iter()
            .map(|node| node.caller_address().to_string())
            .collect()
    }

    /// Stand-ins for the model engines.
    pub fn engines(&self) -> &[EngineFake] {
        &self.engines
    }

    /// Stand-ins for the upstreams of the plain service.
    pub fn services(&self) -> &[ServiceFake] {
        &self.services
    }

    /// Formats the burn report over all nodes as text.
    pub async fn burn_report(&self) -> Result<String, Failure> {
        let mut reports = Vec::new();
        for node in &self.nodes {
            let page = admin(node, READ_KEY)?.get("/admin/report").await?;
            reports.push(serde_json::from_value(page)?);
        }
        let now_s = dragonflystep::node::clock::unix_time_s();
        Ok(text::render(&BurnReport::join(&reports, &[], now_s))?)
    }

    /// Stops the nodes gracefully, then the stand-ins.
    pub async fn stop(self) {
        for node in &self.nodes {
            node.stopper().stop();
        }
        for node in self.nodes {
            node.wait().await;
        }
        for engine in self.engines {
            engine.stop().await;
        }
        for service in self.services {
            service.stop().await;
        }
        self.platform.stop().await;
    }

    async fn apply_catalogue(&self) -> Result<(), Failure> {
        let document = CatalogueDocument::parse(&self.catalogue().to_string())?;
        let edits = document.edits_against(&Catalogue::default())?;
        let change = json!({
            "based_on": 0,
            "author": "demo",
            "reason": "first catalogue",
            "token": "demo-first-catalogue",
            "edits": serde_json::to_value(edits)?,
        });
        // The first calls may fail, since a node that has just started may not have read the table service yet.
        let client = admin(&self.nodes[0], EDIT_KEY)?;
        let started_at = Instant::now();
        loop {
            let (status, answer) = client.post("/admin/catalogue", &change).await?;
            if status.is_success() {
                return Ok(());
            }
            if started_at.elapsed() > READY_TIMEOUT {
                return Err(eyre!("the catalogue was not accepted: {status} {answer}").into());
            }
            sleep(READY_INTERVAL).await;
        }
    }

    async fn wait_for_brokers(&self) -> Result<(), Failure> {
        let started_at = Instant::now();
        loop {
            let mut ready = true;
            for node in &self.nodes {
                let status = admin(node, READ_KEY)?.get("/admin/status").await?;
                ready &= all_groups_held(&status) && all_in_force(&status);
            }
            if ready {
                return Ok(());
            }
            if started_at.elapsed() > READY_TIMEOUT {
                return Err(eyre!("not every group found a broker").into());
            }
            sleep(READY_INTERVAL).await;
        }
    }

    fn catalogue(&self) -> Value {
        let tier = |id: &str, rank: u8, first_token_ms: u64, good_share: f64| {
            json!({"id": id, "rank": rank, "default_deadline_ms": 10_000,
                "objective": {"first_token_ms": first_token_ms, "token_gap_ms": 45, "good_share": good_share}})
        };
        let engines = self.engines.iter().enumerate().map(|(number, engine)| {
            upstream(
                &format!("engine-{number}"),
                MODEL_SERVICE,
                engine.address(),
                8,
            )
        });
        let services = self.services.iter().enumerate().map(|(number, service)| {
            upstream(
                &format!("ledger-{number}"),
                PLAIN_SERVICE,
                service.address(),
                16,
            )
        });
        let accounts = ACCOUNTS.iter().map(|(name, _)| {
            json!({"id": name, "key_sha256": hex::encode(Sha256::digest(account_key(name)))})
        });
        json!({
            "tiers": [tier("urgent", 0, 480, 0.99), tier("routine", 1, 1_000, 0.95),
                tier("background", 2, 4_000, 0.9)],
            "services": [{"id": MODEL_SERVICE, "kind": "engine", "model": MODEL},
                {"id": PLAIN_SERVICE, "kind": "plain"}],
            "upstreams": engines.chain(services).collect::<Vec<_>>(),
            "accounts": accounts.collect::<Vec<_>>(),
        })
    }
}

fn admin(node: &Node, key: &str) -> Result<AdminClient, Failure> {
    AdminClient::new(&node.admin_address().to_string(), key)
}

fn all_groups_held(status: &Value) -> bool {
    let groups = status["groups"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    !groups.is_empty() && groups.iter().all(|group| group["holder"].is_string())
}

/// Whether this status shows the first catalogue version in force on all nodes.
fn all_in_force(status: &Value) -> bool {
    let nodes = status["nodes"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    nodes.len() == NODES && nodes.iter().all(|node| node["catalogue_version"] == 1)
}

fn upstream(id: &str, service: &str, address: SocketAddr, running_requests: u32) -> Value {
    json!({"id": id, "service": service, "owner": "demo", "class": service, "address": address.to_string(),
        "data_centre": "a", "limits": {"running_requests": running_requests}})
}

/// Settings of an engine; those with an odd number are half as fast.
fn engine_settings(number: usize) -> EngineFakeSettings {
    let slowdown = 1 + (number % 2) as u32;
    EngineFakeSettings::new(EngineShape {
        prefill_tokens_per_s: 16_000.0 / f64::from(slowdown),
        decode_step: Duration::from_millis(8) * slowdown,
        decode_step_per_stream: Duration::from_micros(300) * slowdown,
        max_batch: 8,
        cache_blocks: 512,
        load_lag: Duration::from_secs(1),
    })
}

fn service_settings() -> ServiceFakeSettings {
    ServiceFakeSettings {
        reports_load: true,
        ..ServiceFakeSettings::default()
    }
}

fn node_settings(number: usize, platform: SocketAddr) -> Result<NodeSettings, Failure> {
    let [caller, mesh, admin] = free_addresses()?;
    let settings = json!({
        "node": format!("entry-{}", number + 1),
        "data_centre": "a",
        "caller_address": caller,
        "mesh_address": mesh,
        "admin_address": admin,
        "platform": {"address": platform.to_string(), "key": PLATFORM_KEY},
        "mesh_key": MESH_KEY,
        "admin_keys": {"read": READ_KEY, "edit": EDIT_KEY},
    });
    Ok(NodeSettings::parse(&settings.to_string())?)
}

/// Returns different loopback addresses whose ports were free a moment ago, because node settings do not accept port 0.
fn free_addresses<const COUNT: usize>() -> Result<[SocketAddr; COUNT], Failure> {
    // All listeners stay open until the last one has its port; otherwise the kernel may assign a port twice.
    let mut listeners = Vec::with_capacity(COUNT);
    let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); COUNT];
    for address in &mut addresses {
        let listener = TcpListener::bind(*address)?;
        *address = listener.local_addr()?;
        listeners.push(listener);
    }
    Ok(addresses)
}
