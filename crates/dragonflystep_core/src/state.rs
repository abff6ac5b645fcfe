//! State of one node, and the reducer that passes each event to the parts of the node that handle it.

use {
    crate::{
        broker::Brokers,
        catalogue::Catalogue,
        catalogue_sync::CatalogueSync,
        claims::Claims,
        context::{Context, Signal, View},
        effect::Effect,
        entry::Entry,
        event::{Event, UpstreamEvent},
        ids::{DataCentreId, Incarnation, NodeId},
        keys::Keys,
        lease::Leases,
        membership::Membership,
        message::Message,
        stop::Stop,
        table::{TableCall, TableOutcome},
        timer::Timer,
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// Identity and addresses of a node, from its settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// Name of the node, unique within the system.
    pub id: NodeId,
    /// Number drawn at start, which tells this process from earlier ones of the same name.
    pub incarnation: Incarnation,
    /// Data centre in which the node runs.
    pub data_centre: DataCentreId,
    /// Address at which other nodes reach the node.
    pub mesh_address: Arc<str>,
    /// Address at which callers reach the node.
    pub caller_address: Arc<str>,
    /// Name of the node's VM in the platform's VM list; `None` when the settings name none.
    pub vm: Option<Arc<str>>,
}

/// Durations and sizes that the protocols use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// How long a lease lasts after the renewal was sent.
    pub lease_duration: Duration,
    /// Interval between two renewals of a lease.
    pub lease_renewal: Duration,
    /// How long a grant is valid after it was made.
    pub grant_validity: Duration,
    /// Margin for the drift between two clocks over one `lease_duration`; used for grants and for leases.
    pub drift_margin: Duration,
    /// Interval at which entries report their held grants and brokers report their free capacity.
    pub round: Duration,
    /// Interval between two probes of random members.
    pub probe_interval: Duration,
    /// How long after a confirmation the catalogue in force counts as the newest.
    pub catalogue_trust: Duration,
    /// Maximum time without progress on a stream.
    pub progress_timeout: Duration,
    /// How long a key is remembered after its request ended.
    pub key_memory: Duration,
    /// Maximum time since the last committed renewal up to which voters may extend a lease while the platform is
    /// unavailable.
    pub longest_extension: Duration,
    /// Number of catalogue changes between two snapshots of it.
    pub snapshot_every: u64,
    /// Parts of the broker's policy that are enabled.
    pub policy: PolicyParts,
}

/// Switches for parts of the broker's policy, so that experiments can show the effect of each part by disabling
/// it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyParts {
    /// Takes cached prompt prefixes into account when an upstream is chosen.
    pub prefix_model: bool,
    /// Shares the capacity of a tier fairly among client accounts, by the cost of their requests.
    pub fairness: bool,
    /// Refuses requests early that can't be answered before their deadline.
    pub early_refusal: bool,
    /// Adapts the limit of running requests, up to the limit in the catalogue.
    pub adaptive_limit: bool,
    /// Sends less work to upstreams that have become slow.
    pub straggler_signs: bool,
}

impl Default for PolicyParts {
    fn default() -> Self {
        Self {
            prefix_model: true,
            fairness: true,
            early_refusal: true,
            adaptive_limit: true,
            straggler_signs: true,
        }
    }
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_secs(3),
            lease_renewal: Duration::from_millis(1000),
            grant_validity: Duration::from_millis(1000),
            drift_margin: Duration::from_millis(100),
            round: Duration::from_millis(500),
            probe_interval: Duration::from_millis(500),
            catalogue_trust: Duration::from_secs(5),
            progress_timeout: Duration::from_secs(5),
            key_memory: Duration::from_secs(600),
            longest_extension: Duration::from_secs(600),
            snapshot_every: 2048,
            policy: PolicyParts::default(),
        }
    }
}

/// Complete state of one node.
#[derive(Debug)]
pub struct State {
    /// State that all parts of the reducer read.
    pub view: View,
    /// Requests that this node received from callers.
    pub entry: Entry,
    /// Brokers of the groups that this node holds.
    pub brokers: Brokers,
    /// Request keys for which this node is a home, and those for which its own requests wait.
    pub keys: Keys,
    /// Durable claims of non-idempotent requests.
    pub claims: Claims,
    /// Leases of the groups, and this node's votes on them.
    pub leases: Leases,
    /// Members of the system and the VM list.
    pub membership: Membership,
    /// Catalogue in force, and its synchronization with the other nodes and the platform.
    pub catalogue_sync: CatalogueSync,
    /// Progress of a planned stop.
    pub stop: Stop,
    random: SmallRng,
}

