//! Roll-outs as a node knows them: the operators' orders and how they stand, from the platform and from other nodes.
//!
//! Whoever becomes the owner of the services has to know at once which versions get requests. So nodes tell one another of
//! all orders with each exchange of views, and merge what they hear: the later order counts, and of one order what was
//! decided.

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

/// Orders that are known at most; one for each service.
const MOST_ORDERS: usize = 256;

/// A roll-out as nodes and the platform tell it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutNews {
    /// The service.
    pub service: ServiceName,
    /// The version that its requests are to go to.
    pub to: UpstreamVersion,
    /// Tells orders apart; a later one has a higher number, by era and then by transaction of the platform's store.
    pub number: u64,
    /// Time until the order has to be decided.
    pub left: Duration,
    /// How it stands.
    pub phase: RolloutPhase,
}

#[derive(Clone, Debug)]
struct Known {
    order: RolloutOrder,
    phase: RolloutPhase,
}

/// The roll-outs that a node knows of.
#[derive(Default)]
pub(crate) struct Rollouts {
    known: RefCell<BTreeMap<ServiceName, Known>>,
    /// Steps of this node as an owner that are not written yet.
    steps: RefCell<VecDeque<RolloutStep>>,
    step_taken: Notify,
}

/// What a piece of news changes.
#[derive(Debug, PartialEq, Eq)]
enum Merged {
    Nothing,
    /// The order, or its end.
    Order,
    /// Only how it stands.
    Phase,
}

impl Rollouts {
    fn merge(&self, now: MonotonicTime, news: &RolloutNews) -> Merged {
        let mut known = self.known.borrow_mut();
        let order = RolloutOrder {
            service: news.service.clone(),
            to: news.to.clone(),
            number: news.number,
            ends_at: now + news.left,
        };
        let is_full = known.len() >= MOST_ORDERS;
        let Some(before) = known.get_mut(&news.service) else {
            if is_full {
                log::error!(service:% = news.service; "too many roll-outs; one is not followed");
                return Merged::Nothing;
            }
            let phase = news.phase;
            known.insert(news.service.clone(), Known { order, phase });
            return Merged::Order;
        };
        if before.order.to == news.to && is_same_order(before.order.number, news.number) {
            if before.phase == news.phase || news.phase == RolloutPhase::Serving {
                return Merged::Nothing;
            }
            before.phase = news.phase;
            return Merged::Phase;
        }
        if news.number < before.order.number {
            return Merged::Nothing;
        }
        *before = Known {
            order,
            phase: news.phase,
        };
        Merged::Order
    }

    /// Waits for a step that has to be written.
    pub(crate) async fn next_step(&self) -> RolloutStep {
        loop {
            if let Some(step) = self.steps.borrow_mut().pop_front() {
                return step;
            }
            self.step_taken.notified().await;
        }
    }

    pub(crate) fn push_steps(&self, steps: Vec<RolloutStep>) {
        if !steps.is_empty() {
            self.steps.borrow_mut().extend(steps);
            self.step_taken.notify_one();
        }
    }

    fn all(&self, now: MonotonicTime) -> Vec<RolloutNews> {
        let known = self.known.borrow();
        let news = known.values().map(|known| RolloutNews {
            service: known.order.service.clone(),
            to: known.order.to.clone(),
            number: known.order.number,
            left: known.order.ends_at.saturating_sub(now),
            phase: known.phase,
        });
        news.collect()
    }
}

impl Node {
    /// Applies a roll-out that the platform or another node tells of.
    pub fn learn_rollout(&self, news: &RolloutNews, source: &str) {
        let now = self.owner.now();
        let merged = self.rollouts.merge(now, news);
        if merged == Merged::Nothing {
            return;
        }
        let known = self.rollouts.known.borrow().get(&news.service).cloned();
        let Some(known) = known else {
            return;
        };
        log::info!(source, service:% = news.service, to:% = news.to, number = known.order.number, phase:? = known.phase, left_ms = news.left.as_millis() as u64; "roll-out known");
        let number = known.order.number;
        if merged == Merged::Order {
            self.owner.apply(Event::RolloutOrdered(known.order));
        }
        let settled = Event::RolloutSettled(news.service.clone(), number, known.phase);
        self.owner.apply(settled);
    }

    /// Records that the operator withdrew the order of a service.
    pub fn learn_rollout_withdrawn(&self, service: &ServiceName) {
        if self.rollouts.known.borrow_mut().remove(service).is_some() {
            log::info!(service:%; "roll-out withdrawn");
            let withdrawn = Event::RolloutWithdrawn(service.clone());
            self.owner.apply(withdrawn);
        }
    }

    /// Roll-outs that this node knows of.
    pub fn rollouts(&self) -> Vec<RolloutNews> {
        self.rollouts.all(self.owner.now())
    }

    /// Whether a step of an order is still to be written: nothing else was decided of it, and no later order is known.
    pub fn is_step_current(&self, step: &RolloutStep) -> bool {
        let known = self.rollouts.known.borrow();
        let known = known.get(&step.order.service);
        known.is_some_and(|known| {
            known.order.to == step.order.to
                && (known.phase == RolloutPhase::Serving || known.phase == step.phase)
        })
    }

    /// Roll-outs to tell another node; empty when there are none.
    pub(crate) fn encoded_rollouts(&self) -> Vec<u8> {
        let all = self.rollouts();
        if all.is_empty() {
            return Vec::new();
        }
        serde_json::to_vec(&all).unwrap_or_else(|error| {
            log::error!(error:%; "roll-outs can't be written for another node");
            Vec::new()
        })
    }

    /// Applies the roll-outs that another node sent.
    pub(crate) fn learn_rollouts(&self, bytes: &[u8], peer: &str) {
        if bytes.is_empty() {
            return;
        }
        match serde_json::from_slice::<Vec<RolloutNews>>(bytes) {
            Ok(all) => {
                for news in &all {
                    self.learn_rollout(news, peer);
                }
            }
            Err(error) => {
                log::warn!(peer, error:%; "roll-outs of another node are not understood")
            }
        }
    }
}

/// Has the platform told of the steps that this node takes with roll-outs, for as long as the node runs.
pub(crate) async fn publish_rollouts(node: Rc<Node>, platform: Rc<dyn Platform>) {
    loop {
        let step = node.rollouts.next_step().await;
        let order = &step.order;
        log::info!(service:% = order.service, to:% = order.to, number = order.number, phase:? = step.phase, evidence:% = step.reason; "roll-out step");
        node.metrics.count("rollout_steps_total", step.phase.name());
        spawn_local(platform.clone().publish_rollout(node.clone(), step));
    }
}
