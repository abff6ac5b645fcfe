//! State of one group that this node holds, and the life cycle of the group's asks.

use {
    super::{
        isolation::Isolation,
        prediction::MIN_ANSWER_SHARE,
        quarantine::Verdict,
        queue::{Queue, QueuedAsk},
        settled::AnsweredAsks,
        shared::Shared,
        slots::{AskKey, SlotKey, SlotTable},
        summary::SummaryReceivers,
        supply::service_kind,
        takeover::Takeover,
        upstream::UpstreamModel,
    },
    crate::{
        catalogue::ServiceKind,
        context::Context,
        effect::Effect,
        ids::{Epoch, GrantId, GroupId, NodeId, ServiceId, Tier, UpstreamId},
        message::{Ask, AskName, AskRefusal, AskRefused, Message, Queued, Reregister},
        request::RefusalCode,
        timer::Timer,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Time beyond twice the predicted wait after which the entry node gets another `Queued` message for its ask.
const UPDATE_MARGIN: Duration = Duration::from_secs(1);

/// Scheduling state of a group whose lease this node holds.
#[derive(Debug)]
pub struct Group {
    pub(super) id: GroupId,
    pub(super) service: ServiceId,
    pub(super) kind: ServiceKind,
    pub(super) epoch: Epoch,
    pub(super) takeover: Takeover,
    pub(super) slots: SlotTable,
    /// Slots of an entry node that was restarted, where it is not known whether the ended process or its successor has
    /// the grant. The successor's next `Holding` list tells.
    pub(super) unattributed: BTreeSet<SlotKey>,
    pub(super) queue: Queue,
    pub(super) isolation: Isolation,
    pub(super) upstreams: BTreeMap<UpstreamId, UpstreamModel>,
    pub(super) answered_asks: AnsweredAsks,
    pub(super) summary_receivers: SummaryReceivers,
    pub(super) next_grant: GrantId,
    pub(super) mean_service_seconds: Option<f64>,
    pub(super) next_round_at: Duration,
    pub(super) armed_at: Option<Duration>,
    pub(super) least_urgent_tier: Tier,
}

impl Group {
    /// Creates the state of a group whose lease this node acquired, and starts the takeover.
    pub fn lease_acquired(
        context: &mut Context<'_>,
        shared: &Shared,
        id: &GroupId,
        epoch: Epoch,
    ) -> Self {
        let entries = shared.directory.upstreams(id);
        let service: ServiceId = entries
            .first()
            .map_or_else(|| "".into(), |each| each.service.clone());
        let tuning = &context.view.tuning;
        let expires_at = context.now + tuning.grant_validity + tuning.drift_margin;
        let mut nodes: BTreeSet<NodeId> = context.view.members.keys().cloned().collect();
        nodes.insert(context.view.node.id.clone());
        let fair = tuning.policy.fairness;
        let mut group = Self {
            id: id.clone(),
            kind: service_kind(context.view, &service),
            service,
            epoch,
            takeover: Takeover::for_epoch(epoch, expires_at, nodes),
            slots: SlotTable::default(),
            unattributed: BTreeSet::new(),
            queue: Queue::new(fair),
            isolation: Isolation::default(),
            upstreams: BTreeMap::new(),
            answered_asks: AnsweredAsks::default(),
            summary_receivers: SummaryReceivers::default(),
            next_grant: 1,
            mean_service_seconds: None,
            next_round_at: context.now,
            armed_at: None,
            least_urgent_tier: 0,
        };
        group.probe_all_holdings(context);
        group.catalogue_applied(context, shared);
        group.wake_at(context, context.now);
        group
    }

    /// Asks each node that has not reported its grants yet to do so; after a takeover, asks all members. The message
    /// also tells the entry nodes who holds the group now.
    pub(super) fn probe_all_holdings(&self, context: &mut Context<'_>) {
        let waiting: Vec<NodeId> = if self.takeover.is_done() {
            let own = context.view.node.id.clone();
            context.view.members.keys().cloned().chain([own]).collect()
        } else {
            self.takeover.waiting_on().cloned().collect()
        };
        for node in waiting {
            self.probe_holdings(context, &node);
        }
    }

    /// Asks one node to list the grants of the group that it holds.
    pub(super) fn probe_holdings(&self, context: &mut Context<'_>, node: &NodeId) {
        let message = Message::Reregister(Reregister {
            group: self.id.clone(),
            epoch: self.epoch,
        });
        context.send(node, message);
    }

    /// Gives up the group after its lease was lost: waiting asks are refused with the name of the new holder.
    pub fn lease_lost(mut self, context: &mut Context<'_>) {
        for upstream in self.upstreams.keys() {
            context.effect(Effect::UnwatchUpstream {
                upstream: upstream.clone(),
            });
        }
        let holder = context.view.holders.get(&self.id);
        let holder = holder.map(|each| each.node.clone());
        let waiting: Vec<QueuedAsk> = self.queue.iter().cloned().collect();
        for queued in waiting.into_iter().chain(self.isolation.take_all()) {
            let holder = holder.clone();
            let refused = AskRefused {
                ask: queued.ask.name,
                epoch: 0,
                reason: AskRefusal::NotHolder { holder },
                retry_after: None,
            };
            context.send(&queued.key.0, Message::AskRefused(refused));
        }
    }

    /// Handles an ask of the entry node `from`: grants, queues or refuses it. A repeated ask gets the same answer.
    pub fn ask_received(
        &mut self,
        context: &mut Context<'_>,
        shared: &mut Shared,
        from: &NodeId,
        ask: Ask,
    ) {
        let key: AskKey = (from.clone(), ask.name.request, ask.name.asked_at);
        self.summary_receivers.record_ask(from, context.now);
        if let Some(answer) = self.answered_asks.get(&key) {
            context.send(from, answer.clone());
            return;
        }
        if self.is_waiting(&key) {
            self.send_queued(context, &key);
            return;
        }
        if self.refuse_immediately(context, shared, &key, &ask) {
            return;
        }
        let queued = self.new_queued_ask(context, key.clone(), ask);
        match shared.verdict(queued.ask.fingerprint, context.now) {
            Verdict::Trusted => self.queue.push(queued),
            Verdict::Suspect | Verdict::Quarantined => self.isolation.push(queued),
        }
        self.grant_waiting(context, shared);
        if self.is_waiting(&key) {
            self.update_lateness(context, &key);
            self.send_queued(context, &key);
            self.arm_timer(context, shared);
        }
    }

    fn is_waiting(&self, key: &AskKey) -> bool {
        self.queue.get(key).is_some() || self.isolation.get(key).is_some()
    }

    /// Refuses an ask that waiting cannot help: a quarantined request, one that fits no upstream, or one whose deadline
    /// is unreachable. Returns whether it was refused.
    fn refuse_immediately(
        &mut self,
        context: &mut Context<'_>,
        shared: &Shared,
        key: &AskKey,
        ask: &Ask,
    ) -> bool {
        if shared.verdict(ask.fingerprint, context.now) == Verdict::Quarantined {
            let code = RefusalCode::Quarantined;
            let retry_after = shared.quarantine.retry_after(ask.fingerprint, context.now);
            self.refuse(
                context,
                key,
                &ask.name,
                AskRefusal::Final { code },
                retry_after,
            );
            return true;
        }
        if !self.can_fit(context.view, ask) {
            let reason = self.refusal_without_fit(context.view, shared, ask);
            self.refuse(context, key, &ask.name, reason, None);
            return true;
        }
        let policy = &context.view.tuning.policy;
        if policy.early_refusal
            && self.is_unreachable(context.view, ask, ask.time_left, MIN_ANSWER_SHARE)
        {
            let code = RefusalCode::DeadlineUnreachable;
            self.refuse(context, key, &ask.name, AskRefusal::Final { code }, None);
            return true;
        }
        false
    }

    fn new_queued_ask(&self, context: &Context<'_>, key: AskKey, ask: Ask) -> QueuedAsk {
        let weight = context.view.catalogue.account(&ask.account);
        let deadline = context.now + ask.time_left;
        let service = Duration::from_secs_f64(self.best_service_seconds(context.view, &ask));
        QueuedAsk {
            key,
            received_at: context.now,
            deadline,
            latest_start: deadline.saturating_sub(service),
            cost_seconds: self.mean_cost_seconds(&ask),
            weight: weight.map_or(1, |account| account.weight),
            late: false,
            next_update_at: context.now,
            ask,
        }
    }

    /// Sends the entry node the predicted wait of its ask and schedules the next such message.
    pub(super) fn send_queued(&mut self, context: &mut Context<'_>, key: &AskKey) {
        let Some(queued) = self.queue.get(key).or_else(|| self.isolation.get(key)) else {
            return;
        };
        let predicted_wait = self.predicted_wait(context.view, context.now, queued);
        let message = Message::Queued(Queued {
            ask: queued.ask.name.clone(),
            epoch: self.epoch,
            predicted_wait,
        });
        context.send(&key.0, message);
        let next_update_at = context.now + predicted_wait * 2 + UPDATE_MARGIN;
        self.queue.set_next_update_at(key, next_update_at);
    }

    /// Repeats the predicted wait for asks that wait longer than predicted, so that their entry nodes do not assume
    /// that the broker has failed.
    pub(super) fn send_wait_updates(&mut self, context: &mut Context<'_>) {
        let mut due = self.queue.updates_due(context.now);
        due.extend(self.isolation.keys());
        for key in due {
            self.send_queued(context, &key);
        }
    }

    /// Removes an ask that its entry node withdrew, and confirms the withdrawal.
    pub fn ask_withdrawn(
        &mut self,
        context: &mut Context<'_>,
        shared: &mut Shared,
        from: &NodeId,
        name: AskName,
    ) {
        let key: AskKey = (from.clone(), name.request, name.asked_at);
        self.remove_waiting(&key);
        let answer = Message::Withdrawn(name);
        // The ask may arrive after its own withdrawal and must not be granted then.
        self.answered_asks.insert(key, answer.clone());
        context.send(from, answer);
        self.grant_waiting(context, shared);
    }

    /// Removes a waiting ask from the queue or from isolation.
    pub(super) fn remove_waiting(&mut self, key: &AskKey) -> Option<QueuedAsk> {
        self.queue
            .remove(key)
            .or_else(|| self.isolation.remove(key))
    }

    /// Removes a waiting ask and sends its refusal.
    pub(super) fn refuse_waiting(
        &mut self,
        context: &mut Context<'_>,
        key: &AskKey,
        reason: AskRefusal,
        retry_after: Option<Duration>,
    ) {
        let Some(queued) = self.remove_waiting(key) else {
            return;
        };
        self.refuse(context, key, &queued.ask.name, reason, retry_after);
    }

    fn refuse(
        &mut self,
        context: &mut Context<'_>,
        key: &AskKey,
        name: &AskName,
        reason: AskRefusal,
        retry_after: Option<Duration>,
    ) {
        let answer = Message::AskRefused(AskRefused {
            ask: name.clone(),
            epoch: self.epoch,
            reason,
            retry_after,
        });
        self.answered_asks.insert(key.clone(), answer.clone());
        context.send(&key.0, answer);
    }

    /// Sets the group's round timer to fire at `at`, unless it is already set for that time or earlier.
    pub(super) fn wake_at(&mut self, context: &mut Context<'_>, at: Duration) {
        if self.armed_at.is_some_and(|armed_at| armed_at <= at) {
            return;
        }
        self.armed_at = Some(at);
        context.effect(Effect::StartTimer {
            at,
            timer: Timer::BrokerRound(self.id.clone()),
        });
    }
}