impl State {
    /// Creates the state of a node that has just started; `seed` initializes its random number generator.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_core::{NodeIdentity, State, Tuning};
    /// let node = NodeIdentity {
    ///     id: "entry-1".into(),
    ///     incarnation: 1,
    ///     data_centre: "a".into(),
    ///     mesh_address: "127.0.0.1:7001".into(),
    ///     caller_address: "127.0.0.1:8001".into(),
    ///     vm: None,
    /// };
    /// assert!(!State::new(node, Tuning::default(), 7).view.stopping);
    /// ```
    pub fn new(node: NodeIdentity, tuning: Tuning, seed: u64) -> Self {
        Self {
            view: View {
                node,
                tuning,
                catalogue: Arc::new(Catalogue::default()),
                catalogue_confirmed_at: None,
                own_change_in_flight: false,
                known_change_in_flight: false,
                members_read: false,
                members: BTreeMap::new(),
                holders: BTreeMap::new(),
                held: BTreeMap::new(),
                leaving_upstreams: BTreeSet::new(),
                confirmed_gone: BTreeSet::new(),
                silent: BTreeSet::new(),
                stopping: false,
            },
            entry: Entry::default(),
            brokers: Brokers::default(),
            keys: Keys::default(),
            claims: Claims::default(),
            leases: Leases::default(),
            membership: Membership::default(),
            catalogue_sync: CatalogueSync::default(),
            stop: Stop::default(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Handles one event that happened at `now` on the node's clock, and returns the effects for the driver to
    /// carry out.
    ///
    /// `now` is the time since an arbitrary fixed point and must never decrease.
    ///
    /// # Examples
    /// ```
    /// # use dragonflystep_core::{NodeIdentity, State, Tuning};
    /// use dragonflystep_core::Event;
    /// use std::time::Duration;
    /// # let node = NodeIdentity {
    /// #     id: "entry-1".into(),
    /// #     incarnation: 1,
    /// #     data_centre: "a".into(),
    /// #     mesh_address: "127.0.0.1:7001".into(),
    /// #     caller_address: "127.0.0.1:8001".into(),
    /// #     vm: None,
    /// # };
    /// let mut state = State::new(node, Tuning::default(), 7);
    /// let effects = state.reduce(Duration::ZERO, Event::Started);
    /// assert!(!effects.is_empty());
    /// ```
    pub fn reduce(&mut self, now: Duration, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut signals = VecDeque::new();
        self.handle_event(now, event, &mut effects, &mut signals);
        while let Some(signal) = signals.pop_front() {
            self.handle_signal(now, &signal, &mut effects, &mut signals);
        }
        effects
    }

    fn handle_event(
        &mut self,
        now: Duration,
        event: Event,
        effects: &mut Vec<Effect>,
        signals: &mut VecDeque<Signal>,
    ) {
        let Self {
            view,
            entry,
            brokers,
            keys,
            claims,
            leases,
            membership,
            catalogue_sync,
            stop,
            random,
        } = self;
        let context = &mut Context {
            now,
            view,
            random,
            effects,
            signals,
        };
        match event {
            Event::Started => {
                membership.start(context);
                catalogue_sync.start(context);
                leases.start(context);
                entry.start(context);
            }
            Event::TimerFired(timer) => match timer {
                Timer::RequestDeadline(request) => entry.deadline_passed(context, request),
                Timer::RequestRetry(request) => entry.retry_due(context, request),
                Timer::EntryRound => {
                    entry.round_due(context);
                    keys.round_due(context);
                }
                Timer::BrokerRound(group) => brokers.round_due(context, &group),
                Timer::LeaseRound => leases.round_due(context),
                Timer::MembershipRound => membership.round_due(context),
                Timer::CatalogueRound => catalogue_sync.round_due(context),
                Timer::ClaimRound => claims.round_due(context),
                Timer::StopRound => {
                    let open_requests = entry.open_requests();
                    if open_requests == 0 {
                        leases.retire(context);
                    }
                    let unsettled_writes = claims.unsettled()
                        + leases.unsettled_handovers(context.view)
                        + usize::from(leases.is_retiring());
                    stop.round_due(context, open_requests, unsettled_writes);
                }
            },
            Event::RequestReceived { request, facts } => {
                entry.request_received(context, request, facts)
            }
            Event::CallerLeft { request } => entry.caller_left(context, request),
            Event::Upstream(event) => match event {
                UpstreamEvent::CancelConfirmed { .. }
                | UpstreamEvent::LoadReported { .. }
                | UpstreamEvent::CacheReported { .. }
                | UpstreamEvent::WatchFailed { .. } => brokers.upstream_event(context, event),
                _ => entry.upstream_event(context, &event),
            },
            Event::MessageReceived { from, message } => {
                membership.heard(context, &from);
                match message {
                    Message::Queued(_)
                    | Message::Granted(_)
                    | Message::AskRefused(_)
                    | Message::Withdrawn(_)
                    | Message::CancelGrant(_)
                    | Message::Summary(_) => entry.message(context, &from, message),
                    Message::Reregister(reregister) => {
                        leases.holder_announced(context, &from, &reregister);
                        keys.home_changed(context, &from, &reregister);
                        entry.reregister(context, &from, &reregister);
                    }
                    Message::Ask(_)
                    | Message::Withdraw(_)
                    | Message::GrantReturned(_)
                    | Message::Started(_)
                    | Message::Finished(_)
                    | Message::Holding(_)
                    | Message::Yield(_)
                    | Message::YieldAnswer(_)
                    | Message::CrashObserved(_) => brokers.message(context, &from, message),
                    Message::KeyRegister(_)
                    | Message::KeyAnswer(_)
                    | Message::KeyEnded(_)
                    | Message::KeyRefill(_) => keys.message(context, &from, message),
                    Message::SupportRequest(_) | Message::SupportAnswer(_) => {
                        leases.message(context, &from, message);
                    }
                    Message::Probe(probe) => {
                        catalogue_sync.peer_probed(context, &from, &probe);
                        catalogue_sync.peer_asked(context, &from, &probe);
                        membership.probed(context, &from, &probe);
                    }
                    Message::ProbeAnswer(probe) => {
                        catalogue_sync.peer_probed(context, &from, &probe);
                        if membership.probe_answered(context, &from, &probe) {
                            catalogue_sync.peer_answered(context, &from, &probe);
                        }
                        catalogue_sync.own_probe_answered(context, &from, &probe);
                    }
                    Message::Leaving(node) => membership.leaving(context, &node),
                    Message::VmsLeaving(vms) => membership.vms_reported(context, &vms),
                    Message::CatalogueChanges(_)
                    | Message::CatalogueWanted { .. }
                    | Message::CatalogueSnapshot(_) => {
                        catalogue_sync.message(context, &from, message)
                    }
                }
            }
            Event::PeerLost { node } => {
                membership.peer_lost(context, &node);
                leases.peer_lost(context, &node);
                entry.peer_lost(context, &node);
            }
            Event::TableAnswered { call, outcome } => {
                let parts = TableParts {
                    claims,
                    leases,
                    membership,
                    catalogue_sync,
                };
                parts.answered(context, call, outcome);
            }
            Event::ObjectAnswered { call, outcome } => {
                catalogue_sync.objects_answered(context, call, &outcome);
            }
            Event::VmListRead { live, leaving } => {
                membership.vm_list_read(context, live, leaving);
            }
            Event::AdminCalled { call, command } => {
                catalogue_sync.admin_called(context, call, command)
            }
            Event::StopRequested => stop.requested(context),
        }
    }

    fn handle_signal(
        &mut self,
        now: Duration,
        signal: &Signal,
        effects: &mut Vec<Effect>,
        signals: &mut VecDeque<Signal>,
    ) {
        let Self {
            view,
            entry,
            brokers,
            keys,
            claims,
            leases,
            membership,
            stop,
            random,
            ..
        } = self;
        let context = &mut Context {
            now,
            view,
            random,
            effects,
            signals,
        };
        membership.signal(context, signal);
        leases.signal(context, signal);
        brokers.signal(context, signal);
        keys.signal(context, signal);
        claims.signal(context, signal);
        entry.signal(context, signal);
        stop.signal(context, signal);
    }
}

/// The parts of the reducer that call the table service, to which its answers are passed.
struct TableParts<'a> {
    claims: &'a mut Claims,
    leases: &'a mut Leases,
    membership: &'a mut Membership,
    catalogue_sync: &'a mut CatalogueSync,
}

impl TableParts<'_> {
    fn answered(self, context: &mut Context<'_>, call: TableCall, outcome: TableOutcome) {
        match call {
            TableCall::MemberScan => {
                let sent_at = self.membership.scan_sent_at();
                self.leases.members_scanned(context, &outcome, sent_at);
                self.membership.scanned(context, outcome);
            }
            TableCall::NodeRenewal
            | TableCall::NodeRead
            | TableCall::LeaseScan
            | TableCall::LeaseRead(_)
            | TableCall::LeaseChange(_)
            | TableCall::SuspectRead(_) => self.leases.table_answered(context, call, &outcome),
            TableCall::CatalogueHead
            | TableCall::CatalogueChanges(_)
            | TableCall::CatalogueCommit(_)
            | TableCall::CatalogueSettle(_)
            | TableCall::SnapshotRead
            | TableCall::SnapshotCheck
            | TableCall::SnapshotName
            | TableCall::SnapshotRemoval => {
                self.catalogue_sync.table_answered(context, &call, &outcome)
            }
            TableCall::ClaimCommit(_) | TableCall::ClaimRead(_) | TableCall::ClaimOutcome(_) => {
                self.claims.table_answered(context, &call, &outcome);
            }
        }
    }
}
