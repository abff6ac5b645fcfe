//! What a run leaves behind: facts written by the world itself, never taken from the reducer's state.

use {
    crate::workload::Arrival,
    dragonflystep_core::{
        ids::{CatalogueVersion, Epoch, GrantId, GroupId, NodeId, Tier},
        request::Refusal,
    },
    std::{sync::Arc, time::Duration},
};

/// Everything that happened in one run; times are the world's.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    /// When the traffic began.
    pub traffic_from: Duration,
    /// The requests, one for each call of a caller.
    pub requests: Vec<RequestRecord>,
    /// The streams at upstreams.
    pub streams: Vec<StreamRecord>,
    /// The upstreams.
    pub upstreams: Vec<UpstreamRecord>,
    /// Grants that nodes sent.
    pub grants: Vec<GrantRecord>,
    /// Moments at which an upstream had more than its catalogue limit allows.
    pub limit_excesses: Vec<LimitExcess>,
    /// Catalogue versions as they came into force.
    pub catalogue_versions: Vec<CatalogueRecord>,
    /// Requests that were open when their node said that it was done.
    pub cut_off_by_stop: Vec<usize>,
    /// What each upstream ran, sampled all the time.
    pub samples: Vec<LoadSample>,
    /// Events that nodes handled.
    pub node_events: u64,
}

/// One call of a caller.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// What was sent.
    pub arrival: Arc<Arrival>,
    /// When the caller sent it.
    pub sent_at: Duration,
    /// The entry that received it.
    pub entry: usize,
    /// When the entry received it; none when no entry could be reached.
    pub received_at: Option<Duration>,
    /// Whether the entry died or stood still while the request was open.
    pub entry_failed: bool,
    /// When a broker last sent the entry a refusal for load.
    pub load_refusal_sent_at: Option<Duration>,
    /// When the entry died with the request open.
    pub abandoned_at: Option<Duration>,
    /// Indices of the streams that were dispatched for it.
    pub streams: Vec<usize>,
    /// When the first token reached the entry.
    pub first_token_at: Option<Duration>,
    /// The last progress that reached the entry: when, and tokens so far.
    pub last_progress: Option<(Duration, u32)>,
    /// Mean token gaps, one for each progress report, with the number of tokens.
    pub gaps: Vec<(Duration, u32)>,
    /// Final answers.
    pub finals: Vec<(Duration, Final)>,
}

impl RequestRecord {
    /// Whether the whole answer was there in time.
    pub fn is_good(&self) -> bool {
        let Some((at, Final::Answered { tokens })) = self.finals.first() else {
            return false;
        };
        let (Some(received_at), 1) = (self.received_at, self.finals.len()) else {
            return false;
        };
        let in_time = *at <= received_at + self.arrival.facts.deadline;
        in_time && *tokens == self.arrival.answer_tokens
    }

    /// The tier.
    pub fn tier(&self) -> Tier {
        self.arrival.facts.tier
    }

    /// The refusal, if that is how it ended.
    pub fn refusal(&self) -> Option<(Duration, &Refusal)> {
        match self.finals.first() {
            Some((at, Final::Refused(refusal))) => Some((*at, refusal)),
            _ => None,
        }
    }
}

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Final {
    /// With a whole answer, as the entry said.
    Answered {
        /// Tokens that the entry had received.
        tokens: u32,
    },
    /// With the upstream's own error.
    Rejected,
    /// With a refusal.
    Refused(Refusal),
}

/// How a stream ended at its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// It was computed to its end.
    Finished,
    /// It was cancelled.
    Cancelled,
    /// The upstream lost it.
    Lost,
}

/// One stream at an upstream.
#[derive(Clone, Debug)]
pub struct StreamRecord {
    /// The request that it was dispatched for.
    pub request: usize,
    /// Index of the upstream.
    pub upstream: usize,
    /// When the first byte went out.
    pub dispatched_at: Duration,
    /// When it reached the upstream.
    pub began_at: Option<Duration>,
    /// How it ended.
    pub ended: Option<(Duration, StreamEnd)>,
    /// Prompt tokens that were cached; known once the prompt is computed.
    pub cached_tokens: Option<u32>,
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRecord {
    /// Name.
    pub id: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// Group.
    pub group: Arc<str>,
    /// Index of its class in the service.
    pub class: usize,
    /// Limit on running requests.
    pub running_limit: u32,
    /// Prompt tokens that it computed.
    pub prefilled_tokens: u64,
    /// When it was told to leave.
    pub leaving_from: Option<Duration>,
}

/// A grant on its way from a broker.
#[derive(Clone, Debug)]
pub struct GrantRecord {
    /// When.
    pub at: Duration,
    /// The node that sent it.
    pub node: NodeId,
    /// The group.
    pub group: GroupId,
    /// The epoch.
    pub epoch: Epoch,
    /// The grant.
    pub grant: GrantId,
}

/// An upstream had more than allowed.
#[derive(Clone, Debug)]
pub struct LimitExcess {
    /// When.
    pub at: Duration,
    /// Index of the upstream.
    pub upstream: usize,
    /// What it had: requests or tokens.
    pub had: u64,
    /// What it may have.
    pub limit: u64,
}

/// A catalogue version came into force on a node.
#[derive(Clone, Debug)]
pub struct CatalogueRecord {
    /// When.
    pub at: Duration,
    /// Index of the node.
    pub node: usize,
    /// Its incarnation.
    pub incarnation: u64,
    /// The version.
    pub version: CatalogueVersion,
}

/// What the upstreams had at one moment.
#[derive(Clone, Debug)]
pub struct LoadSample {
    /// When.
    pub at: Duration,
    /// Streams at each upstream; none when it is dead.
    pub running: Vec<Option<u32>>,
}
