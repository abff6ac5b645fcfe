//! State and outputs that the parts of the reducer share while they handle one event.

use {
    crate::{
        catalogue::Catalogue,
        effect::{Effect, LogLevel, LogLine},
        ids::{
            CatalogueVersion, DataCentreId, Epoch, GroupId, Incarnation, NodeId, RequestId,
            ServiceId, UpstreamId,
        },
        message::Message,
        request::{Outcome, Refusal, RequestKey},
        state::{NodeIdentity, Tuning},
        timer::Timer,
    },
    rand::rngs::SmallRng,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// State that every part of the reducer may read. Each field is written by one part only.
#[derive(Clone, Debug)]
pub struct View {
    /// Identity and addresses of this node.
    pub node: NodeIdentity,
    /// Durations and sizes that the protocols use.
    pub tuning: Tuning,
    /// The catalogue in force on this node; written by `catalogue_sync`.
    pub catalogue: Arc<Catalogue>,
    /// When the catalogue in force was last known to be the newest, if ever; written by `catalogue_sync`.
    pub catalogue_confirmed_at: Option<Duration>,
    /// Whether a catalogue change by this node may be in flight; written by `catalogue_sync`.
    pub own_change_in_flight: bool,
    /// Whether a catalogue change by another node may be in flight; written by `catalogue_sync`.
    pub known_change_in_flight: bool,
    /// Whether the member list was read from the table at least once; written by `membership`.
    pub members_read: bool,
    /// The other nodes of the system; written by `membership`.
    pub members: BTreeMap<NodeId, Member>,
    /// Nodes that were removed from the members only because they were silent, and whose rows still exist;
    /// written by `membership`.
    ///
    /// They may be alive on the other side of a network partition, and may still serve requests by what they and
    /// others on their side know.
    pub silent: BTreeSet<NodeId>,
    /// The newest known holder of each group; written by `lease`.
    pub holders: BTreeMap<GroupId, Holder>,
    /// Groups that this node holds; written by `lease`.
    pub held: BTreeMap<GroupId, HeldLease>,
    /// Upstreams that take no new work, from the catalogue and the VM list; written by `membership`.
    pub leaving_upstreams: BTreeSet<UpstreamId>,
    /// Nodes whose process has certainly ended, as confirmed by the VM list; written by `membership`.
    pub confirmed_gone: BTreeSet<NodeId>,
    /// Whether this node is stopping; written by `stop`.
    pub stopping: bool,
}

impl View {
    /// Epoch in which this node may grant for the group at `now`; `None` when it may not.
    ///
    /// After a pause of its process, a node finds by this check that its lease has expired before it grants
    /// anything.
    pub fn granting_epoch(&self, group: &str, now: Duration) -> Option<Epoch> {
        let lease = self.held.get(group)?;
        (now < lease.valid_until).then_some(lease.epoch)
    }

    /// Whether the catalogue in force was confirmed as the newest within the last `catalogue_trust`.
    pub fn catalogue_is_fresh(&self, now: Duration) -> bool {
        self.catalogue_confirmed_at.is_some_and(|confirmed_at| {
            now.saturating_sub(confirmed_at) <= self.tuning.catalogue_trust
        })
    }
}

/// What this node knows of another node of the system.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Incarnation of the member's process.
    pub incarnation: Incarnation,
    /// Data centre in which the member runs.
    pub data_centre: DataCentreId,
    /// Address at which other nodes reach the member.
    pub mesh_address: Arc<str>,
    /// Address at which callers reach the member.
    pub caller_address: Arc<str>,
    /// Whether the member is stopping and takes no new work.
    pub leaving: bool,
    /// Newest catalogue version that the member is known to have in force.
    pub catalogue_version: CatalogueVersion,
    /// When the last message from the member arrived; `None` before the first.
    pub heard_at: Option<Duration>,
    /// Whether the member is suspected to be unreachable; cleared by any message from it.
    pub suspected: bool,
}

/// Node that holds the lease of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Node that holds the lease.
    pub node: NodeId,
    /// Epoch of its lease.
    pub epoch: Epoch,
}

/// Lease of a group that this node holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Epoch in which this node holds the group.
    pub epoch: Epoch,
    /// Time on the node's clock until which it may grant.
    pub valid_until: Duration,
}

