//! Starts a system of node processes with a stand-in for the platform.

use {
    super::process::Process,
    dragonflystep::config::CatalogueDocument,
    dragonflystep::core::catalogue::Catalogue,
    eyre::{Result, bail},
    reqwest::Client,
    serde_json::{Value, json},
    sha2::{Digest, Sha256},
    std::{
        fs,
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// API key of the only client account.
pub const ACCOUNT_KEY: &str = "measure-account-key";
/// Id of the service that the engines serve.
pub const ENGINES: &str = "assistant";
/// Id of the service that the plain upstreams serve.
pub const PLAIN: &str = "ledger";
/// Name of the model that the engines serve.
pub const MODEL: &str = "measure-model";
const PLATFORM_KEY: &str = "measure-platform-key";
const EDIT_KEY: &str = "measure-edit-key-01";
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const READY_INTERVAL: Duration = Duration::from_millis(100);

/// A node running as a process.
pub struct NodeProcess {
    /// Handle that kills the process when dropped.
    pub process: Process,
    /// Address on which it serves callers.
    pub caller: String,
    /// Address of its administration API.
    pub admin: String,
}

/// An upstream to put into the catalogue.
pub struct UpstreamSpec {
    /// Id of the service that it belongs to.
    pub service: &'static str,
    /// Address on which it takes requests.
    pub address: String,
    /// Limit of concurrently running requests.
    pub running_requests: u32,
}

/// The processes of one measurement. Dropping it ends them and removes their settings.
pub struct System {
    /// The nodes, `entry-0` and up.
    pub nodes: Vec<NodeProcess>,
    /// Address of the platform stand-in.
    pub platform: String,
    /// Handle that kills the platform stand-in when dropped.
    pub _platform_process: Process,
    /// HTTP client for the administration APIs and the platform stand-in.
    pub client: Client,
    directory: PathBuf,
}

impl Drop for System {
    fn drop(&mut self) {
        // The directory holds only settings; on failure it stays in the temporary directory.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

impl System {
    /// Starts the platform stand-in and the nodes. If `gauges` is given, each node sends its metrics there with the
    /// prefix `n<number>`.
    pub fn start(nodes: usize, gauges: Option<SocketAddr>) -> Result<Self> {
        let (_platform_process, platform) =
            Process::stand_in(&["platform", "--key", PLATFORM_KEY])?;
        let name = format!("dragonflystep-measure-{}-{nodes}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory)?;
        let mut system = Self {
            nodes: Vec::new(),
            platform,
            _platform_process,
            client: Client::builder().no_proxy().build()?,
            directory,
        };
        for number in 0..nodes {
            let node = system.start_node(number, gauges)?;
            system.nodes.push(node);
        }
        Ok(system)
    }

    fn start_node(&self, number: usize, gauges: Option<SocketAddr>) -> Result<NodeProcess> {
        let [caller, mesh, admin] = free_addresses()?;
        let mut settings = json!({
            "node": format!("entry-{number}"),
            "data_centre": "a",
            "caller_address": caller,
            "mesh_address": mesh,
            "admin_address": admin,
            "platform": {"address": self.platform, "key": PLATFORM_KEY},
            "mesh_key": "measure-mesh-key-01",
            "admin_keys": {"read": "measure-read-key-01", "edit": EDIT_KEY},
            "limits": {"max_open_requests": 8192},
            "log": {"level": "error"},
        });
        if let Some(address) = gauges {
            settings["metrics"] =
                json!({"address": address.to_string(), "prefix": format!("n{number}")});
        }
        let path = self.directory.join(format!("node-{number}.json"));
        fs::write(&path, settings.to_string())?;
        Ok(NodeProcess {
            process: Process::node(&path)?,
            caller,
            admin,
        })
    }

    /// Applies the first catalogue and waits until every node knows a holder of every group.
    pub async fn apply_first_catalogue(&self, specs: &[UpstreamSpec]) -> Result<()> {
        let document = CatalogueDocument::parse(&catalogue(specs).to_string())?;
        let edits = document.edits_against(&Catalogue::default())?;
        let started_at = Instant::now();
        // A node that knows no other node would take every group.
        for node in &self.nodes {
            while !self.knows_all(node).await {
                self.wait(started_at, "every node knows all nodes").await?;
            }
        }
        while !self
            .change(0, "first", &serde_json::to_value(edits.clone())?)
            .await?
        {
            self.wait(started_at, "the first catalogue is accepted")
                .await?;
        }
        for node in &self.nodes {
            while !self.is_ready(node).await? {
                self.wait(started_at, "every group has a broker").await?;
            }
        }
        Ok(())
    }

    /// Sends one change of the catalogue to the first node. Returns false if it was refused or the connection failed.
    pub async fn change(&self, based_on: u64, token: &str, edits: &Value) -> Result<bool> {
        let change = json!({"based_on": based_on, "author": "measure", "reason": "measure",
            "token": token, "edits": edits});
        let url = format!("http://{}/admin/catalogue", self.nodes[0].admin);
        let call = self.client.post(url).bearer_auth(EDIT_KEY).json(&change);
        let Ok(answer) = call.send().await else {
            return Ok(false);
        };
        Ok(answer.status().is_success())
    }

    /// Returns the status document of a node.
    pub async fn status(&self, node: &NodeProcess) -> Result<Value> {
        let url = format!("http://{}/admin/status", node.admin);
        let call = self.client.get(url).bearer_auth(EDIT_KEY);
        Ok(call.send().await?.json().await?)
    }

    /// Returns the platform stand-in's records of the calls that it got.
    pub async fn platform_records(&self) -> Result<Value> {
        let url = format!("http://{}/records", self.platform);
        Ok(self.client.get(url).send().await?.json().await?)
    }

    /// Returns the size in bytes of the platform's answer to a scan of the rows with a prefix.
    pub async fn scan_bytes(&self, prefix: &str) -> Result<usize> {
        let url = format!("http://{}/table/scan", self.platform);
        let call = self.client.post(url).bearer_auth(PLATFORM_KEY);
        let answer = call.json(&json!({"prefix": prefix})).send().await?;
        Ok(answer.bytes().await?.len())
    }

    async fn knows_all(&self, node: &NodeProcess) -> bool {
        let status = self.status(node).await.unwrap_or_default();
        let nodes = status["nodes"].as_array().map(Vec::len);
        nodes == Some(self.nodes.len())
    }

    /// Returns the size in bytes of the list of entries that the first node gives to callers.
    pub async fn entries_bytes(&self) -> Result<usize> {
        let url = format!("http://{}/v1/entries", self.nodes[0].caller);
        Ok(self.client.get(url).send().await?.bytes().await?.len())
    }

    async fn is_ready(&self, node: &NodeProcess) -> Result<bool> {
        let status = self.status(node).await?;
        let list = |name: &str| status[name].as_array().cloned().unwrap_or_default();
        let groups = list("groups");
        let nodes = list("nodes");
        let held = groups.iter().all(|group| group["holder"].is_string());
        let known = nodes.iter().all(|node| node["catalogue_version"] == 1);
        Ok(!groups.is_empty() && held && known && nodes.len() == self.nodes.len())
    }

    async fn wait(&self, started_at: Instant, what: &str) -> Result<()> {
        if started_at.elapsed() > READY_TIMEOUT {
            bail!("timed out after {READY_TIMEOUT:?} waiting for: {what}");
        }
        sleep(READY_INTERVAL).await;
        Ok(())
    }
}

fn catalogue(specs: &[UpstreamSpec]) -> Value {
    let upstreams = specs.iter().enumerate().map(|(number, spec)| {
        json!({"id": format!("worker-{number}"), "service": spec.service, "owner": "measure",
            "class": spec.service, "address": spec.address, "data_centre": "a",
            "limits": {"running_requests": spec.running_requests}})
    });
    json!({
        "tiers": [{"id": "urgent", "rank": 0, "default_deadline_ms": 300_000,
            "objective": {"first_token_ms": 480, "token_gap_ms": 45, "good_share": 0.95}}],
        "services": [{"id": ENGINES, "kind": "engine", "model": MODEL},
            {"id": PLAIN, "kind": "plain"}],
        "upstreams": upstreams.collect::<Vec<_>>(),
        "accounts": [{"id": "measure", "key_sha256": hex::encode(Sha256::digest(ACCOUNT_KEY))}],
    })
}

/// Returns the body of a request for a streamed completion. The prompt repeats the letter `a`.
pub fn completion(prompt_bytes: usize, tokens: u32) -> Value {
    json!({"model": MODEL, "prompt": "a".repeat(prompt_bytes), "max_tokens": tokens, "stream": true})
}

/// Returns different loopback addresses with free ports. The ports are not reserved for the caller.
fn free_addresses<const COUNT: usize>() -> Result<[String; COUNT]> {
    // All listeners stay open until the last one has its port; otherwise the kernel may assign a port twice.
    let mut listeners = Vec::with_capacity(COUNT);
    let mut addresses = [const { String::new() }; COUNT];
    for address in &mut addresses {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        *address = listener.local_addr()?.to_string();
        listeners.push(listener);
    }
    Ok(addresses)
}
