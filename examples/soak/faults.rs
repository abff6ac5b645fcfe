//! Faults that a soak run injects.

use {
    super::support::{CONDITION_TIMEOUT, Site, unix_ms, wait_for},
    rand::Rng,
    rand_pcg::Pcg64Mcg,
    rustix::process::Signal,
    serde_json::{Value, json},
    std::{
        str::FromStr,
        time::{Duration, Instant},
    },
};

/// Kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// A node is killed, and restarted at the end.
    KillNode,
    /// A node is frozen with `SIGSTOP`, and resumed at the end.
    FreezeNode,
    /// A node gets `SIGTERM` for a planned stop, and is restarted at the end.
    StopNode,
    /// The platform answers every call with 503.
    PlatformDown,
    /// The platform drops 30 % of the answers to writes that took effect.
    PlatformLosesAnswers,
    /// The platform accepts calls and never answers.
    PlatformSilent,
    /// An engine crashes, loses all streams and is down for 1.5 s.
    EngineCrash,
    /// An engine becomes ten times slower.
    EngineSlow,
    /// An engine's open connections go silent and stay so.
    EngineSilence,
    /// An engine closes the connection of a stream after five tokens.
    EngineBreaks,
    /// An engine sends some pieces of its streams twice or out of order.
    EnginePieces,
    /// A plain upstream crashes, breaks all connections and is down for 1.5 s.
    ServiceCrash,
    /// A plain upstream closes five connections after the calls took effect and before their answers.
    ServiceCloses,
    /// The catalogue gets an additional account.
    CatalogueChange,
    /// The VM of an engine is listed as leaving, and as live again at the end.
    VmLeaves,
}

const NAMES: [(FaultKind, &str); 15] = [
    (FaultKind::KillNode, "kill_node"),
    (FaultKind::FreezeNode, "freeze_node"),
    (FaultKind::StopNode, "stop_node"),
    (FaultKind::PlatformDown, "platform_down"),
    (FaultKind::PlatformLosesAnswers, "platform_loses_answers"),
    (FaultKind::PlatformSilent, "platform_silent"),
    (FaultKind::EngineCrash, "engine_crash"),
    (FaultKind::EngineSlow, "engine_slow"),
    (FaultKind::EngineSilence, "engine_silence"),
    (FaultKind::EngineBreaks, "engine_breaks"),
    (FaultKind::EnginePieces, "engine_pieces"),
    (FaultKind::ServiceCrash, "service_crash"),
    (FaultKind::ServiceCloses, "service_closes"),
    (FaultKind::CatalogueChange, "catalogue_change"),
    (FaultKind::VmLeaves, "vm_leaves"),
];

impl FaultKind {
    /// All kinds of faults. The faults that a seed leads to depend on this order.
    pub const ALL: [Self; 15] = {
        let mut all = [Self::KillNode; 15];
        let mut index = 0;
        while index < all.len() {
            all[index] = NAMES[index].0;
            index += 1;
        }
        all
    };

    /// Returns the name for command-line options and the summary.
    pub fn name(self) -> &'static str {
        let named = NAMES.iter().find(|(kind, _)| *kind == self);
        named.expect("every kind has a name").1
    }

    /// Returns true if nodes refuse non-idempotent requests during the fault.
    pub fn blocks_orders(self) -> bool {
        matches!(
            self,
            Self::PlatformDown | Self::PlatformSilent | Self::PlatformLosesAnswers
        )
    }

    fn targets_node(self) -> bool {
        matches!(self, Self::KillNode | Self::FreezeNode | Self::StopNode)
    }
}

impl FromStr for FaultKind {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let named = NAMES.iter().find(|(_, known)| *known == name);
        named
            .map(|(kind, _)| *kind)
            .ok_or(format!("unknown kind of fault: {name}"))
    }
}

/// A fault that has begun and not yet ended.
#[derive(Debug, Clone)]
pub struct Ongoing {
    kind: FaultKind,
    target: usize,
}

/// A span of the traffic in which a node may lose its open requests. Times count from the start of the traffic.
#[derive(Debug, Clone)]
pub struct Window {
    /// Caller address of the node.
    pub entry: String,
    /// Start of the fault.
    pub from: Duration,
    /// Time when the node served again; `None` until then.
    pub until: Option<Duration>,
}