/// Notification from one part of the reducer to the others.
#[derive(Clone, Debug, PartialEq)]
pub enum Signal {
    /// This node acquired the lease of a group. It may grant once it knows which requests run on the group's
    /// upstreams.
    LeaseAcquired {
        /// Group whose lease or holder changed.
        group: GroupId,
        /// Epoch of the acquired lease.
        epoch: Epoch,
    },
    /// This node no longer holds a group.
    LeaseLost {
        /// Group whose lease or holder changed.
        group: GroupId,
    },
    /// The known holder of a group changed.
    HolderChanged {
        /// Group whose lease or holder changed.
        group: GroupId,
    },
    /// A new version of the catalogue is in force.
    CatalogueApplied,
    /// A node was added to the members.
    MemberJoined {
        /// Node that joined.
        node: NodeId,
    },
    /// A node was removed from the members: its process has ended, it was replaced, or it was silent for too
    /// long.
    MemberGone {
        /// Node that was removed.
        node: NodeId,
        /// Incarnation that was removed.
        incarnation: Incarnation,
    },
    /// The set of upstreams that take no new work has changed.
    LeavingUpstreamsChanged,
    /// A non-idempotent request with a key needs a durable claim before it is dispatched.
    ClaimWanted {
        /// Request that the notification is about.
        request: RequestId,
        /// Key of the request.
        key: RequestKey,
    },
    /// A request for which a claim was asked ended, or was given up without being dispatched.
    ClaimEnded {
        /// Request that the notification is about.
        request: RequestId,
        /// Key of the request.
        key: RequestKey,
        /// How the request ended; `None` when it was never dispatched, so that the claim is removed.
        outcome: Option<Outcome>,
    },
    /// A request with a key needs to own the key at the key's homes.
    KeyWanted {
        /// Request that the notification is about.
        request: RequestId,
        /// Key of the request.
        key: RequestKey,
        /// Service of the request; the homes of the key are groups of this service.
        service: ServiceId,
    },
    /// A request with a key ended, or was given up without being dispatched.
    KeyEnded {
        /// Request that the notification is about.
        request: RequestId,
        /// Key of the request.
        key: RequestKey,
        /// How the request ended; `None` when it was never dispatched, so that the key may be used again.
        outcome: Option<Outcome>,
    },
    /// The claim is written, so the non-idempotent request may be dispatched.
    ClaimGranted {
        /// Request that the notification is about.
        request: RequestId,
    },
    /// The claim can't be obtained.
    ClaimDenied {
        /// Request that the notification is about.
        request: RequestId,
        /// Refusal with which the request ends.
        refusal: Refusal,
    },
    /// The request owns its key at all homes that could be asked.
    KeyGranted {
        /// Request that the notification is about.
        request: RequestId,
    },
    /// The request can't own its key, for example because another request owns it.
    KeyDenied {
        /// Request that the notification is about.
        request: RequestId,
        /// Refusal with which the request ends.
        refusal: Refusal,
    },
    /// The node started its planned stop.
    StopBegan,
}

/// Access to the shared state, and to the effects and signals that a part emits, while one event is handled.
#[derive(Debug)]
pub struct Context<'a> {
    /// Time of the event on the node's clock.
    pub now: Duration,
    /// Shared state.
    pub view: &'a mut View,
    /// Random number generator, seeded by the driver at start.
    pub random: &'a mut SmallRng,
    /// Effects emitted so far for this event.
    pub effects: &'a mut Vec<Effect>,
    /// Signals not yet delivered.
    pub signals: &'a mut VecDeque<Signal>,
}

impl Context<'_> {
    /// Emits an effect for the driver.
    pub fn effect(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Emits the effect that sends a message to a node.
    pub fn send(&mut self, to: &NodeId, message: Message) {
        self.effects.push(Effect::Send {
            to: to.clone(),
            message,
        });
    }

    /// Starts a timer that fires `after` from now.
    pub fn start_timer(&mut self, after: Duration, timer: Timer) {
        self.effects.push(Effect::StartTimer {
            at: self.now + after,
            timer,
        });
    }

    /// Emits a signal, which is delivered to all parts after the event is handled.
    pub fn signal(&mut self, signal: Signal) {
        self.signals.push_back(signal);
    }

    /// Emits a log line with a fixed text and named values.
    pub fn log(
        &mut self,
        level: LogLevel,
        text: &'static str,
        fields: Vec<(&'static str, String)>,
    ) {
        self.effects.push(Effect::Log(LogLine {
            level,
            text,
            fields,
        }));
    }
}
