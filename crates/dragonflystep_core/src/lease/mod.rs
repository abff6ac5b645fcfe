//! Leases: at most one node grants for a group at any time.
//!
//! # How a lease is held
//!
//! A node renews its own row ([`NodeRow`]) by compare-and-set; this renews all leases that it holds, so that the
//! number of writes does not depend on the number of groups. A group's row ([`GroupRow`]) names the holder, its
//! incarnation, the epoch and the voters. Clocks of different nodes are never compared: a duration is always
//! counted on one clock, and a margin covers the drift between two clocks.
//!
//! The holder grants until `sent + lease duration`, where `sent` is the time read before sending the last
//! renewal that is known to be committed. While the platform is unavailable, the support of a majority of the
//! row's voters extends this to `sent + lasts - margin`, but never beyond `longest_extension` after the last
//! committed renewal.
//!
//! # Why two nodes never grant for one group
//!
//! A candidate writes the next epoch in a transaction. For an unfenced row of the holder's incarnation the
//! transaction requires that the group's row and the holder's row are still at the versions that the candidate
//! has read, and it marks the holder's row as fenced. Before that, conditions 1 and either 2, 3 or 4 must hold:
//!
//! 1. the candidate has seen the holder's row unchanged for the lease duration in that row plus a margin. The
//!    renewal was sent before the candidate saw it, so its validity has expired; a later renewal would have
//!    changed the version, and the transaction would fail. After the transaction the holder's next renewal
//!    fails;
//! 2. a majority of the voters in the group's row has agreed. A voter agrees only when none of its own promises
//!    is still valid, and does not support the holder afterwards. Each extension needs a majority of the same
//!    list, so at least one voter is in both majorities. If that voter promised first, it agreed only after the
//!    promise had expired on its own clock, counted from receipt, which is later than the holder counts. If it
//!    agreed first, it did not promise. The list changes only by a write of the row, and the transaction depends
//!    on the row's version; while the outcome of a write by the holder is unknown, the holder needs a majority
//!    of both lists;
//! 3. or, instead of votes, the row has been unchanged for `longest_extension` plus a margin, after which no
//!    extension can still be valid;
//! 4. or the group's row names no voters: then no majority could have extended the lease. A row has no voters
//!    while its holder knows of no other node and has not been alone for long.
//!
//! A holder changes the voter list only while its lease is based on a renewal and not on an extension. The
//! voters of the old list are bound by their promises, those of the new list are not, and only the wait of
//! condition 1 then prevents a takeover while the lease is valid.
//!
//! If the holder's row is fenced or was replaced by another incarnation, the incarnation in the group's row
//! can't renew before it has read the change, and when it reads it, it gives up all its leases, including those
//! from older group rows that it reads only later. So the transaction then depends on the group's row alone;
//! votes are still needed. This applies only if the version of the holder's row is newer than the group's row;
//! an older one may predate that incarnation and is treated like any other row. A node that starts under a name
//! whose row is not fenced waits as long as a candidate would before it overwrites the row.
//!
//! A stopping node stops granting before it writes the new holders of its groups. When no other node is live it
//! releases the groups: the row then has the next epoch, which nobody ever holds, and no voters, so that nobody
//! can extend it. The next holder overwrites the row on the condition of the row's version alone, without votes.
//! Promises and agreements for earlier epochs have no effect any more, since their transactions depend on the
//! earlier version of the row. Once its handovers are settled and no request is open, the node fences its own
//! row and never renews again, so the next process under its name does not have to wait either.
//!
//! A voter's agreement does not expire with time, because a transaction may take effect late. It becomes void
//! when the voter knows that the transaction can no longer take effect: the candidate saw some version `v` of
//! the holder's row before the voter agreed; the voter then sends a read, which shows a version `w >= v`, and
//! later sees a newer one. From then on it supports the holder again. A restarted voter has lost its agreements,
//! and the same rule covers them: it supports a holder only after it has seen two versions of the holder's row
//! since its start. It has lost its promises too, so it agrees to no takeover until the longest possible promise
//! has expired. Voters that the VM list shows as gone count as agreeing once their promises have expired;
//! silence alone does not prove that a node is dead, since a network partition looks the same.
//!
//! All this relies on clocks that keep running while a process is paused, and on a driver that answers each
//! table call exactly once.

mod extension;
mod groups;
mod handover;
mod lone_node;
mod placement;
mod renewal;
mod rows;
mod support;
mod takeover;
mod timing;
mod upkeep;
mod watch;

