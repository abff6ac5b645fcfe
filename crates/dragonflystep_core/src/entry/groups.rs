//! Per-group state of this node: the newest epoch, its broker, and the requests that hold grants.

use {
    crate::{
        context::View,
        ids::{Epoch, GrantId, GroupId, NodeId, RequestId},
        message::GrantName,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Rounds in which a group is still reported after its last grant ended. The repeats make up for a lost
/// message about that end.
const EMPTY_REPORTS: u8 = 4;

/// What this node knows of one group.
#[derive(Debug, Default)]
pub(super) struct GroupState {
    /// Newest epoch that this node has seen.
    pub epoch: Epoch,
    /// Broker of that epoch; `None` when it is unknown or was lost.
    pub broker: Option<NodeId>,
    /// Highest grant number of that epoch that this node has received.
    pub seen_grant: GrantId,
    /// Highest grant number of that epoch that a report listed as seen.
    pub reported_grant: GrantId,
    /// Requests that hold grants of the group.
    pub requests: BTreeSet<RequestId>,
    empty_reports_left: u8,
}

/// Records of all groups that this node has dealt with.
#[derive(Debug, Default)]
pub(super) struct Groups {
    records: BTreeMap<GroupId, GroupState>,
}

impl Groups {
    /// The record of a group, if there is one.
    pub fn get(&self, group: &str) -> Option<&GroupState> {
        self.records.get(group)
    }

    /// Records an epoch that a broker named. Returns false when a newer epoch is known.
    pub fn record_epoch(&mut self, group: &GroupId, epoch: Epoch, broker: &NodeId) -> bool {
        let record = self.records.entry(group.clone()).or_default();
        if epoch < record.epoch {
            return false;
        }
        if epoch > record.epoch {
            record.epoch = epoch;
            record.seen_grant = 0;
            record.reported_grant = 0;
        }
        record.broker = Some(broker.clone());
        true
    }

    /// Records a grant. Returns false when the grant must not be used.
    ///
    /// A grant that arrives after a report already covered its number was missing from that report, so its
    /// broker may have granted the slot to another request.
    pub fn record_grant(&mut self, grant: &GrantName, broker: &NodeId) -> bool {
        if !self.record_epoch(&grant.group, grant.epoch, broker) {
            return false;
        }
        let record = self.records.entry(grant.group.clone()).or_default();
        record.seen_grant = record.seen_grant.max(grant.grant);
        grant.grant > record.reported_grant
    }

    /// Records that a request holds a grant of the group.
    pub fn hold(&mut self, group: &GroupId, request: RequestId) {
        let record = self.records.entry(group.clone()).or_default();
        record.requests.insert(request);
        record.empty_reports_left = EMPTY_REPORTS;
    }

    /// Records that a request no longer holds a grant of the group.
    pub fn release(&mut self, group: &str, request: RequestId) {
        if let Some(record) = self.records.get_mut(group) {
            record.requests.remove(&request);
        }
    }

    /// The broker of the newest epoch that is known here or to the lease part.
    pub fn broker(&self, view: &View, group: &str) -> Option<NodeId> {
        let record = self.records.get(group);
        let seen = record.and_then(|record| Some((record.epoch, record.broker.clone()?)));
        let holder = view
            .holders
            .get(group)
            .map(|holder| (holder.epoch, holder.node.clone()));
        let (_, broker) = match (seen, holder) {
            (Some(seen), Some(holder)) if seen.0 > holder.0 => seen,
            (Some(seen), None) => seen,
            (_, holder) => holder?,
        };
        Some(broker)
    }

    /// The broker of the group, unless it is suspected or not a member.
    pub fn reachable_broker(&self, view: &View, group: &str) -> Option<NodeId> {
        let broker = self.broker(view, group)?;
        let is_local = broker == view.node.id;
        let member = view.members.get(&broker);
        let reachable = is_local || member.is_some_and(|member| !member.suspected);
        reachable.then_some(broker)
    }

    /// Drops a lost node as broker of its groups until a message names it again.
    pub fn forget_broker(&mut self, node: &NodeId) {
        for record in self.records.values_mut() {
            if record.broker.as_ref() == Some(node) {
                record.broker = None;
            }
        }
    }

    /// Groups whose grants have to be reported in this round. Counts down the reports of groups without
    /// grants.
    pub fn reports_due(&mut self) -> Vec<GroupId> {
        let mut due = Vec::new();
        for (group, record) in &mut self.records {
            if record.requests.is_empty() {
                if record.empty_reports_left == 0 {
                    continue;
                }
                record.empty_reports_left -= 1;
            }
            due.push(group.clone());
        }
        due
    }

    /// Records that all grants seen so far are covered by a report.
    pub fn reported(&mut self, group: &str) {
        if let Some(record) = self.records.get_mut(group) {
            record.reported_grant = record.seen_grant;
        }
    }
}
