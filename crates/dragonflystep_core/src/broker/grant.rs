//! Grants free slots of a group's upstreams to waiting asks.

use {
    super::{
        choice::{Candidate, MAX_PREFILL_BACKLOG},
        group::Group,
        patience::MAX_DEFERRED_ASKS,
        prediction::EXPECTED_ANSWER_SHARE,
        quarantine::Verdict,
        queue::QueuedAsk,
        shared::Shared,
        slots::{AskKey, Slot, SlotState},
        supply::accepts_work,
    },
    crate::{
        catalogue::ServiceKind,
        context::{Context, View},
        ids::{Incarnation, NodeId, Tier, UpstreamId},
        message::{Ask, AskRefusal, GrantName, Granted, Message},
        request::RefusalCode,
    },
    std::{collections::BTreeSet, time::Duration},
};

/// Margin added to a predicted time, so that a timer does not fire just before it.
const TIMER_MARGIN: Duration = Duration::from_millis(1);

/// The current incarnation of a node in this node's view; `None` if the node is not a known member.
pub(super) fn incarnation_of(view: &View, node: &NodeId) -> Option<Incarnation> {
    if view.node.id == *node {
        return Some(view.node.incarnation);
    }
    view.members.get(node).map(|member| member.incarnation)
}

impl Group {
    /// Whether this node may grant slots of the group now. Must be checked before every grant.
    pub(super) fn may_grant(&self, context: &Context<'_>) -> bool {
        context.view.granting_epoch(&self.id, context.now) == Some(self.epoch)
            && context.view.catalogue_is_fresh(context.now)
            && !self.takeover.old_grants_live(context.now)
    }

    /// Grants slots to waiting asks until either the asks or the free slots run out.
    pub(super) fn grant_waiting(&mut self, context: &mut Context<'_>, shared: &mut Shared) {
        let floor = shared.floors.floor(&self.service, context.now);
        self.grant_isolated(context, shared, floor);
        let mut passed_over = BTreeSet::new();
        while self.may_grant(context) && passed_over.len() < MAX_DEFERRED_ASKS {
            let next = self.queue.next(floor, &passed_over);
            let Some(key) = next.map(|queued| queued.key.clone()) else {
                return;
            };
            if self.move_to_isolation(context, shared, &key) {
                continue;
            }
            let Some(chosen) = self.choose(context, &key, false) else {
                return;
            };
            if self.refuse_if_unreachable(context, &key) {
                continue;
            }
            let queued = self.queue.get(&key);
            if queued.is_some_and(|queued| self.should_wait(context, queued, &chosen)) {
                passed_over.insert(key);
                continue;
            }
            let Some(queued) = self.queue.serve(&key) else {
                return;
            };
            self.grant(context, queued, chosen, false);
        }
    }

    /// Removes an ask from the normal queue if its request came under suspicion while it waited. Returns whether it
    /// was removed.
    fn move_to_isolation(
        &mut self,
        context: &mut Context<'_>,
        shared: &mut Shared,
        key: &AskKey,
    ) -> bool {
        let Some(queued) = self.queue.get(key) else {
            return false;
        };
        let fingerprint = queued.ask.fingerprint;
        match shared.verdict(fingerprint, context.now) {
            Verdict::Trusted => return false,
            Verdict::Suspect => {
                if let Some(queued) = self.queue.remove(key) {
                    self.isolation.push(queued);
                }
                self.grant_isolated(context, shared, Tier::MAX);
            }
            Verdict::Quarantined => {
                let code = RefusalCode::Quarantined;
                let retry_after = shared.quarantine.retry_after(fingerprint, context.now);
                self.refuse_waiting(context, key, AskRefusal::Final { code }, retry_after);
            }
        }
        true
    }

    /// Refuses an ask that no upstream can answer before its deadline any more, although one has capacity. Returns
    /// whether the ask was refused.
    fn refuse_if_unreachable(&mut self, context: &mut Context<'_>, key: &AskKey) -> bool {
        let Some(queued) = self.queue.get(key) else {
            return false;
        };
        let time_left = queued.deadline.saturating_sub(context.now);
        let policy = &context.view.tuning.policy;
        // Prefill for an answer that would come too late is wasted.
        let ask = &queued.ask;
        if !policy.early_refusal
            || !self.is_unreachable(context.view, ask, time_left, EXPECTED_ANSWER_SHARE)
        {
            return false;
        }
        let code = RefusalCode::DeadlineUnreachable;
        self.refuse_waiting(context, key, AskRefusal::Final { code }, None);
        true
    }

    /// Grants an empty upstream to the first isolated ask, or reserves one for it.
    fn grant_isolated(&mut self, context: &mut Context<'_>, shared: &Shared, floor: Tier) {
        for model in self.upstreams.values_mut() {
            model.reserved_for = None;
        }
        while let Some(first) = self.isolation.first() {
            let (key, tier) = (first.key.clone(), first.ask.tier);
            if shared.verdict(first.ask.fingerprint, context.now) == Verdict::Quarantined {
                let code = RefusalCode::Quarantined;
                self.refuse_waiting(context, &key, AskRefusal::Final { code }, None);
                continue;
            }
            let urgent = tier.checked_sub(1);
            let outranked = urgent.is_some_and(|above| self.queue.asks_up_to(above) > 0);
            if tier > floor || outranked || !self.may_grant(context) {
                return;
            }
            let Some(chosen) = self.choose(context, &key, true) else {
                self.reserve(context.view, &key);
                return;
            };
            if let Some(queued) = self.isolation.remove(&key) {
                self.grant(context, queued, chosen, true);
            }
        }
    }