pub use self::{
    placement::{MAX_VOTERS, choose_voters, weight},
    rows::{
        GROUP_PREFIX, GroupRow, NODE_PREFIX, NodeRow, group_key, node_key, read_group_row,
        read_node_row, to_value,
    },
    timing::{
        cluster_size, drift_margin, jittered, lease_duration, lease_scan_interval,
        member_scan_interval, renewal_interval,
    },
};
use {
    self::{
        extension::Extension,
        groups::{KnownGroup, UnsettledVoters, set_holder},
        renewal::{OwnRow, OwnRowChange},
        support::Votes,
        takeover::Candidacy,
        watch::NodeWatch,
    },
    crate::{
        context::{Context, Signal},
        ids::{Epoch, GroupId, NodeId},
        message::Reregister,
        table::{TableCall, TableOutcome},
        timer::Timer,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Number of lease rounds per renewal interval; each round checks what is due.
const ROUNDS_PER_RENEWAL: u32 = 10;
/// Wait before a change of a group is tried again after the table was unavailable or the outcome was unknown.
const CHANGE_RETRY: Duration = Duration::from_millis(500);

/// Lease state of this node: its own row, the rows it has read, its votes and its takeover attempts.
#[derive(Debug, Default)]
pub struct Leases {
    own: OwnRow,
    watch: NodeWatch,
    votes: Votes,
    /// Groups named by the catalogue.
    groups: BTreeSet<GroupId>,
    rows: BTreeMap<GroupId, KnownGroup>,
    has_scanned: bool,
    /// Whether a scan for many new groups is pending. Until it is done, only nodes of rank 0 create group rows.
    awaits_scan: bool,
    /// Whether the member list was read. Before that, this node would choose itself as the only voter.
    has_seen_members: bool,
    /// Since when this node has known of no other live node; `None` while it knows of one.
    alone_since: Option<Duration>,
    given_up: BTreeMap<GroupId, Epoch>,
    /// Groups with a transaction in flight, each with the group that the transaction is named after.
    changing: BTreeMap<GroupId, GroupId>,
    not_before: BTreeMap<GroupId, Duration>,
    unsettled_voters: BTreeMap<GroupId, UnsettledVoters>,
    candidacies: BTreeMap<GroupId, Candidacy>,
    extensions: BTreeMap<GroupId, Extension>,
    dead_since: BTreeMap<NodeId, Duration>,
    watched_holders: BTreeSet<NodeId>,
    reading: BTreeSet<GroupId>,
    node_reads: BTreeMap<NodeId, Duration>,
    scan_in_flight: bool,
    next_scan_at: Duration,
    next_support_at: Duration,
    next_balance_at: Duration,
    next_refresh_at: Duration,
    next_watch_at: Duration,
    next_watch_list_at: Duration,
}

impl Leases {
    /// Starts the lease rounds.
    pub fn start(&mut self, context: &mut Context<'_>) {
        self.votes.started(context.now);
        self.catalogue_applied(context);
        self.round_due(context);
    }

    /// Runs a lease round: renews the own row, extends leases, and checks for groups that need a holder.
    pub fn round_due(&mut self, context: &mut Context<'_>) {
        let interval = context.view.tuning.lease_renewal / ROUNDS_PER_RENEWAL;
        context.start_timer(interval, Timer::LeaseRound);
        self.own.round_due(context);
        self.scan_when_due(context);
        self.record_dead_nodes(context);
        self.update_alone_since(context);
        self.extend(context);
        if context.view.stopping {
            self.hand_over_all(context);
            return;
        }
        self.watch_holders(context);
        for group in self.groups_to_check(context) {
            self.check_group(context, &group);
        }
        self.balance(context);
        self.refresh_all_voters(context);
    }

    /// Records a new holder that announced itself, and gives up the lease if its epoch is newer.
    pub fn holder_announced(
        &mut self,
        context: &mut Context<'_>,
        from: &NodeId,
        reregister: &Reregister,
    ) {
        let is_newer = context
            .view
            .held
            .get(&reregister.group)
            .is_some_and(|lease| lease.epoch < reregister.epoch);
        if is_newer {
            self.lose(context, &reregister.group);
        }
        set_holder(context, &reregister.group, from, reregister.epoch);
    }

    /// Reads the row of a watched holder that can't be reached.
    pub fn peer_lost(&mut self, context: &mut Context<'_>, node: &NodeId) {
        if self.watched_holders.contains(node) {
            self.read_node(context, node);
        }
    }

    /// Processes a scan of the node rows that was sent at `read_sent_at`.
    pub fn members_scanned(
        &mut self,
        context: &mut Context<'_>,
        outcome: &TableOutcome,
        read_sent_at: Duration,
    ) {
        let TableOutcome::Rows(rows) = outcome else {
            return;
        };
        let found = rows
            .iter()
            .filter_map(|row| row.key.strip_prefix(NODE_PREFIX))
            .map(NodeId::from)
            .collect();
        self.has_seen_members = true;
        self.watch.keep_only(&found);
        self.observe_rows(context, rows, Some(read_sent_at));
    }

    /// Handles an answer of the table service.
    pub fn table_answered(
        &mut self,
        context: &mut Context<'_>,
        call: TableCall,
        outcome: &TableOutcome,
    ) {
        match call {
            TableCall::NodeRenewal | TableCall::NodeRead => {
                let change = self.own.answered(context, outcome);
                self.own_row_changed(context, change);
            }
            TableCall::LeaseScan => self.groups_scanned(context, outcome),
            TableCall::LeaseRead(group) => {
                self.reading.remove(&group);
                self.observe_outcome(context, outcome, None);
                self.check_group_unless_stopping(context, &group);
            }
            TableCall::LeaseChange(group) => self.change_answered(context, &group, outcome),
            TableCall::SuspectRead(node) => self.node_read(context, &node, outcome),
            _ => {}
        }
    }

    fn observe_outcome(
        &mut self,
        context: &mut Context<'_>,
        outcome: &TableOutcome,
        read_sent_at: Option<Duration>,
    ) {
        match outcome {
            TableOutcome::Rows(rows)
            | TableOutcome::Committed(rows)
            | TableOutcome::Conflicted(rows) => self.observe_rows(context, rows, read_sent_at),
            TableOutcome::Unavailable | TableOutcome::Unknown => {}
        }
    }

    fn groups_scanned(&mut self, context: &mut Context<'_>, outcome: &TableOutcome) {
        self.scan_in_flight = false;
        if let TableOutcome::Rows(_) = outcome {
            self.has_scanned = true;
            self.awaits_scan = false;
        }
        self.observe_outcome(context, outcome, None);
    }

    fn change_answered(
        &mut self,
        context: &mut Context<'_>,
        name: &GroupId,
        outcome: &TableOutcome,
    ) {
        let groups: Vec<GroupId> = self
            .changing
            .iter()
            .filter(|(_, named)| *named == name)
            .map(|(group, _)| group.clone())
            .collect();
        self.changing.retain(|_, named| named != name);
        self.observe_outcome(context, outcome, None);
        match outcome {
            TableOutcome::Committed(_) => self.notify_new_holders(context, &groups),
            TableOutcome::Conflicted(_) | TableOutcome::Rows(_) => {}
            TableOutcome::Unavailable => self.wait_before_change(context, &groups),
            TableOutcome::Unknown => {
                self.wait_before_change(context, &groups);
                for group in &groups {
                    self.read_group(context, group);
                }
            }
        }
        for group in &groups {
            self.check_group_unless_stopping(context, group);
        }
    }

    fn wait_before_change(&mut self, context: &mut Context<'_>, groups: &[GroupId]) {
        for group in groups {
            let retry_at = context.now + jittered(context.random, CHANGE_RETRY);
            self.not_before.insert(group.clone(), retry_at);
        }
    }

    fn check_group_unless_stopping(&mut self, context: &mut Context<'_>, group: &GroupId) {
        if !context.view.stopping && self.groups.contains(group) {
            self.check_group(context, group);
        }
    }

    fn own_row_changed(&mut self, context: &mut Context<'_>, change: OwnRowChange) {
        match change {
            OwnRowChange::Unchanged => {}
            OwnRowChange::Lost => self.lose_all(context),
            OwnRowChange::Renewed => {
                let Some(valid_until) = self.own.valid_until() else {
                    return;
                };
                for lease in context.view.held.values_mut() {
                    lease.valid_until = lease.valid_until.max(valid_until);
                }
            }
        }
    }

    /// Handles a signal from another part of the reducer.
    pub fn signal(&mut self, context: &mut Context<'_>, signal: &Signal) {
        match signal {
            Signal::CatalogueApplied => self.catalogue_applied(context),
            Signal::StopBegan => {
                self.own.renew_soon();
                self.own.round_due(context);
                self.hand_over_all(context);
            }
            Signal::MemberJoined { .. } | Signal::MemberGone { .. } => {
                self.next_watch_list_at = Duration::ZERO;
                self.next_refresh_at = Duration::ZERO;
            }
            _ => {}
        }
    }
}
