//! Agreement among the brokers of a service before a tier is refused for overload.

use {
    super::{
        Brokers,
        group::Group,
        overload::{YieldRound, cancelled_count, select_victims},
        slots::SlotKey,
    },
    crate::{
        catalogue::OverloadPolicy,
        context::{Context, View},
        effect::LogLevel,
        ids::{GroupId, NodeId, ServiceId, Tier},
        message::{AskRefusal, GroupYield, Message, Yield, YieldAnswer, YieldState},
        request::RefusalCode,
    },
    rand::Rng,
    std::{collections::BTreeSet, time::Duration},
};

impl Group {
    /// Id of the service that the group belongs to.
    pub fn service(&self) -> &ServiceId {
        &self.service
    }

    /// The group's answer to another broker's yield request for `tier`.
    fn yield_state(&self, context: &Context<'_>, tier: Tier) -> YieldState {
        if !self.may_grant(context) || !self.all_streams_known() {
            return YieldState::Busy;
        }
        let free = self.free_slots(context.view, context.now) as usize;
        if free > self.queue.asks_up_to(tier) {
            return YieldState::Room;
        }
        if self.slots.serves_below(tier) {
            return YieldState::Busy;
        }
        YieldState::Clear
    }

    /// Whether the group certainly serves nothing less urgent than `tier`: all its streams are known and none is of
    /// such a tier.
    fn is_clear(&self, tier: Tier) -> bool {
        self.all_streams_known() && !self.slots.serves_below(tier)
    }

    /// Number of asks of a tier for which streams of less urgent tiers may be cancelled, by the overload policy.
    fn preemption_demand(&self, view: &View, tier: Tier) -> usize {
        let policy = view.catalogue.service(&self.service);
        let policy = policy.map(|each| each.overload_policy).unwrap_or_default();
        match policy {
            OverloadPolicy::CancelAtOnce => self.queue.asks_of(tier),
            OverloadPolicy::CancelWhenLate => self.queue.late_count(tier),
        }
    }

    /// Cancels enough streams of less urgent tiers to make room for `wanted` asks of `tier`. Streams that were
    /// cancelled earlier and still occupy a slot count towards the number.
    fn preempt_for(&mut self, context: &mut Context<'_>, tier: Tier, wanted: usize) {
        let missing = wanted.saturating_sub(cancelled_count(&self.slots, tier));
        if missing == 0 || !self.may_grant(context) {
            return;
        }
        let chosen: Vec<SlotKey> = select_victims(&self.slots, tier, missing, |upstream| {
            self.upstream_accepts_work(context.view, upstream)
        });
        for key in chosen {
            self.cancel(context, key, tier);
        }
    }

    fn cancel(&mut self, context: &mut Context<'_>, key: SlotKey, tier: Tier) {
        let name = self.grant_name(key);
        let Some(slot) = self.slots.get_mut(key) else {
            return;
        };
        slot.cancelled = true;
        let fields = vec![
            ("group", name.group.to_string()),
            ("grant", format!("{}/{}", key.0, key.1)),
            ("upstream", slot.upstream.to_string()),
            ("tier", slot.tier.to_string()),
            (
                "reason",
                format!("A request of tier {tier} needs its slot."),
            ),
        ];
        context.send(&slot.entry, Message::CancelGrant(name));
        context.log(LogLevel::Info, "Cancelled a stream.", fields);
    }

    /// Refuses the late asks of a tier; called once no broker of the service serves a less urgent one.
    fn refuse_late(&mut self, context: &mut Context<'_>, tier: Tier) {
        for key in self.queue.late(tier) {
            let Some(queued) = self.queue.get(&key) else {
                continue;
            };
            if !self.is_late(context, queued) {
                self.queue.set_late(&key, false);
                continue;
            }
            let retry_after = self.predicted_wait(context.view, context.now, queued);
            let code = RefusalCode::Overloaded;
            let reason = AskRefusal::Final { code };
            self.refuse_waiting(context, &key, reason, Some(retry_after));
        }
    }

