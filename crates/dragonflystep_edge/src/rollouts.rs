//! The roll-outs that a node knows: the operators' orders and their phases, from the platform and from other nodes.
//!
//! A node that becomes the owner of the services must know at once which versions get requests. Nodes therefore
//! send one another all orders in each gossip exchange and merge what they receive: a later order replaces an
//! earlier one, and a decided phase replaces [`RolloutPhase::Serving`].

use {
    crate::{list_version::is_same_order, node::Node, platform::Platform},
    dragonflystep_dispatch::{
        Event, MonotonicTime, RolloutOrder, RolloutPhase, RolloutStep, ServiceName, UpstreamVersion,
    },
    serde::{Deserialize, Serialize},
    std::{
        cell::RefCell,
        collections::{BTreeMap, VecDeque},
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::Notify, task::spawn_local},
};

/// Maximum number of known orders; each service has at most one.
const MAX_ORDERS: usize = 256;

/// An order to roll out a version of a service, with its current phase, as nodes and the platform exchange it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The service whose upstreams get the new version.
    pub service: ServiceName,
    /// The version that the service's requests are to move to.
    pub to: UpstreamVersion,
    /// Identifies the order. A later order has a higher number, by the era of the platform's store and then by
    /// transaction.
    pub number: u64,
    /// Time until the order has to be decided.
    pub left: Duration,
    /// Whether the roll-out is in progress or how it was decided.
    pub phase: RolloutPhase,
}

#[derive(Clone, Debug)]
struct KnownRollout {
    order: RolloutOrder,
    phase: RolloutPhase,
}

/// The roll-outs that a node knows, by service.
#[derive(Default)]
pub(crate) struct Rollouts {
    known: RefCell<BTreeMap<ServiceName, KnownRollout>>,
    /// Steps that this node decided as the owner and that have not been handed to the platform yet.
    pending_steps: RefCell<VecDeque<RolloutStep>>,
    step_added: Notify,
}

/// The effect of merging a received roll-out.
#[derive(Debug, PartialEq, Eq)]
enum MergeEffect {
    Unchanged,
    /// The order is new, or replaced an earlier one.
    Order,
    /// Only the phase changed.
    Phase,
}

impl Rollouts {
    fn merge(&self, now: MonotonicTime, status: &RolloutStatus) -> MergeEffect {
        let mut known = self.known.borrow_mut();
        let order = RolloutOrder {
            service: status.service.clone(),
            target_version: status.to.clone(),
            number: status.number,
            ends_at: now.saturating_add(status.left),
        };
        let is_full = known.len() >= MAX_ORDERS;
        let Some(before) = known.get_mut(&status.service) else {
            if is_full {
                log::error!(service:% = status.service; "too many roll-outs; ignoring a new one");
                return MergeEffect::Unchanged;
            }
            let phase = status.phase;
            known.insert(status.service.clone(), KnownRollout { order, phase });
            return MergeEffect::Order;
        };
        if before.order.target_version == status.to
            && is_same_order(before.order.number, status.number)
        {
            if before.phase == status.phase || status.phase == RolloutPhase::Serving {
                return MergeEffect::Unchanged;
            }
            before.phase = status.phase;
            return MergeEffect::Phase;
        }
        if status.number < before.order.number {
            return MergeEffect::Unchanged;
        }
        *before = KnownRollout {
            order,
            phase: status.phase,
        };
        MergeEffect::Order
    }

    /// Waits for a step that is to be written to the platform.
    pub(crate) async fn next_step(&self) -> RolloutStep {
        loop {
            if let Some(step) = self.pending_steps.borrow_mut().pop_front() {
                return step;
            }
            self.step_added.notified().await;
        }
    }

    pub(crate) fn push_steps(&self, steps: Vec<RolloutStep>) {
        if !steps.is_empty() {
            self.pending_steps.borrow_mut().extend(steps);
            self.step_added.notify_one();
        }
    }

    fn all(&self, now: MonotonicTime) -> Vec<RolloutStatus> {
        let known = self.known.borrow();
        let statuses = known.values().map(|known| RolloutStatus {
            service: known.order.service.clone(),
            to: known.order.target_version.clone(),
            number: known.order.number,
            left: known.order.ends_at.saturating_sub(now),
            phase: known.phase,
        });
        statuses.collect()
    }
}

impl Node {
    /// Applies a roll-out that the platform or another node reported. `source` names its origin in the log.
    pub fn apply_rollout(&self, status: &RolloutStatus, source: &str) {
        let now = self.owner.now();
        let merged = self.rollouts.merge(now, status);
        if merged == MergeEffect::Unchanged {
            return;
        }
        let known = self.rollouts.known.borrow().get(&status.service).cloned();
        let Some(known) = known else {
            return;
        };
        log::info!(source, service:% = status.service, to:% = status.to, number = known.order.number, phase:? = known.phase, left_ms = status.left.as_millis() as u64; "roll-out known");
        let number = known.order.number;
        if merged == MergeEffect::Order {
            self.owner.apply(Event::RolloutOrdered(known.order));
        }
        let settled = Event::RolloutSettled(status.service.clone(), number, known.phase);
        self.owner.apply(settled);
    }

    /// Removes the order of a service that the operator withdrew.
    pub fn apply_rollout_withdrawal(&self, service: &ServiceName) {
        if self.rollouts.known.borrow_mut().remove(service).is_some() {
            log::info!(service:%; "roll-out withdrawn");
            let withdrawn = Event::RolloutWithdrawn(service.clone());
            self.owner.apply(withdrawn);
        }
    }

    /// The roll-outs that this node knows, as of now.
    pub fn rollouts(&self) -> Vec<RolloutStatus> {
        self.rollouts.all(self.owner.now())
    }

    /// Whether a step is still to be written: the known order of the service is for the same version, and no other
    /// phase was decided.
    pub fn is_step_current(&self, step: &RolloutStep) -> bool {
        let known = self.rollouts.known.borrow();
        let known = known.get(&step.order.service);
        known.is_some_and(|known| {
            known.order.target_version == step.order.target_version
                && (known.phase == RolloutPhase::Serving || known.phase == step.phase)
        })
    }

    /// Encodes the known roll-outs for another node; empty if there are none.
    pub(crate) fn encoded_rollouts(&self) -> Vec<u8> {
        let all = self.rollouts();
        if all.is_empty() {
            return Vec::new();
        }
        serde_json::to_vec(&all).unwrap_or_else(|error| {
            log::error!(error:%; "roll-outs can't be encoded for another node");
            Vec::new()
        })
    }

    /// Decodes and applies the roll-outs that another node sent.
    pub(crate) fn apply_rollouts(&self, bytes: &[u8], peer: &str) {
        if bytes.is_empty() {
            return;
        }
        match serde_json::from_slice::<Vec<RolloutStatus>>(bytes) {
            Ok(all) => {
                for status in &all {
                    self.apply_rollout(status, peer);
                }
            }
            Err(error) => {
                log::warn!(peer, error:%; "roll-outs from another node can't be decoded")
            }
        }
    }
}

/// Hands the steps that this node decides to the platform, for as long as the node runs.
pub(crate) async fn publish_rollouts(node: Rc<Node>, platform: Rc<dyn Platform>) {
    loop {
        let step = node.rollouts.next_step().await;
        let order = &step.order;
        log::info!(service:% = order.service, to:% = order.target_version, number = order.number, phase:? = step.phase, evidence:% = step.reason; "roll-out step");
        node.metrics.count("rollout_steps_total", step.phase.name());
        spawn_local(platform.clone().publish_rollout(node.clone(), step));
    }
}
