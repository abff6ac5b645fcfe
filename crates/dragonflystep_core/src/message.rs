//! Messages between nodes.
//!
//! Every message is one-way; an answer is a separate message. Messages may be lost, duplicated, delayed and
//! reordered, and the reducer stays correct in all these cases. A time sent over the network is either a
//! duration, or a reading of the sender's clock that the receiver only echoes.

use {
    crate::{
        catalogue::{Catalogue, CatalogueChange},
        ids::{
            AccountId, BlockHash, CatalogueVersion, DataCentreId, Epoch, Fingerprint, GrantId,
            GroupId, Incarnation, NodeId, RequestId, ServiceId, Tier, UpstreamId,
        },
        request::{Outcome, RefusalCode, RequestKey},
    },
    std::{sync::Arc, time::Duration},
};

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Entry to broker: a request asks for a slot.
    Ask(Ask),
    /// Broker to entry: the ask waits in the queue.
    Queued(Queued),
    /// Broker to entry: the ask got a slot.
    Granted(Granted),
    /// Broker to entry: the ask is refused.
    AskRefused(AskRefused),
    /// Entry to broker: the ask is withdrawn.
    Withdraw(AskName),
    /// Broker to entry: the ask was removed from the queue, and no grant will be made for it.
    Withdrawn(AskName),
    /// Entry to broker: the grant was not used and will not be used.
    GrantReturned(GrantName),
    /// Entry to broker: the request was dispatched to the upstream.
    Started(GrantName),
    /// Entry to broker: the grant's stream ended.
    Finished(Finished),
    /// Entry to broker, periodically: all grants of this group that the entry holds.
    Holding(Holding),
    /// New broker to every node: report the grants of this group that you hold.
    Reregister(Reregister),
    /// Broker to entry: cancel this stream to free its slot.
    CancelGrant(GrantName),
    /// Broker to entries, periodically: the free capacity and expected waits of the group.
    Summary(Summary),
    /// Broker to the other brokers of the service: grant nothing below this tier.
    Yield(Yield),
    /// Answer to [`Message::Yield`].
    YieldAnswer(YieldAnswer),
    /// Entry to the home of a key: this request is about to be dispatched.
    KeyRegister(KeyRegister),
    /// Home to entry: the state of the key.
    KeyAnswer(KeyAnswer),
    /// Entry to the home of a key: the request ended, or was given up without being dispatched.
    KeyEnded(KeyEnded),
    /// Entry to a new home: the keys of this home that the entry knows.
    KeyRefill(KeyRefill),
    /// Node to node: an upstream crashed while it ran these requests.
    CrashObserved(CrashObserved),
    /// Holder to voter: support the lease while the platform is unavailable. Candidate to voter: agree to a
    /// takeover.
    SupportRequest(SupportRequest),
    /// Voter to holder or candidate: the vote. Also tells a node that a group was handed over to it.
    SupportAnswer(SupportAnswer),
    /// Probe of another node for failure detection and its catalogue version.
    Probe(Probe),
    /// Answer to a probe.
    ProbeAnswer(Probe),
    /// A node announces that it is leaving.
    Leaving(NodeId),
    /// VMs that take no new work, according to the VM list as read by some node.
    VmsLeaving(Vec<Arc<str>>),
    /// Catalogue changes, oldest first.
    CatalogueChanges(Vec<Arc<CatalogueChange>>),
    /// Asks a peer for the catalogue changes after a version.
    CatalogueWanted {
        /// Version that the asking node has in force.
        have_version: CatalogueVersion,
    },
    /// A complete catalogue, for a node that is too far behind for single changes.
    CatalogueSnapshot(Arc<Catalogue>),
}

/// Identifies an ask by the entry's request and the entry's time stamp of the ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AskName {
    /// Group whose broker was asked.
    pub group: GroupId,
    /// Number of the request at its entry.
    pub request: RequestId,
    /// Time on the entry's clock when it asked; echoed, and never compared with another clock.
    pub asked_at: Duration,
}

/// Identifies a grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantName {
    /// Group for which the grant was made.
    pub group: GroupId,
    /// Lease epoch in which the grant was made.
    pub epoch: Epoch,
    /// Number of the grant within its group and epoch.
    pub grant: GrantId,
}

/// A request for a slot, with everything that a broker needs to queue it and choose an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// Name of the ask.
    pub name: AskName,
    /// Service that should answer the request.
    pub service: ServiceId,
    /// Client account that sent the request.
    pub account: AccountId,
    /// Tier of the request.
    pub tier: Tier,
    /// Time left until the deadline for the complete answer.
    pub time_left: Duration,
    /// Whether the system may cancel the request once it runs.
    pub cancellable: bool,
    /// Hashes of the prompt's prefix at each block end.
    pub prefix_blocks: Arc<[BlockHash]>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer in tokens.
    pub output_tokens: u32,
    /// Hash of account and content, by which a request that crashes upstreams is recognized.
    pub fingerprint: Fingerprint,
}

/// The ask waits in the broker's queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Queued {
    /// Ask that the broker answers.
    pub ask: AskName,
    /// Lease epoch of the broker.
    pub epoch: Epoch,
    /// Predicted time until the request starts.
    pub predicted_wait: Duration,
}

