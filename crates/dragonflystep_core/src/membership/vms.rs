//! Tracks the platform's VM list, which lags behind the actual state. A VM that was listed before and no longer
//! is counts as gone.
//!
//! With many nodes, each node reads the list rarely. A node that finds a VM that takes no new work there reports
//! it to some other nodes by gossip, and each of them passes on what is new to it. A gossip report only keeps
//! new work away from a VM, and expires once the node's own readings are recent enough to show the same. Whether
//! a node's process has ended is decided from this node's own readings alone.

use {
    super::Membership,
    crate::{
        catalogue::UpstreamState,
        context::{Context, Signal},
        ids::{NodeId, UpstreamId},
        message::Message,
    },
    rand::seq::IteratorRandom,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// How long a node must also have been silent before its absence from the VM list confirms it as gone.
const MIN_SILENCE_OF_GONE_NODE: Duration = Duration::from_secs(1);

/// Minimum interval between two readings. One small read every 1.5 seconds keeps the time in which a leaving VM is
/// noticed within a few seconds.
const SHORTEST_READ_INTERVAL: Duration = Duration::from_millis(1500);
/// Maximum number of nodes in a system whose nodes all read the VM list at the shortest interval.
pub const FEW_NODES: usize = 8;
/// Lifetime of a gossip report; after it, this node's own readings show what the reporting node had read.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);
/// Number of nodes to which each node that learns of a VM passes it on in one round.
const GOSSIP_FANOUT: usize = 8;
/// Maximum number of VMs in one message.
const MAX_VMS_PER_MESSAGE: usize = 64;

/// VMs as last read from the list, and those reported by other nodes.
#[derive(Debug, Default)]
pub(super) struct Vms {
    live: BTreeSet<Arc<str>>,
    leaving: BTreeSet<Arc<str>>,
    ever_listed: BTreeSet<Arc<str>>,
    is_read: bool,
    /// VMs that take no new work according to other nodes, with the time of the report.
    reported: BTreeMap<Arc<str>, Duration>,
    /// VMs that are announced a second time in the next round.
    to_repeat: Vec<Arc<str>>,
}

impl Vms {
    /// Stores a reading of the list, and returns the VMs that take no new work any more but did before.
    pub(super) fn read(
        &mut self,
        now: Duration,
        live: BTreeSet<Arc<str>>,
        leaving: BTreeSet<Arc<str>>,
    ) -> Vec<Arc<str>> {
        let known = Self {
            live: std::mem::take(&mut self.live),
            leaving: std::mem::take(&mut self.leaving),
            ever_listed: self.ever_listed.clone(),
            is_read: self.is_read,
            reported: self.reported.clone(),
            to_repeat: Vec::new(),
        };
        self.ever_listed.extend(live.iter().cloned());
        self.ever_listed.extend(leaving.iter().cloned());
        self.live = live;
        self.leaving = leaving;
        self.is_read = true;
        self.reported
            .retain(|_, reported_at| now < *reported_at + REPORT_LIFETIME);
        if !known.is_read {
            // With nothing to compare it to, the first reading shows no changes.
            return Vec::new();
        }
        let listed = self.ever_listed.iter();
        let new_vms = listed.filter(|vm| self.takes_no_work(vm) && !known.takes_no_work(vm));
        new_vms.cloned().collect()
    }

    /// Records VMs reported by another node, and returns those that are new to this node.
    fn add_reports(&mut self, now: Duration, vms: &[Arc<str>]) -> Vec<Arc<str>> {
        let new_vms = vms.iter().filter(|vm| !self.takes_no_work(vm));
        let new_vms: Vec<Arc<str>> = new_vms.cloned().collect();
        self.reported
            .extend(new_vms.iter().map(|vm| (vm.clone(), now)));
        new_vms
    }

    /// Forgets VMs that are no longer listed and that nothing refers to any more.
    pub(super) fn keep_only(&mut self, referred: &BTreeSet<Arc<str>>) {
        let (live, leaving) = (&self.live, &self.leaving);
        self.ever_listed
            .retain(|vm| live.contains(vm) || leaving.contains(vm) || referred.contains(vm));
    }

    fn is_gone(&self, vm: &str) -> bool {
        self.ever_listed.contains(vm) && !self.live.contains(vm) && !self.leaving.contains(vm)
    }

    fn takes_no_work(&self, vm: &str) -> bool {
        self.leaving.contains(vm) || self.is_gone(vm) || self.reported.contains_key(vm)
    }
}

/// How long a node waits before it reads the VM list again.
///
/// With up to [`FEW_NODES`] nodes this is the shortest interval. With more nodes the mean grows in proportion to
/// their number, so that the platform's read rate stays constant, and so does the number of bytes per second
/// that a node reads, although the list grows too. The interval then also varies from zero to twice the mean,
/// because nodes that start together would otherwise all read at the same time and leave gaps in between.
///
/// # Examples
/// ```
/// use dragonflystep_core::membership::vm_list_interval;
/// use std::time::Duration;
/// assert_eq!(vm_list_interval(8, "entry-1", 1), Duration::from_millis(1500));
/// assert!(vm_list_interval(330, "entry-1", 1) < Duration::from_secs(124));
/// ```
pub fn vm_list_interval(nodes: usize, node: &str, reading: u64) -> Duration {
    if nodes <= FEW_NODES {
        return SHORTEST_READ_INTERVAL;
    }
    let share = nodes as f64 / FEW_NODES as f64;
    let chance = xxh3_64_with_seed(node.as_bytes(), reading) as f64 / u64::MAX as f64;
    SHORTEST_READ_INTERVAL.mul_f64(share * 2.0 * chance)
}

/// Announces VMs that take no new work to randomly chosen live nodes.
fn send_vm_reports(context: &mut Context<'_>, vms: &[Arc<str>]) {
    for part in vms.chunks(MAX_VMS_PER_MESSAGE) {
        let members = context.view.members.iter();
        let live = members.filter(|(_, member)| !member.suspected);
        let receivers = live.map(|(node, _)| node.clone());
        let receivers: Vec<NodeId> = receivers.choose_multiple(context.random, GOSSIP_FANOUT);
        for node in receivers {
            context.send(&node, Message::VmsLeaving(part.to_vec()));
        }
    }
}

impl Membership {
    /// Handles another node's report of VMs that take no new work, and passes on those that are new to this
    /// node.
    pub fn vms_reported(&mut self, context: &mut Context<'_>, vms: &[Arc<str>]) {
        let referred = self.referred_vms(context);
        let vms = vms.iter().filter(|vm| referred.contains(*vm));
        let vms: Vec<Arc<str>> = vms.cloned().collect();
        let new_vms = self.vms.add_reports(context.now, &vms);
        if !new_vms.is_empty() {
            self.update_leaving_upstreams(context);
            self.announce_vms(context, new_vms);
        }
    }

    /// Announces VMs that take no new work to some nodes now, and to some in the next round.
    ///
    /// With a single announcement by each node, about one node in a thousand would not be reached, and would
    /// find the VM in its own reading only a minute later.
    pub(super) fn announce_vms(&mut self, context: &mut Context<'_>, vms: Vec<Arc<str>>) {
        send_vm_reports(context, &vms);
        self.vms.to_repeat.extend(vms);
    }

    /// Repeats the announcements of the last round to newly chosen nodes.
    pub(super) fn repeat_announcements(&mut self, context: &mut Context<'_>) {
        send_vm_reports(context, &std::mem::take(&mut self.vms.to_repeat));
    }

    /// Recomputes which upstreams take no new work, from the catalogue, the VM list and the reports of other
    /// nodes.
    pub(super) fn update_leaving_upstreams(&mut self, context: &mut Context<'_>) {
        let leaving: BTreeSet<UpstreamId> = context
            .view
            .catalogue
            .all_upstreams()
            .filter(|upstream| {
                let vm = upstream.vm.as_deref();
                upstream.state == UpstreamState::Leaving
                    || vm.is_some_and(|vm| self.vms.takes_no_work(vm))
            })
            .map(|upstream| upstream.id.clone())
            .collect();
        if leaving != context.view.leaving_upstreams {
            context.view.leaving_upstreams = leaving;
            context.signal(Signal::LeavingUpstreamsChanged);
        }
    }

    /// Names of the VMs that the catalogue or a node's row refers to.
    pub(super) fn referred_vms(&self, context: &Context<'_>) -> BTreeSet<Arc<str>> {
        let upstreams = context.view.catalogue.all_upstreams();
        upstreams
            .filter_map(|upstream| upstream.vm.clone())
            .chain(self.vms_of_nodes().into_values())
            .collect()
    }

    /// Removes the members whose VM is gone from the list and that have been silent as well.
    pub(super) fn confirm_gone_members(&mut self, context: &mut Context<'_>) {
        let gone: Vec<NodeId> = self
            .vms_of_nodes()
            .into_iter()
            .filter(|(_, vm)| self.vms.is_gone(vm))
            .map(|(node, _)| node)
            .filter(|node| {
                let member = context.view.members.get(node);
                let heard_at = member.and_then(|member| member.heard_at);
                heard_at.is_none_or(|heard_at| {
                    context.now.saturating_sub(heard_at) >= MIN_SILENCE_OF_GONE_NODE
                })
            })
            .collect();
        for node in gone {
            context.view.confirmed_gone.insert(node.clone());
            self.remove_member(context, &node);
        }
    }
}