/// A span in which an engine was announced as leaving and must get no new dispatches.
#[derive(Debug, Clone)]
pub struct Leaving {
    /// Index of the engine.
    pub engine: usize,
    /// Unix time of the announcement, in milliseconds.
    pub from_ms: u64,
    /// Unix time in milliseconds when the engine was listed as live again; `None` until then.
    pub until_ms: Option<u64>,
}

/// Begins and ends faults, and records what the checker needs to know about them.
#[derive(Debug)]
pub struct Faults {
    began: Instant,
    /// Indices of the nodes that are targets of faults in this round.
    affected: Vec<usize>,
    /// Spans in which nodes were killed or frozen.
    pub windows: Vec<Window>,
    /// Spans in which engines were leaving.
    pub leaving: Vec<Leaving>,
    /// Names of all faults so far, in order.
    pub log: Vec<&'static str>,
    /// Violations seen while injecting faults, such as a planned stop with a nonzero exit code.
    pub findings: Vec<(&'static str, String)>,
}

impl Faults {
    /// Creates an empty record for traffic that started at `began`.
    pub fn new(began: Instant) -> Self {
        Self {
            began,
            affected: Vec::new(),
            windows: Vec::new(),
            leaving: Vec::new(),
            log: Vec::new(),
            findings: Vec::new(),
        }
    }

    /// Returns the time since the start of the traffic.
    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// Begins a fault at a random target.
    pub async fn begin(
        &mut self,
        site: &mut Site,
        kind: FaultKind,
        random: &mut Pcg64Mcg,
    ) -> Ongoing {
        let targets = match kind {
            _ if kind.targets_node() => site.nodes.len(),
            FaultKind::ServiceCrash | FaultKind::ServiceCloses => site.services.len(),
            _ => site.engines.len(),
        };
        let mut target = random.random_range(0..targets);
        if kind.targets_node() {
            target = self.unaffected_node(site, target);
        }
        self.log.push(kind.name());
        match kind {
            FaultKind::KillNode => {
                self.open_window(site, target);
                site.nodes[target].process.kill();
            }
            FaultKind::FreezeNode => {
                self.open_window(site, target);
                site.nodes[target].process.signal(Signal::STOP);
            }
            FaultKind::StopNode => site.nodes[target].process.signal(Signal::TERM),
            FaultKind::CatalogueChange => self.change_catalogue(site, random).await,
            FaultKind::VmLeaves => {
                self.leaving.push(Leaving {
                    engine: target,
                    from_ms: unix_ms(),
                    until_ms: None,
                });
                set_vm_list(site, "leaving", target).await;
            }
            _ => inject_fault(site, kind, target, random).await,
        }
        Ongoing { kind, target }
    }

    /// Ends a fault: restarts or resumes the node, or clears the fault at the stand-in.
    pub async fn end(&mut self, site: &mut Site, fault: &Ongoing) {
        let target = fault.target;
        match fault.kind {
            FaultKind::KillNode => site.nodes[target].restart(),
            FaultKind::FreezeNode => site.nodes[target].process.signal(Signal::CONT),
            FaultKind::StopNode => {
                let status = site.nodes[target]
                    .process
                    .wait_for_exit(CONDITION_TIMEOUT)
                    .await;
                if status.code() != Some(0) {
                    self.findings
                        .push(("planned_stop", format!("the node ended with {status}")));
                }
                site.nodes[target].restart();
            }
            FaultKind::PlatformDown
            | FaultKind::PlatformLosesAnswers
            | FaultKind::PlatformSilent => {
                site.platform
                    .control
                    .command("/faults", &json!({"clear": true}))
                    .await;
            }
            FaultKind::VmLeaves => {
                if let Some(leaving) = self
                    .leaving
                    .iter_mut()
                    .rev()
                    .find(|leaving| leaving.engine == target)
                {
                    leaving.until_ms = Some(unix_ms());
                }
                set_vm_list(site, "live", target).await;
            }
            FaultKind::ServiceCrash | FaultKind::ServiceCloses => {
                site.services[target]
                    .control
                    .command("/faults", &json!({"fault": "clear"}))
                    .await;
            }
            FaultKind::CatalogueChange => {}
            _ => {
                site.engines[target]
                    .control
                    .command("/faults", &json!({"fault": "clear"}))
                    .await
            }
        }
    }

