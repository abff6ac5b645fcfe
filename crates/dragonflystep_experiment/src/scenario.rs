//! Documents that describe an experiment: a site, and a scenario played at it.

use {
    crate::error::ExperimentError,
    dragonflystep_core::catalogue::{OverloadPolicy, ServiceKind},
    dragonflystep_fakes::engine_model::EngineShape,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        path::{Path, PathBuf},
        time::Duration,
    },
};

/// What a site's user weighs most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// Goodput of the urgent tier goes first.
    UrgentGoodput,
    /// Wasted prefill goes first.
    WastedPrefill,
}

/// Where an experiment takes place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Name.
    pub name: String,
    /// What the user weighs.
    pub measure: Measure,
    /// Data centres.
    pub data_centres: Vec<DataCentre>,
    /// Delays.
    pub network: Network,
    /// Services with their upstreams.
    pub services: Vec<ServicePart>,
    /// Tiers, the most urgent first.
    pub tiers: Vec<TierPart>,
    /// Client accounts.
    pub accounts: Vec<AccountPart>,
    /// What callers send.
    pub traffic: Vec<TrafficPart>,
}

/// One data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Name.
    pub id: String,
    /// Entry nodes in it.
    pub nodes: u32,
}

/// One-way delays, in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Network {
    /// Inside one data centre.
    pub within_ms: f64,
    /// Between two data centres.
    pub between_ms: f64,
    /// Between a caller and an entry.
    pub caller_ms: f64,
    /// Largest random addition.
    pub jitter_ms: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePart {
    /// Name.
    pub id: String,
    /// What answers.
    pub kind: ServiceKind,
    /// How lower tiers make room.
    #[serde(default)]
    pub overload_policy: OverloadPolicy,
    /// Upstreams that one broker grants.
    pub group_size: u32,
    /// Upstreams by class.
    pub classes: Vec<ClassPart>,
}

/// Upstreams of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassPart {
    /// Name.
    pub class: String,
    /// How many, spread over the data centres in turn.
    pub count: u32,
    /// Prompt tokens computed in a second.
    pub prefill_tokens_per_s: f64,
    /// Time of one decode step with an empty batch, in milliseconds.
    pub decode_step_ms: f64,
    /// What each stream adds to a step, in milliseconds.
    pub decode_step_per_stream_ms: f64,
    /// Streams in one batch.
    pub max_batch: u32,
    /// Prefix blocks that fit the cache.
    pub cache_blocks: u32,
    /// Age of a load report, in milliseconds.
    pub load_lag_ms: u64,
    /// The catalogue's limit on running requests.
    pub running_requests: u32,
    /// The catalogue's limit on held tokens.
    #[serde(default)]
    pub held_tokens: Option<u64>,
}

impl ClassPart {
    /// Time of an engine that one request costs when the batch is full and `new_tokens` are computed.
    pub fn cost_s(&self, new_tokens: f64, output_tokens: f64) -> f64 {
        let batch = f64::from(self.max_batch);
        let step_s =
            (self.decode_step_ms + self.decode_step_per_stream_ms * (batch - 1.0)) / 1000.0;
        new_tokens / self.prefill_tokens_per_s + output_tokens * step_s / batch
    }

    /// Time that a request takes alone on an engine of this class.
    pub fn alone_s(&self, new_tokens: f64, output_tokens: f64) -> f64 {
        let step_s = self.decode_step_ms / 1000.0;
        new_tokens / self.prefill_tokens_per_s + output_tokens * step_s
    }

    /// The shape that the engine model takes.
    pub fn shape(&self) -> EngineShape {
        EngineShape {
            prefill_tokens_per_s: self.prefill_tokens_per_s,
            decode_step: ms(self.decode_step_ms),
            decode_step_per_stream: ms(self.decode_step_per_stream_ms),
            max_batch: self.max_batch,
            cache_blocks: self.cache_blocks,
            load_lag: Duration::from_millis(self.load_lag_ms),
        }
    }
}

/// One tier.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierPart {
    /// Name.
    pub id: String,
    /// Deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Objective for the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Objective for the time between tokens, in milliseconds.
    pub token_gap_ms: u64,
    /// What a good answer of the tier counts in the user's measure.
    pub value: f64,
}

/// One client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountPart {
    /// Name.
    pub id: String,
    /// Weight in the catalogue.
    pub weight: u32,
    /// Share of the traffic that the account sends.
    pub traffic: f64,
}

/// One kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficPart {
    /// Name.
    pub id: String,
    /// Service that is asked.
    pub service: String,
    /// Tier.
    pub tier: String,
    /// Share of the service's requests.
    pub share: f64,
    /// Length of the prompt's own part.
    pub prompt_tokens: Range,
    /// Longest answer; the true length is 0.3 to 1 of it.
    pub output_tokens: Range,
    /// Documents that prompts begin with.
    #[serde(default)]
    pub documents: Option<Documents>,
    /// Share of requests that must run at most once; they carry a key.
    #[serde(default)]
    pub non_idempotent: f64,
}

/// A range from which lengths are drawn, even in their logarithm.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// Smallest.
    pub min: u32,
    /// Largest.
    pub max: u32,
}

impl Range {
    /// Mean of the lengths.
    pub fn mean(&self) -> f64 {
        let (min, max) = (f64::from(self.min), f64::from(self.max));
        if self.max <= self.min {
            return min;
        }
        (max - min) / (max / min).ln()
    }
}

