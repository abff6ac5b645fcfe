//! Failure detection by probes: each round probes one random member, so that the cost per node does not grow
//! with the number of nodes.

use {
    super::Membership,
    crate::{
        context::Context,
        ids::NodeId,
        message::{Message, Probe},
    },
    rand::seq::IteratorRandom,
    std::{collections::BTreeMap, time::Duration},
};

/// Timeout of a probe, in probe intervals.
const PROBE_TIMEOUT_INTERVALS: u32 = 2;
/// Members probed per round when more than half of the time has passed for which the catalogue version is
/// trusted without a confirmation.
const PROBES_WITH_OLD_CONFIRMATION: usize = 3;
/// Maximum number of unanswered probes kept per member.
const MAX_OPEN_PROBES: usize = 4;

/// Send times of the unanswered probes to each member.
#[derive(Debug, Default)]
pub(super) struct Probes {
    open: BTreeMap<NodeId, Vec<Duration>>,
}

impl Probes {
    fn opened(&mut self, node: &NodeId, sent_at: Duration) {
        let open = self.open.entry(node.clone()).or_default();
        open.push(sent_at);
        if open.len() > MAX_OPEN_PROBES {
            open.remove(0);
        }
    }

    /// Closes the answered probe and all earlier ones to that node, and returns whether this node sent it. An
    /// answer that echoes an unknown send time proves nothing.
    fn answered(&mut self, node: &NodeId, sent_at: Duration) -> bool {
        let Some(open) = self.open.get_mut(node) else {
            return false;
        };
        let is_own = open.contains(&sent_at);
        open.retain(|other| *other > sent_at);
        if open.is_empty() {
            self.open.remove(node);
        }
        is_own
    }

    fn unanswered(&self, sent_before: Duration) -> Vec<NodeId> {
        self.open
            .iter()
            .filter(|(_, open)| open.iter().any(|sent_at| *sent_at <= sent_before))
            .map(|(node, _)| node.clone())
            .collect()
    }

    /// Forgets the probes of a node.
    pub(super) fn forget(&mut self, node: &NodeId) {
        self.open.remove(node);
    }
}

impl Membership {
    /// Probes random members, and suspects those that did not answer an earlier probe in time.
    ///
    /// A node whose own reads of the catalogue's head fail depends on its peers to confirm its catalogue
    /// version, so it probes more of them.
    pub(super) fn probe_random_members(&mut self, context: &mut Context<'_>) {
        let timeout = context.view.tuning.probe_interval * PROBE_TIMEOUT_INTERVALS;
        if let Some(sent_before) = context.now.checked_sub(timeout) {
            for node in self.probes.unanswered(sent_before) {
                self.suspect_silent(context, &node, sent_before);
            }
        }
        let count = match is_confirmation_old(context) {
            true => PROBES_WITH_OLD_CONFIRMATION,
            false => 1,
        };
        let members = context.view.members.keys().cloned();
        let probed: Vec<NodeId> = members.choose_multiple(context.random, count);
        for node in probed {
            self.probes.opened(&node, context.now);
            let probe = own_probe(context, context.now, context.view.own_change_in_flight);
            context.send(&node, Message::Probe(probe));
        }
    }

    fn suspect_silent(&mut self, context: &mut Context<'_>, node: &NodeId, sent_before: Duration) {
        let Some(member) = context.view.members.get_mut(node) else {
            self.probes.forget(node);
            return;
        };
        if member
            .heard_at
            .is_none_or(|heard_at| heard_at <= sent_before)
        {
            member.suspected = true;
        }
    }

    /// Handles a probe and answers it.
    pub fn probed(&mut self, context: &mut Context<'_>, from: &NodeId, probe: &Probe) {
        self.record_probe(context, from, probe);
        let view = &context.view;
        let change_in_flight = view.own_change_in_flight || view.known_change_in_flight;
        let answer = own_probe(context, probe.sent_at, change_in_flight);
        context.send(from, Message::ProbeAnswer(answer));
    }

    /// Handles the answer to a probe, and returns whether it answers a probe that this node sent.
    pub fn probe_answered(
        &mut self,
        context: &mut Context<'_>,
        from: &NodeId,
        probe: &Probe,
    ) -> bool {
        self.record_probe(context, from, probe);
        self.probes.answered(from, probe.sent_at)
    }

    fn record_probe(&mut self, context: &mut Context<'_>, from: &NodeId, probe: &Probe) {
        let Some(member) = context.view.members.get_mut(from) else {
            return;
        };
        if member.incarnation != probe.incarnation {
            // The addresses of the new incarnation are known only from its row, so the row is read before
            // anything is recorded about it.
            self.next_scan_at = Duration::ZERO;
            return;
        }
        member.catalogue_version = member.catalogue_version.max(probe.catalogue_version);
        member.leaving |= probe.leaving;
    }
}

fn is_confirmation_old(context: &Context<'_>) -> bool {
    let trust = context.view.tuning.catalogue_trust;
    let confirmed_at = context.view.catalogue_confirmed_at;
    confirmed_at.is_some_and(|at| context.now.saturating_sub(at) > trust / 2)
}

fn own_probe(context: &Context<'_>, sent_at: Duration, change_in_flight: bool) -> Probe {
    let view = &context.view;
    Probe {
        incarnation: view.node.incarnation,
        data_centre: view.node.data_centre.clone(),
        catalogue_version: view.catalogue.version,
        catalogue_age: view
            .catalogue_confirmed_at
            .map(|confirmed_at| context.now.saturating_sub(confirmed_at)),
        leaving: view.stopping,
        change_in_flight,
        sent_at,
    }
}
