//! Periodic work of a group: resolving doubtful slots, comparing load reports with the slots, sending summaries.

use {
    super::{
        grant::incarnation_of,
        group::Group,
        shared::Shared,
        slots::{Slot, SlotKey, SlotState},
        takeover::{LONGEST_LEFT_BEHIND, REPORT_MARGIN},
        upstream::LoadReport,
    },
    crate::{
        context::Context,
        effect::{Effect, LogLevel},
        ids::{Incarnation, NodeId, UpstreamId},
        message::{GrantName, Message, Summary},
    },
    std::{collections::BTreeSet, time::Duration},
};

/// Share of an upstream's excess slowness that is removed in each round, so that it is used again in the end.
const SLOWNESS_RECOVERY: f64 = 0.03;

/// Share of the difference to its class by which an idle upstream's rates move in each round.
const RATES_RECOVERY: f64 = 0.005;
/// Time without an ended stream after which an upstream counts as idle.
const IDLE_AFTER: Duration = Duration::from_secs(10);

impl Group {
    /// Handles the group's timer. Deadlines and grants are handled each time, the rest once per round interval.
    pub fn round_due(&mut self, context: &mut Context<'_>, shared: &mut Shared) {
        if self.armed_at.is_some_and(|at| at <= context.now) {
            self.armed_at = None;
        }
        self.refuse_expired(context);
        let is_full_round = context.now >= self.next_round_at;
        if is_full_round {
            self.next_round_at = context.now + context.view.tuning.round;
            self.check_slots(context);
            self.recover_speed_estimates(context, shared);
            self.compare_reports(context);
            self.drop_left_behind(context.now);
            self.finish_takeover_if_known(context);
            self.queue.mark_late_before(context.now);
        }
        self.grant_waiting(context, shared);
        if is_full_round {
            self.send_wait_updates(context);
            let receivers = self
                .summary_receivers
                .round_receivers(&context.view.members, context.now);
            self.send_summary(context, receivers);
        }
        self.arm_timer(context, shared);
    }

    fn check_slots(&mut self, context: &mut Context<'_>) {
        if !self.takeover.is_done() {
            self.probe_all_holdings(context);
        }
        let slots = &self.slots;
        self.unattributed.retain(|key| slots.get(*key).is_some());
        let mut silent = BTreeSet::new();
        for key in self.expired(context.now) {
            self.mark_doubtful(context, key);
        }
        let in_doubt = self
            .slots
            .iter()
            .filter(|(key, slot)| slot.is_doubtful() || self.unattributed.contains(key));
        for (_, slot) in in_doubt {
            silent.insert(slot.entry.clone());
        }
        for entry in silent {
            // The answer is a complete list of the node's grants, which resolves the doubt.
            self.probe_holdings(context, &entry);
        }
        self.repeat_cancels(context);
    }

    /// Moves slowness and idle upstreams' rates back towards normal, so that an upstream without new signs of slowness
    /// is tried again.
    fn recover_speed_estimates(&mut self, context: &Context<'_>, shared: &Shared) {
        for model in self.upstreams.values_mut() {
            model.slowness += SLOWNESS_RECOVERY * (1.0 - model.slowness);
            if context.now >= model.learned_at + IDLE_AFTER {
                let class = shared.class_rates(&model.entry.class);
                model.rates.drift_towards(&class, RATES_RECOVERY);
            }
        }
    }

    fn expired(&self, now: Duration) -> Vec<SlotKey> {
        self.slots
            .iter()
            .filter(|(_, slot)| slot.state == SlotState::Granted && slot.expires_at <= now)
            .map(|(key, _)| key)
            .collect()
    }

    fn repeat_cancels(&self, context: &mut Context<'_>) {
        for (key, slot) in self.slots.iter() {
            if slot.cancelled && slot.unattended_since().is_none() {
                let message = Message::CancelGrant(self.grant_name(key));
                context.send(&slot.entry, message);
            }
            // A live entry node tells by its list whether it still wants a doubtful stream.
            let is_wanted = slot.is_doubtful() && self.entry_can_report(context, key, slot);
            if slot.unattended_since().is_some() && slot.cancellable && !is_wanted {
                self.cancel_at_upstream(context, key);
            }
        }
    }

