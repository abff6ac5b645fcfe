//! Distribution of catalogue versions: accepted changes come into force on every node and are never reverted.
//!
//! The table service keeps a head row with the newest version and one row for each change. A change is committed
//! in one transaction that requires the head row to be unchanged and the change's row to be absent. Versions
//! therefore rise by one and every version has exactly one content. Nodes poll the head every few seconds, learn
//! of versions from probes, receive new changes pushed by peers, and fetch what they lack from peers or from the
//! table. A node puts only the next version or a whole newer catalogue in force, never an older one.
//!
//! [`View::catalogue_confirmed_at`](crate::View) is a time before which no version newer than the one in force
//! was committed. It comes from one of three sources: the time at which a read of the head was sent; the age that
//! a peer reported, counted back from the time at which this node sent the probe; or a majority of the members
//! (see `quorum`).

mod change_flow;
mod checks;
mod confirm;
mod fetch;
mod follow;
mod history;
mod parts;
mod quorum;
mod rows;
mod snapshots;

pub(crate) use self::confirm::version_probe;
pub use self::{
    checks::{MOST_EDITS, find_faults},
    history::{History, KEPT_CHANGES},
    parts::split_edits,
    rows::{HEAD_KEY, HeadRow, change_key},
    snapshots::{
        MOST_REMOVED, NamedSnapshot, SNAPSHOT_FORMAT, SNAPSHOT_KEY, SnapshotError, SnapshotObject,
        SnapshotRow, decode_snapshot, encode_snapshot,
    },
};
use {
    self::{
        change_flow::PendingChange, confirm::Confirmation, fetch::Fetch, follow::Head,
        quorum::Quorum, snapshots::Snapshots,
    },
    crate::{
        admin::{AdminAnswer, AdminCommand, GroupStatus, NodeStatus, SystemStatus},
        context::Context,
        effect::Effect,
        ids::{AdminCallId, NodeId},
        message::{Message, Probe},
        table::{TableCall, TableOutcome},
        timer::Timer,
    },
    std::{collections::VecDeque, time::Duration},
};

/// Interval of the periodic round.
const ROUND: Duration = Duration::from_millis(100);

/// State of the distribution of catalogue versions on one node.
#[derive(Debug, Default)]
pub struct CatalogueSync {
    history: History,
    head: Head,
    fetch: Fetch,
    /// Unsettled changes; only the first one is processed.
    pending: VecDeque<PendingChange>,
    next_number: u64,
    confirmations: Vec<Confirmation>,
    quorum: Quorum,
    snapshots: Snapshots,
}

impl CatalogueSync {
    /// Runs the first periodic round.
    pub fn start(&mut self, context: &mut Context<'_>) {
        self.round_due(context);
    }

    /// Runs one round: polls the head, fetches missing versions, and advances pending changes and snapshots.
    pub fn round_due(&mut self, context: &mut Context<'_>) {
        context.start_timer(ROUND, Timer::CatalogueRound);
        self.note_members(context);
        self.update_change_in_flight(context);
        self.read_head_when_due(context);
        self.fetch_when_due(context);
        self.advance_pending_changes(context);
        self.end_proposal_when_done(context);
        self.confirm_when_due(context);
        self.write_snapshot_when_due(context);
    }

    /// Records the version in a peer's probe, and requests it if it is newer.
    pub fn peer_probed(&mut self, context: &mut Context<'_>, from: &NodeId, probe: &Probe) {
        self.note_version(context, probe.catalogue_version);
        if probe.catalogue_version > context.view.catalogue.version {
            self.peer_has(context, from, probe.catalogue_version);
        }
    }

    /// Records whether a peer's probe announces a change of its own.
    pub fn peer_asked(&mut self, context: &mut Context<'_>, from: &NodeId, probe: &Probe) {
        self.peer_announced(context, from, probe);
    }

    /// Records that a peer received this node's announcement of a change.
    pub fn own_probe_answered(&mut self, context: &mut Context<'_>, from: &NodeId, probe: &Probe) {
        self.proposal_answered(context, from, probe);
    }