/// The ask got a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Granted {
    /// Ask that the broker answers.
    pub ask: AskName,
    /// Grant that was made for the ask.
    pub grant: GrantName,
    /// Upstream to which the request is dispatched.
    pub upstream: UpstreamId,
    /// How long the grant is valid, counted from `ask.asked_at` on the entry's clock.
    ///
    /// The broker includes the time that the ask spent in its queue.
    pub valid_for: Duration,
    /// Time that the ask spent in the broker's queue, which is included in `valid_for`.
    pub queued_for: Duration,
    /// Predicted number of prompt tokens in the upstream's prefix cache.
    pub cached_tokens: u32,
}

/// The broker refuses the ask.
#[derive(Clone, Debug, PartialEq)]
pub struct AskRefused {
    /// Ask that the broker answers.
    pub ask: AskName,
    /// Lease epoch of the broker; 0 when it holds no lease of the group.
    pub epoch: Epoch,
    /// Reason for the refusal.
    pub reason: AskRefusal,
    /// Time after which a retry may succeed, if known.
    pub retry_after: Option<Duration>,
}

/// Why a broker refuses an ask.
#[derive(Clone, Debug, PartialEq)]
pub enum AskRefusal {
    /// This node does not hold the group.
    NotHolder {
        /// Holder of the group that this node knows of, if any.
        holder: Option<NodeId>,
    },
    /// Another group of the service has free slots; ask its broker instead.
    Elsewhere {
        /// Group that the message is about.
        group: GroupId,
    },
    /// The refusal is final and is passed on to the caller.
    Final {
        /// Reason for the refusal.
        code: RefusalCode,
    },
}

/// End and measurements of a stream, for the broker's model of its upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Finished {
    /// Grant that the message is about.
    pub grant: GrantName,
    /// How the stream ended.
    pub outcome: Outcome,
    /// Time from dispatch to the first token; `None` when no token arrived.
    pub first_token_after: Option<Duration>,
    /// Time from the first token to the end.
    pub streamed_for: Duration,
    /// Number of tokens received.
    pub tokens: u32,
    /// Prompt tokens that the engine reports to have found in its cache; `None` when it does not say.
    pub cached_tokens: Option<u32>,
}

/// One grant that an entry holds, as reported to the broker.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldGrant {
    /// Lease epoch in which the grant was made; older than the current one after a takeover.
    pub epoch: Epoch,
    /// Number of the grant within its group and epoch.
    pub grant: GrantId,
    /// Upstream that runs or ran the requests.
    pub upstream: UpstreamId,
    /// Tier of the request.
    pub tier: Tier,
    /// Whether the system may cancel the request.
    pub cancellable: bool,
    /// Client account that sent the request.
    pub account: AccountId,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer in tokens.
    pub output_tokens: u32,
    /// Number of tokens received so far.
    pub tokens: u32,
    /// Time since the last token, or since dispatch before the first token.
    pub silent_for: Duration,
}

/// All grants of one group that one entry holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Holding {
    /// Group that the message is about.
    pub group: GroupId,
    /// Newest lease epoch of the group that the entry has seen.
    pub epoch: Epoch,
    /// All grants that the entry holds; a grant that it has seen and that is missing here has ended.
    pub grants: Vec<HeldGrant>,
    /// Highest grant number of this epoch that the entry had received when it made the list.
    pub seen_grant: GrantId,
}

/// A new broker announces itself and asks every node for the grants it holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Reregister {
    /// Group that the message is about.
    pub group: GroupId,
    /// New lease epoch. Grants of older epochs that are not yet running become invalid.
    pub epoch: Epoch,
}

/// Free capacity and expected waits of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// Group that the message is about.
    pub group: GroupId,
    /// Lease epoch of the group that the message is about.
    pub epoch: Epoch,
    /// Service that the message is about.
    pub service: ServiceId,
    /// Number of slots that could be granted now.
    pub free_slots: u32,
    /// Predicted wait of a new ask of each tier, indexed by tier.
    pub predicted_wait: Vec<Duration>,
    /// Mean prefill time per thousand prompt tokens on the group's upstreams.
    pub prefill_per_thousand: Duration,
}

/// A broker has no capacity for a tier and asks the other brokers of the service not to start lower tiers.
#[derive(Clone, Debug, PartialEq)]
pub struct Yield {
    /// Service that the message is about.
    pub service: ServiceId,
    /// Lowest tier that may still start: nothing with a higher rank number may.
    pub tier: Tier,
    /// How long the restriction lasts, counted from receipt.
    pub lasts: Duration,
    /// Number of the round; echoed in the answer.
    pub round: u64,
}

/// Answer to a [`Yield`].
#[derive(Clone, Debug, PartialEq)]
pub struct YieldAnswer {
    /// Service that the message is about.
    pub service: ServiceId,
    /// Tier of the yield.
    pub tier: Tier,
    /// Number of the round, from the yield.
    pub round: u64,
    /// Answers of all groups of the service that the answering node holds.
    pub groups: Vec<GroupYield>,
}

