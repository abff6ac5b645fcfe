//! Membership: the nodes of the system, and the upstreams that are leaving.
//!
//! Members come from the node rows in the table service, which each node scans periodically. Between scans,
//! probes of random peers and all other messages show which members are reachable. The cost per node is constant
//! except for the scan, whose interval grows with the number of nodes. While the table service is unavailable
//! the last known members are kept, since an outage of the platform says nothing about them.

mod probe;
mod scan;
mod vms;

pub use self::vms::{FEW_NODES, vm_list_interval};
use {
    self::{probe::Probes, scan::SeenNode, vms::Vms},
    crate::{
        context::{Context, Signal},
        effect::LogLevel,
        ids::{Incarnation, NodeId},
        lease::jittered,
        timer::Timer,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Membership state of this node: the node rows it has read, its open probes and the VM list.
#[derive(Debug, Default)]
pub struct Membership {
    seen: BTreeMap<NodeId, SeenNode>,
    probes: Probes,
    vms: Vms,
    scan_in_flight: bool,
    last_scan_failed: bool,
    scan_sent_at: Duration,
    next_scan_at: Duration,
}

impl Membership {
    /// Starts the membership rounds.
    pub fn start(&mut self, context: &mut Context<'_>) {
        self.round_due(context);
    }

    /// Runs a membership round: scans the member list if due, probes random members and repeats VM
    /// announcements.
    pub fn round_due(&mut self, context: &mut Context<'_>) {
        let interval = jittered(context.random, context.view.tuning.probe_interval);
        context.start_timer(interval, Timer::MembershipRound);
        self.scan_when_due(context);
        self.probe_random_members(context);
        self.repeat_announcements(context);
    }

    /// Records that a message from a node arrived, which clears any suspicion of it.
    pub fn heard(&mut self, context: &mut Context<'_>, from: &NodeId) {
        let Some(member) = context.view.members.get_mut(from) else {
            return;
        };
        member.heard_at = Some(context.now);
        member.suspected = false;
        context.view.confirmed_gone.remove(from);
    }

    /// Marks a member as leaving as soon as it announces that, without waiting for the next scan.
    pub fn leaving(&mut self, context: &mut Context<'_>, node: &NodeId) {
        if let Some(member) = context.view.members.get_mut(node) {
            member.leaving = true;
        }
    }

    /// Marks a member that can't be reached as suspected.
    pub fn peer_lost(&mut self, context: &mut Context<'_>, node: &NodeId) {
        if let Some(member) = context.view.members.get_mut(node) {
            member.suspected = true;
        }
    }

    /// Handles a reading of the VM list.
    pub fn vm_list_read(
        &mut self,
        context: &mut Context<'_>,
        live: BTreeSet<Arc<str>>,
        leaving: BTreeSet<Arc<str>>,
    ) {
        let mut new_vms = self.vms.read(context.now, live, leaving);
        let referred = self.referred_vms(context);
        self.vms.keep_only(&referred);
        new_vms.retain(|vm| referred.contains(vm));
        self.update_leaving_upstreams(context);
        self.confirm_gone_members(context);
        self.announce_vms(context, new_vms);
    }

    /// Handles a signal from another part of the reducer.
    pub fn signal(&mut self, context: &mut Context<'_>, signal: &Signal) {
        if *signal == Signal::CatalogueApplied {
            self.update_leaving_upstreams(context);
        }
    }

    /// Removes a node from the members, because its process has ended, it was replaced, or it was silent for too
    /// long.
    fn remove_member(&mut self, context: &mut Context<'_>, node: &NodeId) {
        let Some(member) = context.view.members.remove(node) else {
            return;
        };
        self.probes.forget(node);
        self.announce_removal(context, node, member.incarnation);
    }

    fn announce_removal(
        &mut self,
        context: &mut Context<'_>,
        node: &NodeId,
        incarnation: Incarnation,
    ) {
        context.log(
            LogLevel::Info,
            "member gone",
            vec![
                ("node", node.to_string()),
                ("incarnation", incarnation.to_string()),
            ],
        );
        context.signal(Signal::MemberGone {
            node: node.clone(),
            incarnation,
        });
    }
}