    /// Records how recently a peer confirmed its version, from the answer to a probe of this node.
    ///
    /// The reported age counts from the peer's answer, which comes after the probe was sent. Counting it back from the
    /// time of sending, less a margin for clock drift, therefore never makes the confirmation newer than it was.
    pub fn peer_answered(&mut self, context: &mut Context<'_>, from: &NodeId, probe: &Probe) {
        self.peer_vouched(context, from, probe);
        let Some(age) = probe.catalogue_age else {
            return;
        };
        let margin = crate::lease::drift_margin(&context.view.tuning, age);
        if let Some(confirmed_at) = probe.sent_at.checked_sub(age + margin) {
            self.confirm_newest(context, probe.catalogue_version, confirmed_at);
        }
    }

    /// Handles a message that requests or carries changes or a whole catalogue.
    pub fn message(&mut self, context: &mut Context<'_>, from: &NodeId, message: Message) {
        match message {
            Message::CatalogueChanges(changes) => self.changes_received(context, &changes),
            Message::CatalogueWanted { have_version } => {
                self.send_missing_changes(context, from, have_version);
            }
            Message::CatalogueSnapshot(catalogue) => self.snapshot_received(context, catalogue),
            _ => {}
        }
    }

    /// Handles an answer of the table service.
    pub fn table_answered(
        &mut self,
        context: &mut Context<'_>,
        call: &TableCall,
        outcome: &TableOutcome,
    ) {
        match call {
            TableCall::CatalogueHead => self.head_read(context, outcome),
            TableCall::CatalogueChanges(_) => self.changes_read(context, outcome),
            TableCall::CatalogueCommit(number) => self.commit_answered(context, *number, outcome),
            TableCall::CatalogueSettle(number) => self.settled(context, *number, outcome),
            TableCall::SnapshotRead => self.load_row_read(context, outcome),
            TableCall::SnapshotCheck => self.snapshot_row_read(context, outcome),
            TableCall::SnapshotName => self.snapshot_named(context, outcome),
            TableCall::SnapshotRemoval => self.changes_removed(context, outcome),
            _ => {}
        }
    }

    /// Handles an operator's call.
    pub fn admin_called(
        &mut self,
        context: &mut Context<'_>,
        call: AdminCallId,
        command: AdminCommand,
    ) {
        let answer = match command {
            AdminCommand::ShowCatalogue => AdminAnswer::Catalogue(context.view.catalogue.clone()),
            AdminCommand::ShowHistory { since } => {
                let changes = self.history.since(since);
                AdminAnswer::History(changes.iter().map(|change| (**change).clone()).collect())
            }
            AdminCommand::ShowStatus => AdminAnswer::Status(status(context)),
            AdminCommand::ChangeCatalogue { .. } => {
                self.change_requested(context, call, command);
                return;
            }
        };
        context.effect(Effect::AnswerAdmin { call, answer });
    }
}

fn status(context: &Context<'_>) -> SystemStatus {
    let view = &context.view;
    let own = NodeStatus {
        node: view.node.id.clone(),
        catalogue_version: view.catalogue.version,
        leaving: view.stopping,
        silent_ms: 0,
    };
    let others = view.members.iter().map(|(node, member)| {
        let silence = context
            .now
            .saturating_sub(member.heard_at.unwrap_or_default());
        NodeStatus {
            node: node.clone(),
            catalogue_version: member.catalogue_version,
            leaving: member.leaving,
            silent_ms: u64::try_from(silence.as_millis()).unwrap_or(u64::MAX),
        }
    });
    let groups = view.holders.iter().map(|(group, holder)| GroupStatus {
        group: group.clone(),
        holder: Some(holder.node.clone()),
        epoch: holder.epoch,
    });
    SystemStatus {
        nodes: std::iter::once(own).chain(others).collect(),
        groups: groups.collect(),
    }
}