/// Answer of one group to a yield.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupYield {
    /// Group that the message is about.
    pub group: GroupId,
    /// Lease epoch of the group that the message is about.
    pub epoch: Epoch,
    /// Whether the group has free slots for the tier, or still runs lower tiers.
    pub answer: YieldState,
}

/// State of a group with respect to a yield.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum YieldState {
    /// Nothing below the tier is running, and nothing below it will start while the yield lasts.
    Clear,
    /// The group has free slots for the tier.
    Room,
    /// Requests below the tier are still running, or the group can't grant at present.
    Busy,
}

/// An entry asks the home of a key whether the request may be dispatched.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRegister {
    /// Group whose broker is the home of the key.
    pub home: GroupId,
    /// Idempotency key of the request.
    pub key: RequestKey,
    /// Number of the request at its entry.
    pub request: RequestId,
    /// The entry's incarnation.
    pub incarnation: Incarnation,
}

/// Answer of a home about a key.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyAnswer {
    /// Group whose broker is the home of the key.
    pub home: GroupId,
    /// Lease epoch of the home; 0 when the node does not hold the group.
    pub epoch: Epoch,
    /// Idempotency key of the request.
    pub key: RequestKey,
    /// Request of the entry that asked.
    pub request: RequestId,
    /// State of the key at this home.
    pub state: KeyState,
}

/// State of a key at its home.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyState {
    /// The request that asked now owns the key.
    Owned,
    /// Another request owns the key and has not ended.
    Running {
        /// Entry whose request owns the key.
        entry: NodeId,
    },
    /// A request with this key was dispatched and has ended.
    Ended {
        /// How that request ended.
        outcome: Outcome,
    },
    /// This node is not the home, or became the home too recently to know all keys.
    NotReady,
}

/// A request with a key ended.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyEnded {
    /// Group whose broker is the home of the key.
    pub home: GroupId,
    /// Idempotency key of the request.
    pub key: RequestKey,
    /// Number of the request at its entry.
    pub request: RequestId,
    /// How the request ended; `None` when it was never dispatched, so that the key may be used again.
    pub outcome: Option<Outcome>,
}

/// The keys of a home that an entry knows.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRefill {
    /// Group whose broker is the home of the key.
    pub home: GroupId,
    /// Lease epoch of the home that the keys are sent to.
    pub epoch: Epoch,
    /// Known keys with their state.
    pub keys: Vec<KnownKey>,
}

/// State of a key as known to an entry or a home.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownKey {
    /// Idempotency key of the request.
    pub key: RequestKey,
    /// Entry whose request owns the key.
    pub entry: NodeId,
    /// Number of the request at its entry.
    pub request: RequestId,
    /// How the request ended; `None` while it runs.
    pub outcome: Option<Outcome>,
}

/// An upstream crashed while requests were running on it.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashObserved {
    /// Upstream that runs or ran the requests.
    pub upstream: UpstreamId,
    /// Group that the message is about.
    pub group: GroupId,
    /// Fingerprints of the reporting entry's requests that ran there and either had not finished their prefill
    /// or were the only ones running.
    pub fingerprints: Vec<Fingerprint>,
    /// Number of requests that were running there as far as the reporter knows; 0 when a broker announces that
    /// it quarantined these requests.
    pub on_board: u32,
}

/// A holder asks for support of its lease, or a candidate asks for agreement to a takeover.
#[derive(Clone, Debug, PartialEq)]
pub struct SupportRequest {
    /// Group that the message is about.
    pub group: GroupId,
    /// Lease epoch to support, or to end by a takeover.
    pub epoch: Epoch,
    /// Holder that asks for support, or candidate for the next epoch.
    pub node: NodeId,
    /// Whether `node` is a candidate for a takeover.
    pub takeover: bool,
    /// How long the support lasts; the voter counts from receipt and the asking node from sending.
    pub lasts: Duration,
    /// Time on the asking node's clock when it sent the request; echoed in the answer.
    pub sent_at: Duration,
}

/// Vote of a voter on a [`SupportRequest`].
#[derive(Clone, Debug, PartialEq)]
pub struct SupportAnswer {
    /// Group that the message is about.
    pub group: GroupId,
    /// Lease epoch of the group that the message is about.
    pub epoch: Epoch,
    /// Whether the request was for a takeover.
    pub takeover: bool,
    /// Whether the voter supports the lease, or agrees to the takeover.
    pub granted: bool,
    /// Send time from the request, on the asking node's clock.
    pub sent_at: Duration,
}

/// State that a node reports in a probe or in its answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Probe {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Data centre in which the sender runs.
    pub data_centre: DataCentreId,
    /// Catalogue version in force at the sender.
    pub catalogue_version: CatalogueVersion,
    /// Time since the sender last knew that version to be the newest; `None` when it never did.
    pub catalogue_age: Option<Duration>,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Whether a catalogue change may be in flight: in a probe, one by the sender; in an answer, any that the
    /// sender knows of.
    pub change_in_flight: bool,
    /// Time on the probing node's clock when it sent the probe; echoed in the answer.
    pub sent_at: Duration,
}