    /// Returns the indices of the nodes that are no target of an ongoing fault.
    pub fn unaffected(&self, site: &Site, ongoing: &[Ongoing]) -> Vec<usize> {
        let is_affected = |index: &usize| {
            ongoing
                .iter()
                .any(|fault| fault.kind.targets_node() && fault.target == *index)
        };
        (0..site.nodes.len())
            .filter(|index| !is_affected(index))
            .collect()
    }

    /// Closes all windows at the current time, when the affected nodes serve again.
    pub fn close_windows(&mut self) {
        self.affected.clear();
        let now = self.began.elapsed();
        for window in &mut self.windows {
            window.until.get_or_insert(now);
        }
    }

    fn open_window(&mut self, site: &Site, target: usize) {
        self.windows.push(Window {
            entry: site.nodes[target].caller_address.to_string(),
            from: self.began.elapsed(),
            until: None,
        });
    }

    /// Returns `target`, or the next node that is no target of a fault in this round yet.
    fn unaffected_node(&mut self, site: &Site, mut target: usize) -> usize {
        while self.affected.contains(&target) {
            target = (target + 1) % site.nodes.len();
        }
        self.affected.push(target);
        target
    }

    /// Adds an account to the catalogue and checks that the change is in force on all reachable nodes within 7 s.
    async fn change_catalogue(&mut self, site: &Site, random: &mut Pcg64Mcg) {
        let weight = random.random_range(1..1_000_u32);
        let mut document = site.catalogue();
        let account = json!({"id": "changing", "weight": weight, "key_sha256": "0".repeat(64)});
        document["accounts"]
            .as_array_mut()
            .expect("a list")
            .push(account);
        let node = random.random_range(0..site.nodes.len());
        let asked = wait_for(
            "a node answers and can take the change",
            CONDITION_TIMEOUT,
            || async {
                for index in (node..site.nodes.len()).chain(0..node) {
                    if site.nodes[index].admin.version().await.is_some() {
                        return Some(index);
                    }
                }
                None
            },
        )
        .await
        .0;
        let version = site.nodes[asked].admin.apply(&document).await;
        let accepted_at = Instant::now();
        for node in &site.nodes {
            let seen = || async {
                match node.admin.version().await {
                    Some(seen) if seen < version => None,
                    // A node that does not answer has another fault; the probes check it.
                    _ => Some(()),
                }
            };
            wait_for(
                "every reachable node has the accepted version in force",
                CONDITION_TIMEOUT,
                seen,
            )
            .await;
        }
        if accepted_at.elapsed() > Duration::from_secs(7) {
            let took = accepted_at.elapsed();
            self.findings.push((
                "catalogue_in_force",
                format!("version {version} was in force only after {took:?}"),
            ));
        }
    }
}

async fn set_vm_list(site: &Site, list: &str, engine: usize) {
    let mut vms = json!({"live": [], "leaving": []});
    vms[list] = json!([format!("vm-engine-{engine}")]);
    site.platform.control.command("/vms", &vms).await;
}

async fn inject_fault(site: &Site, kind: FaultKind, target: usize, random: &mut Pcg64Mcg) {
    let lose = json!({"share": 0.3, "seed": random.random::<u32>()});
    let fault: Value = match kind {
        FaultKind::PlatformDown => json!({"down": true}),
        FaultKind::PlatformLosesAnswers => json!({"lose_answers": lose}),
        FaultKind::PlatformSilent => json!({"silent": true}),
        FaultKind::EngineCrash => json!({"fault": "crash", "down_ms": 1_500}),
        FaultKind::EngineSlow => json!({"fault": "slow", "factor": 10.0}),
        FaultKind::EngineSilence => json!({"fault": "silence_existing"}),
        FaultKind::EngineBreaks => json!({"fault": "close_after", "tokens": 5}),
        FaultKind::EnginePieces => json!({"fault": "pieces", "duplicate": 0.1, "reorder": 0.05}),
        FaultKind::ServiceCrash => json!({"fault": "crash", "down_ms": 1_500}),
        FaultKind::ServiceCloses => json!({"fault": "close_before_answer", "count": 5}),
        _ => return,
    };
    let control = match kind {
        _ if kind.blocks_orders() => &site.platform.control,
        FaultKind::ServiceCrash | FaultKind::ServiceCloses => &site.services[target].control,
        _ => &site.engines[target].control,
    };
    control.command("/faults", &fault).await;
}
