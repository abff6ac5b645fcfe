//! Life cycle of granted streams, as their entry nodes report it.

use {
    super::{
        grant::incarnation_of,
        group::Group,
        rates::Rates,
        shared::Shared,
        slots::{Slot, SlotKey, SlotState},
    },
    crate::{
        catalogue::ServiceKind,
        context::{Context, View},
        ids::{GrantId, NodeId, UpstreamId},
        message::{Finished, GrantName, HeldGrant, Holding},
        request::Outcome,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Minimum number of tokens of a stream whose token gap is used to adjust the adaptive limit.
const MIN_GAP_TOKENS: u32 = 8;
/// Weight of a new observation in the moving average of an upstream's slowness.
const SLOWNESS_WEIGHT: f64 = 0.3;
/// Upper bound of an observed slowness.
const MAX_SLOWNESS: f64 = 20.0;
/// Minimum time between two reports of a stream from which its token gap is computed.
const MIN_SAMPLE_SECONDS: f64 = 0.2;
/// Lower bound of an upstream's token gap in comparisons, in seconds.
const MIN_GAP_SECONDS: f64 = 1e-4;
/// Silence of a stream, in multiples of the usual token gap, beyond which it counts as slow.
const SILENT_GAPS: f64 = 20.0;

impl Group {
    fn slot_key(&self, from: &NodeId, name: &GrantName) -> Option<SlotKey> {
        let key = (name.epoch, name.grant);
        let slot = self.slots.get(key)?;
        (slot.entry == *from).then_some(key)
    }

    /// Handles an entry node's report that it has sent the request to the upstream.
    pub fn stream_started(&mut self, context: &Context<'_>, from: &NodeId, name: &GrantName) {
        let Some(key) = self.slot_key(from, name) else {
            return;
        };
        if let Some(slot) = self.slots.get_mut(key)
            && !matches!(
                slot.state,
                SlotState::Running { .. } | SlotState::Released { .. }
            )
        {
            slot.state = SlotState::Running { since: context.now };
            slot.last_reported_at = context.now;
        }
    }

    /// Handles the return of a grant that was not used and never will be.
    pub fn grant_returned(
        &mut self,
        context: &mut Context<'_>,
        shared: &mut Shared,
        from: &NodeId,
        name: &GrantName,
    ) {
        let Some(key) = self.slot_key(from, name) else {
            return;
        };
        if let Some(slot) = self.slots.end(key)
            && let Some(model) = self.upstreams.get_mut(&slot.upstream)
        {
            model.prefill_returned(slot.prefill_seconds);
        }
        self.grant_waiting(context, shared);
    }

    /// Handles the end of a stream, as its entry node reports it.
    pub fn stream_finished(
        &mut self,
        context: &mut Context<'_>,
        shared: &mut Shared,
        from: &NodeId,
        finished: &Finished,
    ) {
        let Some(key) = self.slot_key(from, &finished.grant) else {
            return;
        };
        let Some(slot) = self.slots.get(key).cloned() else {
            return;
        };
        let was_released = matches!(slot.state, SlotState::Released { .. });
        match finished.outcome {
            Outcome::Failed | Outcome::Cancelled if was_released => return,
            Outcome::Completed | Outcome::Rejected => {
                self.slots.end(key);
            }
            Outcome::Failed | Outcome::Cancelled => {
                self.release_slot(context, key, slot.cancellable)
            }
        }
        if finished.outcome == Outcome::Completed
            && let Some(fingerprint) = slot.fingerprint
        {
            shared.quarantine.clear(fingerprint);
        }
        self.learn(context, shared, key, &slot, finished);
        self.grant_waiting(context, shared);
    }

    /// Keeps counting a stream that its entry node gave up, until the upstream has certainly ended it.
    fn release_slot(&mut self, context: &mut Context<'_>, key: SlotKey, cancellable: bool) {
        self.slots.release(key, context.now);
        if cancellable {
            self.cancel_at_upstream(context, key);
        }
    }

    fn learn(
        &mut self,
        context: &Context<'_>,
        shared: &mut Shared,
        key: SlotKey,
        slot: &Slot,
        finished: &Finished,
    ) {
        let kind = self.kind;
        let Some(model) = self.upstreams.get_mut(&slot.upstream) else {
            return;
        };
        if let Some(found) = finished.cached_tokens {
            model.cache.check_prediction(slot.cached_tokens, found);
        }
        let cached = finished.cached_tokens.unwrap_or(slot.cached_tokens);
        let computed = slot.prompt_tokens.saturating_sub(cached);
        let is_completed = finished.outcome == Outcome::Completed;
        let own_time = |after: Duration| {
            let ended_at = slot.granted_at + after;
            // A prompt cannot have ended later than the report of its end arrived.
            model.prompt_ends.ended(key, ended_at.min(context.now));
            model.prompt_ends.own_time(key, slot.granted_at, ended_at)
        };
        let finished = &Finished {
            first_token_after: finished.first_token_after.map(own_time),
            ..finished.clone()
        };
        let output = slot.output_tokens;
        model.learned_at = context.now;
        model
            .rates
            .learn(kind, finished, computed, output, is_completed);
        let class = shared.classes.entry(model.entry.class.clone());
        let class = class.or_default();
        class.learn(kind, finished, computed, output, is_completed);
        let class = (model.entry.class.clone(), *class);
        if is_completed {
            let seconds = context.now.saturating_sub(slot.granted_at).as_secs_f64();
            let mean = self.mean_service_seconds.unwrap_or(seconds);
            self.mean_service_seconds = Some(mean + 0.1 * (seconds - mean));
        }
        let running = self.slots.usage(&slot.upstream).running;
        if finished.outcome == Outcome::Failed {
            model.record_failure(context.now, slot);
        } else if kind == ServiceKind::Engine && finished.tokens >= MIN_GAP_TOKENS {
            let gap = finished.streamed_for.as_secs_f64() / f64::from(finished.tokens - 1);
            let promised = shared.directory.token_gap(slot.tier);
            model.limit.record_gap(context.now, gap, promised, running);
        } else if is_completed {
            model.limit.increase(running);
        }
        self.apply_class_rates(&class.0, &class.1);
    }

    /// Applies the class rates to those upstreams of the class that have too few samples of their own.
    fn apply_class_rates(&mut self, name: &str, class: &Rates) {
        for model in self.upstreams.values_mut() {
            if model.entry.class.as_ref() == name && !model.rates.has_own_samples() {
                model.rates = model.rates.following_class(class);
            }
        }
    }

    /// Handles an entry node's complete list of the grants that it holds in this group.
    pub fn holding_received(
        &mut self,
        context: &mut Context<'_>,
        shared: &mut Shared,
        from: &NodeId,
        holding: &Holding,
    ) {
        if holding.epoch != self.epoch {
            // A list made before the entry node heard of this epoch may lack a grant that was in transit.
            return;
        }
        // The token gap is computed from the change since the last list, so this comes before the slots are updated.
        self.update_slowness(context, holding);
        let was_waited_for = self.takeover.node_reported(from);
        let mut listed = BTreeSet::new();
        for held in &holding.grants {
            let key = (held.epoch, held.grant);
            listed.insert(key);
            self.record_held_grant(context, from, key, held, was_waited_for);
        }
        self.end_missing(context, from, &listed, holding.seen_grant);
        self.compare_in_takeover();
        self.finish_takeover_if_known(context);
        self.grant_waiting(context, shared);
    }

    fn record_held_grant(
        &mut self,
        context: &Context<'_>,
        from: &NodeId,
        key: SlotKey,
        held: &HeldGrant,
        was_waited_for: bool,
    ) {
        if self.slots.has_ended(key) {
            return;
        }
        if let Some(slot) = self.slots.get_mut(key) {
            let is_released = matches!(slot.state, SlotState::Released { .. });
            if slot.entry != *from || is_released {
                return;
            }
            if !matches!(slot.state, SlotState::Running { .. }) {
                slot.state = listed_state(context, held.tokens > 0);
            }
            slot.last_reported_at = context.now;
            self.unattributed.remove(&key);
            self.record_prompt_end(context.now, key, held);
            self.slots.record_tokens(key, held.tokens);
            return;
        }
        // A load report counted this stream as one without a slot; it has one now.
        let was_unseen = was_waited_for && key.0 < self.epoch;
        if was_unseen
            && let Some(model) = self.upstreams.get_mut(&held.upstream)
            && let Some(untracked) = model.untracked.as_mut()
        {
            *untracked = untracked.saturating_sub(1);
        }
        let slot = Slot {
            entry: from.clone(),
            incarnation: incarnation_of(context.view, from),
            upstream: held.upstream.clone(),
            tier: held.tier,
            account: held.account.clone(),
            cancellable: held.cancellable,
            prompt_tokens: held.prompt_tokens,
            output_tokens: held.output_tokens,
            cached_tokens: 0,
            prefill_seconds: 0.0,
            backlog_seconds: 0.0,
            fingerprint: None,
            exclusive: false,
            granted_at: context.now,
            last_reported_at: context.now,
            tokens: held.tokens,
            cancelled: false,
            expires_at: context.now + grant_lifetime(context),
            state: listed_state(context, held.tokens > 0 || key.0 < self.epoch),
        };
        self.slots.insert(key, slot);
    }

    /// Estimates when a stream's prompt was finished, from the tokens received since at the usual token gap.
    fn record_prompt_end(&mut self, now: Duration, key: SlotKey, held: &HeldGrant) {
        let is_first = self.slots.get(key).is_some_and(|slot| slot.tokens == 0);
        if !is_first || held.tokens == 0 {
            return;
        }
        if let Some(model) = self.upstreams.get_mut(&held.upstream) {
            let since = model.rates.gap() * (held.tokens - 1) + held.silent_for;
            model.prompt_ends.ended(key, now.saturating_sub(since));
        }
    }

    /// Ends the grants of an entry node that are missing from its complete list.
    fn end_missing(
        &mut self,
        context: &mut Context<'_>,
        from: &NodeId,
        listed: &BTreeSet<SlotKey>,
        seen_grant: GrantId,
    ) {
        let missing: Vec<SlotKey> = self
            .slots
            .iter()
            .filter(|(key, slot)| slot.entry == *from && !listed.contains(key))
            .map(|(key, _)| key)
            .collect();
        for key in missing {
            self.end_if_missing(context, key, seen_grant);
        }
    }

    fn end_if_missing(&mut self, context: &mut Context<'_>, key: SlotKey, seen_grant: GrantId) {
        let Some(slot) = self.slots.get(key) else {
            return;
        };
        if is_of_older_process(context.view, slot) {
            // The new process under the same name does not know the old one's streams. A grant in transit to the
            // new process may be recorded under the old incarnation; it is listed once it is used.
            if context.now >= slot.expires_at + context.view.tuning.round {
                self.unattributed.remove(&key);
                self.mark_doubtful(context, key);
            }
            return;
        }
        // Once an entry node has reported a grant number as seen without listing the grant, it never uses that
        // grant. The list is therefore valid however late it arrives.
        let seen = key.0 < self.epoch || key.1 <= seen_grant;
        let cancellable = slot.cancellable;
        match slot.state {
            SlotState::Released { .. } => {}
            // The report of the stream's end was lost; the entry node may have given the stream up.
            _ if seen => self.release_slot(context, key, cancellable),
            // The grant was lost in transit and has expired by now. A list made before a late start would lack
            // it as well, but such a list is not in transit for so long.
            SlotState::Doubtful { since } => {
                let lives = incarnation_of(context.view, &slot.entry).is_some();
                if lives && context.now >= since + grant_lifetime(context) {
                    self.slots.end(key);
                }
            }
            _ => {}
        }
    }

    /// Marks a stream as doubtful: its entry node cannot report on it any more.
    pub(super) fn mark_doubtful(&mut self, context: &Context<'_>, key: SlotKey) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.state = match slot.state {
                SlotState::Granted | SlotState::Listed => SlotState::Doubtful {
                    since: slot.expires_at,
                },
                SlotState::Running { .. } => SlotState::Doubtful { since: context.now },
                unattended @ (SlotState::Released { .. } | SlotState::Doubtful { .. }) => {
                    unattended
                }
            };
        }
    }

    /// Updates the slowness of upstreams by comparing the token gaps of listed streams with the usual ones.
    fn update_slowness(&mut self, context: &Context<'_>, holding: &Holding) {
        if self.kind == ServiceKind::Plain {
            return;
        }
        let mut seen: BTreeMap<UpstreamId, (f64, f64)> = BTreeMap::new();
        for held in &holding.grants {
            if let Some(slowness) = self.slowness_of(context, held) {
                let (sum, count) = seen.entry(held.upstream.clone()).or_default();
                *sum += slowness;
                *count += 1.0;
            }
        }
        for (upstream, (sum, count)) in seen {
            if let Some(model) = self.upstreams.get_mut(&upstream) {
                model.slowness += SLOWNESS_WEIGHT * (sum / count - model.slowness);
            }
        }
    }

    /// Ratio of a listed stream's token gap to the upstream's usual one; `None` when it cannot be computed.
    fn slowness_of(&self, context: &Context<'_>, held: &HeldGrant) -> Option<f64> {
        let slot = self.slots.get((held.epoch, held.grant))?;
        let model = self.upstreams.get(&held.upstream)?;
        let gap = model.rates.gap().as_secs_f64().max(MIN_GAP_SECONDS);
        let silent_gaps = held.silent_for.as_secs_f64() / gap;
        if held.tokens > 0 && silent_gaps > SILENT_GAPS {
            return Some((1.0 + silent_gaps / SILENT_GAPS).min(MAX_SLOWNESS));
        }
        let since = context
            .now
            .saturating_sub(slot.last_reported_at)
            .as_secs_f64();
        let new_tokens = held.tokens.saturating_sub(slot.tokens);
        if slot.tokens == 0 || new_tokens == 0 || since < MIN_SAMPLE_SECONDS {
            return None;
        }
        let pace = since / f64::from(new_tokens);
        Some((pace / gap).clamp(1.0, MAX_SLOWNESS))
    }
}

/// How long after a grant its entry node may start the request, including the margin for clock drift.
fn grant_lifetime(context: &Context<'_>) -> Duration {
    context.view.tuning.grant_validity + context.view.tuning.drift_margin
}

/// State of a grant that its entry node listed. Grants of older epochs count as running, since unused ones are
/// dropped by their entry nodes.
fn listed_state(context: &Context<'_>, runs: bool) -> SlotState {
    if !runs {
        return SlotState::Listed;
    }
    SlotState::Running { since: context.now }
}

/// Whether the slot was granted to an earlier incarnation of its entry node.
fn is_of_older_process(view: &View, slot: &Slot) -> bool {
    match (slot.incarnation, incarnation_of(view, &slot.entry)) {
        (Some(granted_to), Some(present)) => granted_to != present,
        _ => false,
    }
}