    /// Reserves the upstream with the fewest streams for a suspect ask: it gets no other work until it is empty.
    fn reserve(&mut self, view: &View, key: &AskKey) {
        let emptiest = self
            .accepting_upstreams(view)
            .map(|model| {
                let usage = self.slots.usage(&model.entry.id);
                (usage.running, model.entry.id.clone())
            })
            .min();
        let model = emptiest.and_then(|(_, upstream)| self.upstreams.get_mut(&upstream));
        if let Some(model) = model {
            model.reserved_for = Some(key.clone());
        }
    }

    /// Selects the best upstream with capacity for a waiting ask; with `exclusive`, only empty upstreams qualify.
    fn choose(
        &self,
        context: &mut Context<'_>,
        key: &AskKey,
        exclusive: bool,
    ) -> Option<Candidate> {
        let queued = self.queue.get(key).or_else(|| self.isolation.get(key))?;
        let policy = &context.view.tuning.policy;
        let selector = self.selector(policy, context.now);
        let candidates: Vec<Candidate> = self
            .accepting_upstreams(context.view)
            .filter(|model| selector.has_capacity(model, key, &queued.ask, exclusive))
            .map(|model| selector.candidate(model, &queued.ask))
            .collect();
        selector.choose(candidates, context.random)
    }

    fn grant(
        &mut self,
        context: &mut Context<'_>,
        queued: QueuedAsk,
        chosen: Candidate,
        exclusive: bool,
    ) {
        let tuning = &context.view.tuning;
        let expires_at = context.now + tuning.grant_validity + tuning.drift_margin;
        let queued_for = context.now.saturating_sub(queued.received_at);
        let valid_for = queued_for + tuning.grant_validity;
        let grant = self.next_grant;
        self.next_grant += 1;
        let slot = Slot {
            entry: queued.key.0.clone(),
            incarnation: incarnation_of(context.view, &queued.key.0),
            upstream: chosen.upstream.clone(),
            tier: queued.ask.tier,
            account: queued.ask.account.clone(),
            cancellable: queued.ask.cancellable,
            prompt_tokens: queued.ask.prompt_tokens,
            output_tokens: queued.ask.output_tokens,
            cached_tokens: chosen.cached_tokens,
            prefill_seconds: chosen.prefill_seconds,
            backlog_seconds: chosen.backlog_seconds,
            fingerprint: Some(queued.ask.fingerprint),
            exclusive,
            granted_at: context.now,
            last_reported_at: context.now,
            tokens: 0,
            cancelled: false,
            expires_at,
            state: SlotState::Granted,
        };
        self.slots.insert((self.epoch, grant), slot);
        self.record_prompt(context.now, &chosen, &queued.ask);
        let granted = Message::Granted(Granted {
            ask: queued.ask.name,
            grant: GrantName {
                group: self.id.clone(),
                epoch: self.epoch,
                grant,
            },
            upstream: chosen.upstream,
            valid_for,
            queued_for,
            cached_tokens: chosen.cached_tokens,
        });
        self.answered_asks
            .insert(queued.key.clone(), granted.clone());
        context.send(&queued.key.0, granted);
    }

    fn record_prompt(&mut self, now: Duration, chosen: &Candidate, ask: &Ask) {
        if let Some(model) = self.upstreams.get_mut(&chosen.upstream) {
            model.cache.record_used(&ask.prefix_blocks);
            if self.kind == ServiceKind::Engine {
                model.prefill_granted(now, chosen.prefill_seconds);
            }
        }
    }

    /// Refuses all waiting asks whose deadline has passed.
    pub(super) fn refuse_expired(&mut self, context: &mut Context<'_>) {
        let mut expired = self.queue.expired(context.now);
        expired.extend(self.isolation.expired(context.now));
        for key in expired {
            let code = RefusalCode::DeadlinePassed;
            self.refuse_waiting(context, &key, AskRefusal::Final { code }, None);
        }
    }

    /// Sets the group's timer for the earliest of its next events: the next round, a deadline, the end of a tier floor,
    /// or the time when an engine's prefill backlog is short enough for a new prompt.
    pub(super) fn arm_timer(&mut self, context: &mut Context<'_>, shared: &Shared) {
        let times: [Option<Duration>; 5] = [
            Some(self.next_round_at),
            self.queue.earliest_deadline(),
            self.isolation.earliest_deadline(),
            shared.floors.next_change(&self.service, context.now),
            self.next_prefill_at(context.now),
        ];
        if let Some(at) = times.into_iter().flatten().min() {
            self.wake_at(context, at.max(context.now));
        }
    }

    /// When the first engine's prefill backlog drops to [`MAX_PREFILL_BACKLOG`]; `None` when no ask is queued.
    fn next_prefill_at(&self, now: Duration) -> Option<Duration> {
        if self.queue.is_empty() {
            return None;
        }
        let ends = self.upstreams.values().map(|model| model.prefill_until);
        ends.map(|end| end.saturating_sub(MAX_PREFILL_BACKLOG))
            .filter(|at| *at > now)
            .min()
            .map(|at| at + TIMER_MARGIN)
    }

    /// Whether an upstream belongs to the group and accepts new work.
    pub(super) fn upstream_accepts_work(&self, view: &View, upstream: &UpstreamId) -> bool {
        self.upstreams
            .get(upstream)
            .is_some_and(|model| accepts_work(view, &model.entry))
    }
}