    /// Redirects one late ask of a tier to another group that has free slots. Returns whether there was one.
    fn redirect_late(&mut self, context: &mut Context<'_>, tier: Tier, group: &GroupId) -> bool {
        let late = self.queue.late(tier);
        let Some(key) = late.first() else {
            return false;
        };
        let reason = AskRefusal::Elsewhere {
            group: group.clone(),
        };
        self.refuse_waiting(context, key, reason, None);
        true
    }
}

impl Brokers {
    /// Handles the consequences of a change in a group: makes room for urgent asks, relieves late ones, and sends a
    /// summary if free slots came or went.
    pub(super) fn group_changed(&mut self, context: &mut Context<'_>, id: &str) {
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let service = group.service.clone();
        let tiers: Vec<Tier> = group.queue.tiers().collect();
        for tier in tiers {
            let Some(group) = self.groups.get_mut(id) else {
                return;
            };
            let wanted = group.preemption_demand(context.view, tier);
            group.preempt_for(context, tier, wanted);
            if group.queue.late_count(tier) > 0 && group.may_grant(context) {
                self.relieve_overload(context, id, &service, tier);
            }
        }
        if let Some(group) = self.groups.get_mut(id) {
            group.announce_free_slots(context);
        }
    }

    /// Relieves the late asks of a tier: redirects one to another group of this node, asks the other brokers to yield,
    /// and refuses the rest once every broker has agreed.
    fn relieve_overload(
        &mut self,
        context: &mut Context<'_>,
        id: &str,
        service: &ServiceId,
        tier: Tier,
    ) {
        self.redirect_to_own_group(context, id, service, tier);
        if !self.all_yielded(context, service, tier) {
            self.begin_yield_round(context, service, tier);
        }
        let refuses = context.view.tuning.policy.early_refusal;
        if refuses
            && self.all_yielded(context, service, tier)
            && let Some(group) = self.groups.get_mut(id)
        {
            group.refuse_late(context, tier);
            group.grant_waiting(context, &mut self.shared);
        }
    }

    /// Redirects a late ask to another group that this node holds and that has free slots.
    fn redirect_to_own_group(
        &mut self,
        context: &mut Context<'_>,
        id: &str,
        service: &ServiceId,
        tier: Tier,
    ) {
        let with_room = self
            .groups
            .values()
            .filter(|group| group.id.as_ref() != id && group.service == *service)
            .find(|group| group.yield_state(context, tier) == YieldState::Room)
            .map(|group| group.id.clone());
        if let Some(other) = with_room
            && let Some(group) = self.groups.get_mut(id)
        {
            group.redirect_late(context, tier, &other);
        }
    }

    /// Whether no broker of the service serves anything less urgent than `tier`, and none will start doing so before
    /// the yield round expires.
    fn all_yielded(&self, context: &Context<'_>, service: &ServiceId, tier: Tier) -> bool {
        let Some(round) = self.shared.rounds.get(service, tier) else {
            return false;
        };
        let floors = &self.shared.floors;
        if context.now >= round.binds_until || !floors.holds(service, tier, round.binds_until) {
            return false;
        }
        self.shared.directory.groups(service).iter().all(|group| {
            if let Some(own) = self.groups.get(group) {
                // Without a valid lease, this node cannot know what another holder serves there by now.
                return own.may_grant(context) && own.is_clear(tier);
            }
            let Some(holder) = context.view.holders.get(group) else {
                return false;
            };
            round.is_clear(group, holder.epoch, context.now)
        })
    }

    /// Asks all other brokers of the service to yield, at most once in half a round interval.
    fn begin_yield_round(&mut self, context: &mut Context<'_>, service: &ServiceId, tier: Tier) {
        let gap = context.view.tuning.round / 2;
        let last = self.shared.rounds.get(service, tier);
        if last.is_some_and(|round| context.now < round.began_at + gap) {
            return;
        }
        // A broker that takes over a group grants nothing for longer than this, so a change of holder
        // cannot invalidate an answer.
        let lasts = context.view.tuning.grant_validity;
        if self.last_round == 0 {
            self.last_round = u64::from(context.random.random::<u32>()) << 16;
        }
        self.last_round += 1;
        let number = self.last_round;
        let round = YieldRound::new(number, context.now, lasts);
        self.shared.rounds.begin(service, tier, round);
        self.shared.floors.raise(service, tier, context.now + lasts);
        for node in self.other_brokers(context, service) {
            let wanted = Yield {
                service: service.clone(),
                tier,
                lasts: lasts + context.view.tuning.drift_margin,
                round: number,
            };
            context.send(&node, Message::Yield(wanted));
        }
        self.preempt_for_others(context, service, tier);
    }