/// Documents that several prompts share.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Documents {
    /// How many there are.
    pub count: u32,
    /// Exponent of the Zipf law by which they are asked for.
    pub exponent: f64,
    /// Length of each.
    pub tokens: Range,
}

/// What happens at a site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name.
    pub name: String,
    /// File of the site, relative to this one.
    pub site: PathBuf,
    /// How long callers send, in seconds.
    pub seconds: f64,
    /// Offered work as a share of what the engines can do with every shared prefix cached.
    pub load: f64,
    /// Times with other load.
    #[serde(default)]
    pub phases: Vec<Phase>,
    /// What fails.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// A time with other load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Begin.
    pub from_s: f64,
    /// End.
    pub until_s: f64,
    /// The load in it.
    pub load: f64,
    /// The account that sends what exceeds the scenario's load; all in their shares when missing.
    #[serde(default)]
    pub account: Option<String>,
}

/// Something that fails.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When.
    pub at_s: f64,
    /// What.
    pub kind: FaultKind,
}

/// Kinds of faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// The first `count` upstreams of a class compute `factor` times slower.
    Slowdown {
        /// The class.
        class: String,
        /// How many.
        count: u32,
        /// How much.
        factor: f64,
    },
    /// Every n-th upstream of a service dies for good.
    KillEvery {
        /// The service.
        service: String,
        /// One in so many.
        one_in: u32,
    },
    /// A data centre is lost with its nodes and upstreams.
    LoseDataCentre {
        /// The data centre.
        data_centre: String,
    },
    /// A node dies; it starts again after the time, if one is given.
    KillNode {
        /// Index of the node.
        node: usize,
        /// Time until it is back.
        #[serde(default)]
        back_after_s: Option<f64>,
    },
    /// A node stands still; everything reaches it at once afterwards.
    PauseNode {
        /// Index of the node.
        node: usize,
        /// For how long.
        lasts_s: f64,
    },
    /// Two nodes do not reach each other.
    CutNodes {
        /// Index of one.
        one: usize,
        /// Index of the other.
        other: usize,
        /// For how long.
        lasts_s: f64,
    },
    /// The table service does not answer.
    TableOutage {
        /// For how long.
        lasts_s: f64,
    },
    /// Writes to the table service take effect while their answers are lost.
    LostAnswers {
        /// For how long.
        lasts_s: f64,
    },
    /// An upstream ends all its streams and starts empty.
    CrashUpstream {
        /// Index of the upstream.
        upstream: usize,
    },
    /// All open streams of an upstream lose their connection; the engine runs on.
    BreakStreams {
        /// Index of the upstream.
        upstream: usize,
        /// Whether the connections go silent; otherwise they are closed.
        silent: bool,
    },
    /// A node is asked to stop.
    StopNode {
        /// Index of the node.
        node: usize,
    },
}

/// A scenario together with its site.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The scenario.
    pub scenario: Scenario,
    /// Its site.
    pub site: Site,
}

impl Plan {
    /// Reads a scenario and the site that it names.
    ///
    /// # Errors
    /// When a file can't be read, has unknown fields, or has values that can't be used.
    pub fn read(path: &Path) -> Result<Self, ExperimentError> {
        let scenario: Scenario = read_document(path)?;
        let site_path = path.parent().unwrap_or(Path::new("")).join(&scenario.site);
        let site: Site = read_document(&site_path)?;
        let plan = Self { scenario, site };
        plan.check(path)?;
        Ok(plan)
    }

    fn check(&self, path: &Path) -> Result<(), ExperimentError> {
        let invalid = |field, reason: String| {
            Err(ExperimentError::Invalid {
                path: path.to_path_buf(),
                field,
                reason,
            })
        };
        if self.scenario.seconds <= 0.0 {
            return invalid("seconds", "must be above 0".into());
        }
        if self.scenario.load <= 0.0 {
            return invalid("load", "must be above 0".into());
        }
        for part in &self.site.traffic {
            if !self.site.services.iter().any(|it| it.id == part.service) {
                return invalid("traffic.service", format!("no service {}", part.service));
            }
            if !self.site.tiers.iter().any(|it| it.id == part.tier) {
                return invalid("traffic.tier", format!("no tier {}", part.tier));
            }
            if part.prompt_tokens.min == 0 || part.prompt_tokens.max < part.prompt_tokens.min {
                return invalid("traffic.prompt_tokens", format!("in {}", part.id));
            }
            if part.output_tokens.min == 0 || part.output_tokens.max < part.output_tokens.min {
                return invalid("traffic.output_tokens", format!("in {}", part.id));
            }
        }
        for phase in &self.scenario.phases {
            let known = |id: &String| self.site.accounts.iter().any(|it| it.id == *id);
            if phase.account.as_ref().is_some_and(|id| !known(id)) {
                return invalid("phases.account", "no such account".into());
            }
        }
        Ok(())
    }
}

pub(crate) fn read_document<T: DeserializeOwned>(path: &Path) -> Result<T, ExperimentError> {
    let text = std::fs::read_to_string(path).map_err(|source| ExperimentError::Read {
        path: path.to_path_buf(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|source| ExperimentError::Document {
        path: path.to_path_buf(),
        source,
    })
}

/// A duration from milliseconds.
pub fn ms(milliseconds: f64) -> Duration {
    Duration::from_secs_f64(milliseconds / 1000.0)
}
