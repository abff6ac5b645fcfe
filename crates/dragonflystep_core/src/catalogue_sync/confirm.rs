//! Delays the answer to an accepted change until the change is in force on all live nodes or a timeout has passed.

use {
    super::CatalogueSync,
    crate::{
        admin::AdminAnswer,
        context::Context,
        effect::Effect,
        ids::{AdminCallId, CatalogueVersion, NodeId},
        message::{Message, Probe},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Time after which the operator is answered even if nodes have not confirmed the version.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// Time for pushed changes to arrive before nodes are probed for their version.
const PUSH_TIME: Duration = Duration::from_millis(100);
/// Wait before a node is probed again.
const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// Most nodes that are probed in one round for one change.
const MOST_ASKED: usize = 64;

/// An accepted change whose operator has not been answered yet.
#[derive(Debug)]
pub(super) struct Confirmation {
    call: AdminCallId,
    version: CatalogueVersion,
    accepted_at: Duration,
    asked: BTreeMap<NodeId, Duration>,
}

impl CatalogueSync {
    /// Answers the operator once all live nodes have the version, or after a timeout.
    pub(super) fn accepted(
        &mut self,
        context: &mut Context<'_>,
        call: AdminCallId,
        version: CatalogueVersion,
    ) {
        self.confirmations.push(Confirmation {
            call,
            version,
            accepted_at: context.now,
            asked: BTreeMap::new(),
        });
        self.confirm_when_due(context);
    }

    /// Probes nodes that have not confirmed, and answers operators whose wait is over.
    pub(super) fn confirm_when_due(&mut self, context: &mut Context<'_>) {
        for mut confirmation in std::mem::take(&mut self.confirmations) {
            if !confirmation.is_answered(context) {
                confirmation.ask(context);
                self.confirmations.push(confirmation);
            }
        }
    }
}

impl Confirmation {
    fn is_answered(&self, context: &mut Context<'_>) -> bool {
        let behind = |is_live: bool| {
            let members = context.view.members.iter();
            members
                .filter(|(_, member)| member.catalogue_version < self.version)
                .filter(|(_, member)| !is_live || !member.suspected)
                .map(|(node, _)| node.clone())
                .collect::<Vec<NodeId>>()
        };
        let is_over = context.now.saturating_sub(self.accepted_at) >= LONGEST_WAIT;
        if !is_over && !behind(true).is_empty() {
            return false;
        }
        let answer = AdminAnswer::Accepted {
            version: self.version,
            unconfirmed_nodes: behind(false),
        };
        context.effect(Effect::AnswerAdmin {
            call: self.call,
            answer,
        });
        true
    }

    fn ask(&mut self, context: &mut Context<'_>) {
        if context.now.saturating_sub(self.accepted_at) < PUSH_TIME {
            return;
        }
        let is_due = |node: &NodeId| {
            let asked_at = self.asked.get(node);
            asked_at.is_none_or(|asked_at| context.now.saturating_sub(*asked_at) >= ASK_INTERVAL)
        };
        let due: Vec<NodeId> = context
            .view
            .members
            .iter()
            .filter(|(node, member)| member.catalogue_version < self.version && is_due(node))
            .map(|(node, _)| node.clone())
            .take(MOST_ASKED)
            .collect();
        for node in due {
            let probe = version_probe(context);
            context.send(&node, Message::Probe(probe));
            self.asked.insert(node, context.now);
        }
    }
}

/// Returns a probe that reports the version in force on this node and asks for the peer's.
pub(crate) fn version_probe(context: &Context<'_>) -> Probe {
    let view = &context.view;
    Probe {
        incarnation: view.node.incarnation,
        data_centre: view.node.data_centre.clone(),
        catalogue_version: view.catalogue.version,
        catalogue_age: None,
        leaving: view.stopping,
        change_in_flight: view.own_change_in_flight,
        sent_at: context.now,
    }
}