    fn other_brokers(&self, context: &Context<'_>, service: &ServiceId) -> BTreeSet<NodeId> {
        let own = &context.view.node.id;
        let groups = self.shared.directory.groups(service).iter();
        groups
            .filter_map(|group| context.view.holders.get(group))
            .map(|holder| holder.node.clone())
            .filter(|node| node != own)
            .collect()
    }

    /// Cancels at least one less urgent stream in each own group of the service that is busy with them.
    fn preempt_for_others(&mut self, context: &mut Context<'_>, service: &ServiceId, tier: Tier) {
        for group in self.groups.values_mut() {
            if group.service == *service && group.yield_state(context, tier) == YieldState::Busy {
                let wanted = group.preemption_demand(context.view, tier).max(1);
                group.preempt_for(context, tier, wanted);
            }
        }
    }

    /// Handles another broker's yield request: raises the floor, answers for each own group, and makes room.
    pub(super) fn yield_requested(
        &mut self,
        context: &mut Context<'_>,
        from: &NodeId,
        wanted: &Yield,
    ) {
        let until = context.now + wanted.lasts.min(longest_yield(context));
        self.shared
            .floors
            .raise(&wanted.service, wanted.tier, until);
        let groups: Vec<GroupYield> = self
            .groups
            .values()
            .filter(|group| group.service == wanted.service)
            .map(|group| GroupYield {
                group: group.id.clone(),
                epoch: group.epoch,
                answer: group.yield_state(context, wanted.tier),
            })
            .collect();
        let answer = YieldAnswer {
            service: wanted.service.clone(),
            tier: wanted.tier,
            round: wanted.round,
            groups,
        };
        context.send(from, Message::YieldAnswer(answer));
        self.preempt_for_others(context, &wanted.service, wanted.tier);
        self.arm_all_timers(context);
    }

    fn arm_all_timers(&mut self, context: &mut Context<'_>) {
        for group in self.groups.values_mut() {
            group.arm_timer(context, &self.shared);
        }
    }

    /// Handles the answer of another broker to the current yield round.
    pub(super) fn yield_answered(&mut self, context: &mut Context<'_>, answer: &YieldAnswer) {
        let Some(round) = self.shared.rounds.get_mut(&answer.service, answer.tier) else {
            return;
        };
        if round.number != answer.round {
            return;
        }
        for group in &answer.groups {
            round.record_answer(group);
        }
        self.redirect_to_free_groups(context, &answer.service, answer.tier);
        let ids: Vec<GroupId> = self.groups.keys().cloned().collect();
        for id in ids {
            self.group_changed(context, &id);
        }
    }

    /// Redirects one late ask of each own group to a group that reported free slots.
    fn redirect_to_free_groups(
        &mut self,
        context: &mut Context<'_>,
        service: &ServiceId,
        tier: Tier,
    ) {
        let own: Vec<GroupId> = self
            .groups
            .values()
            .filter(|group| group.service == *service && group.queue.late_count(tier) > 0)
            .map(|group| group.id.clone())
            .collect();
        for id in own {
            let Some(round) = self.shared.rounds.get_mut(service, tier) else {
                return;
            };
            let Some(free_group) = round.take_free_group() else {
                return;
            };
            if let Some(group) = self.groups.get_mut(&id) {
                group.redirect_late(context, tier, &free_group);
            }
        }
    }
}

/// Upper bound on the duration of a yield, whatever the message says.
fn longest_yield(context: &Context<'_>) -> Duration {
    2 * (context.view.tuning.grant_validity + context.view.tuning.drift_margin)
}