    /// Name of a slot's grant, as messages use it.
    pub(super) fn grant_name(&self, key: SlotKey) -> GrantName {
        GrantName {
            group: self.id.clone(),
            epoch: key.0,
            grant: key.1,
        }
    }

    pub(super) fn cancel_at_upstream(&self, context: &mut Context<'_>, key: SlotKey) {
        let Some(slot) = self.slots.get(key) else {
            return;
        };
        let Some(model) = self.upstreams.get(&slot.upstream) else {
            return;
        };
        context.effect(Effect::CancelGrantAt {
            upstream: slot.upstream.clone(),
            address: model.entry.address.clone(),
            grant: self.grant_name(key),
        });
    }

    /// Handles an upstream's confirmation that a cancelled stream has ended there.
    pub fn cancel_confirmed(
        &mut self,
        context: &mut Context<'_>,
        shared: &mut Shared,
        key: SlotKey,
    ) {
        let slot = self.slots.get(key);
        let is_unattended = slot.is_some_and(|slot| slot.unattended_since().is_some());
        if is_unattended {
            self.slots.end(key);
            self.grant_waiting(context, shared);
        }
    }

    /// Whether the entry process that has a slot's grant is alive, as far as this node knows, and so can report on it.
    fn entry_can_report(&self, context: &Context<'_>, key: SlotKey, slot: &Slot) -> bool {
        let present = incarnation_of(context.view, &slot.entry);
        let is_present = slot.incarnation.is_none() || slot.incarnation == present;
        present.is_some() && (is_present || self.unattributed.contains(&key))
    }

    /// Handles the end of a node's process, after which it no longer reports on its streams.
    ///
    /// A restarted process sends asks before its membership row is read here, so grants to it may be recorded under the
    /// incarnation of the ended one. If there is a successor, its list of grants tells which streams are its own.
    pub fn member_gone(
        &mut self,
        context: &mut Context<'_>,
        node: &NodeId,
        incarnation: Incarnation,
    ) {
        self.takeover.node_gone(node);
        let present = incarnation_of(context.view, node);
        let successor = present.filter(|present| *present != incarnation);
        let lost: Vec<SlotKey> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.entry == *node)
            .filter(|(_, slot)| slot.incarnation.is_none() || slot.incarnation != successor)
            .map(|(key, _)| key)
            .collect();
        for key in lost {
            if successor.is_some() {
                self.unattributed.insert(key);
                continue;
            }
            self.unattributed.remove(&key);
            self.mark_doubtful(context, key);
            if self.slots.get(key).is_some_and(|slot| slot.cancellable) {
                self.cancel_at_upstream(context, key);
            }
        }
    }

    /// Handles a node that joined. An earlier holder of the group may have granted slots to it, so it is asked.
    pub fn member_joined(&mut self, context: &mut Context<'_>, node: &NodeId) {
        self.takeover.node_joined(node);
        self.probe_holdings(context, node);
    }

    /// Handles an upstream's load report; `queued` is the number of requests in its own queue.
    pub fn load_reported(
        &mut self,
        context: &mut Context<'_>,
        shared: &mut Shared,
        upstream: &UpstreamId,
        report: LoadReport,
        queued: u32,
    ) {
        self.compare_reports(context);
        // The report is compared at once to keep a takeover short, and again when more is known of what ran.
        self.compare_report(upstream, report);
        let useful_from = self.takeover.reports_bound_from();
        if let Some(model) = self.upstreams.get_mut(upstream) {
            if queued > 0 {
                let factor = super::adaptive_limit::ENGINE_QUEUE_DECREASE;
                model.limit.decrease(report.sampled_at, factor);
            }
            model.keep_report(report, useful_from);
        }
        self.probe_running(context, upstream);
        self.finish_takeover_if_known(context);
        self.grant_waiting(context, shared);
    }

    /// During a takeover, asks the entry nodes of an upstream's streams whether those still run, after a load report
    /// arrived. Only streams known to have run past the report's sample time are subtracted from the reported number.
    fn probe_running(&self, context: &mut Context<'_>, upstream: &UpstreamId) {
        let is_bounding = self
            .upstreams
            .get(upstream)
            .is_some_and(|model| model.untracked.is_some_and(|untracked| untracked > 0));
        if self.takeover.is_done() || !is_bounding {
            return;
        }
        let slots = self.slots.iter().map(|(_, slot)| slot);
        let entries: BTreeSet<NodeId> = slots
            .filter(|slot| slot.upstream == *upstream)
            .map(|slot| slot.entry.clone())
            .collect();
        for entry in entries {
            self.probe_holdings(context, &entry);
        }
    }

    /// During a takeover, compares the pending load reports with the slots as soon as an entry node has listed its
    /// grants.
    pub(super) fn compare_in_takeover(&mut self) {
        if self.takeover.is_done() {
            return;
        }
        for (upstream, report) in self.pending_reports() {
            self.compare_report(&upstream, report);
        }
    }

    /// Compares each upstream's pending load report with the slots, more than a round interval after it was read.
    ///
    /// By then the messages about streams that ended before the sample have arrived, so a stream that still counts as
    /// running did run when the report was sampled.
    fn compare_reports(&mut self, context: &Context<'_>) {
        let delay = context.view.tuning.round + REPORT_MARGIN;
        let mut due = self.pending_reports();
        due.retain(|(_, report)| context.now >= report.read_at + delay);
        for (upstream, report) in due {
            self.compare_report(&upstream, report);
            if let Some(model) = self.upstreams.get_mut(&upstream) {
                model.pending_report = None;
            }
        }
    }

    fn pending_reports(&self) -> Vec<(UpstreamId, LoadReport)> {
        let models = self.upstreams.iter();
        models
            .filter_map(|(id, model)| Some((id.clone(), model.pending_report?)))
            .collect()
    }

    fn compare_report(&mut self, upstream: &UpstreamId, report: LoadReport) {
        let known = self
            .slots
            .running_at(upstream, report.sampled_at, REPORT_MARGIN);
        let unknown = report.running.saturating_sub(known);
        let Some(model) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let from = self
            .takeover
            .reports_bound_from()
            .max(model.untracked_as_of);
        if report.sampled_at >= from {
            let before = model.untracked.unwrap_or(u32::MAX);
            model.untracked = Some(before.min(unknown));
        }
        if model.untracked == Some(0) {
            self.end_unattended(upstream, report.sampled_at, unknown);
        }
    }

    /// Removes the slots of an upstream's unattended streams when a load report shows that fewer of them ran at
    /// `sampled_at` than there are slots; `unknown` is the most that may have run.
    ///
    /// On an upstream with a token limit, this is done only if none of them ran, since the tokens of a stream without
    /// a slot are unknown.
    fn end_unattended(&mut self, upstream: &UpstreamId, sampled_at: Duration, unknown: u32) {
        let unattended: Vec<SlotKey> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.upstream == *upstream)
            .filter(|(_, slot)| {
                let since = slot.unattended_since();
                since.is_some_and(|since| since + REPORT_MARGIN <= sampled_at)
            })
            .map(|(key, _)| key)
            .collect();
        let Some(model) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let counts_tokens = model.entry.limits.held_tokens.is_some();
        if unknown as usize >= unattended.len() || (unknown > 0 && counts_tokens) {
            return;
        }
        // It is not known which of them still run, so the remaining ones are only counted from now on.
        model.untracked = Some(unknown);
        model.untracked_as_of = sampled_at;
        for key in unattended {
            self.slots.remove(key);
        }
    }

    /// Removes streams of unknown state after [`LONGEST_LEFT_BEHIND`] on upstreams that never report their load.
    fn drop_left_behind(&mut self, now: Duration) {
        let older_are_over = now >= self.takeover.expires_at() + LONGEST_LEFT_BEHIND;
        let mut silent = BTreeSet::new();
        for (id, model) in &mut self.upstreams {
            if model.has_reported {
                continue;
            }
            silent.insert(id.clone());
            if older_are_over {
                model.untracked = Some(0);
            }
        }
        let over: Vec<SlotKey> = self
            .slots
            .iter()
            .filter(|(_, slot)| silent.contains(&slot.upstream))
            .filter(|(_, slot)| {
                let since = slot.unattended_since();
                since.is_some_and(|since| now >= since + LONGEST_LEFT_BEHIND)
            })
            .map(|(key, _)| key)
            .collect();
        for key in over {
            self.slots.remove(key);
        }
    }

    /// Ends the takeover once every stream that may run on the upstreams has a slot and no old grant can be started.
    pub(super) fn finish_takeover_if_known(&mut self, context: &mut Context<'_>) {
        if self.takeover.is_done() {
            return;
        }
        if !self.all_tracked() || self.takeover.old_grants_live(context.now) {
            self.warn_of_long_takeover(context);
            return;
        }
        self.takeover.finish();
        let fields = vec![
            ("group", self.id.to_string()),
            ("epoch", self.epoch.to_string()),
            ("running", self.slots.len().to_string()),
        ];
        context.log(
            LogLevel::Info,
            "Takeover ended: all streams are known.",
            fields,
        );
    }

    fn all_tracked(&self) -> bool {
        let mut models = self.upstreams.values();
        models.all(|model| model.untracked == Some(0))
    }

    /// Whether every stream that may run on the group's upstreams has a slot.
    pub(super) fn all_streams_known(&self) -> bool {
        self.takeover.is_done() && self.all_tracked()
    }

    /// Logs once which nodes and upstreams prevent slots from being granted, for operators.
    fn warn_of_long_takeover(&mut self, context: &mut Context<'_>) {
        if !self.takeover.warning_due(context.now) {
            return;
        }
        let nodes: Vec<&str> = self.takeover.waiting_on().map(AsRef::as_ref).collect();
        let upstreams: Vec<&str> = self
            .upstreams
            .iter()
            .filter(|(_, model)| model.untracked != Some(0))
            .map(|(id, _)| id.as_ref())
            .collect();
        let fields = vec![
            ("group", self.id.to_string()),
            ("nodes", nodes.join(" ")),
            ("upstreams", upstreams.join(" ")),
            (
                "reason",
                "No load report shows which streams still run there.".into(),
            ),
        ];
        let text = "A takeover lasts long: not all slots are granted.";
        context.log(LogLevel::Warn, text, fields);
    }

    /// Sends a summary to the nodes that asked recently, when the last free slot was taken or a slot became free.
    pub(super) fn announce_free_slots(&mut self, context: &mut Context<'_>) {
        let has_free = self.may_grant(context) && self.free_slots(context.view, context.now) > 0;
        if self
            .summary_receivers
            .free_slots_changed(has_free, context.now)
        {
            let receivers = self.summary_receivers.recent_nodes(context.now);
            self.send_summary(context, receivers);
        }
    }

    fn send_summary(&self, context: &mut Context<'_>, receivers: BTreeSet<NodeId>) {
        let summary = self.summary(context);
        let own = context.view.node.id.clone();
        for node in receivers.into_iter().chain([own]) {
            context.send(&node, Message::Summary(summary.clone()));
        }
    }

    fn summary(&self, context: &Context<'_>) -> Summary {
        let view = &context.view;
        let lowest = self.least_urgent_tier;
        let free_slots = if self.may_grant(context) {
            self.free_slots(view, context.now)
        } else {
            0
        };
        let models = self.upstreams.len().max(1);
        let total: Duration = self
            .upstreams
            .values()
            .map(|model| model.rates.prefill_per_thousand())
            .sum();
        Summary {
            group: self.id.clone(),
            epoch: self.epoch,
            service: self.service.clone(),
            free_slots,
            predicted_wait: (0..=lowest)
                .map(|tier| self.predicted_tier_wait(view, context.now, tier))
                .collect(),
            prefill_per_thousand: total / u32::try_from(models).unwrap_or(u32::MAX),
        }
    }
}
