//! Chooses which runs are copied to a second upstream and where, and lets a run go on there.
//!
//! It is designed for upstreams that crash under long streams while the service is full. An answer that has begun can't be
//! sent to another upstream unless its route permits that, and one that may be has to wait for its prompt to be read again.
//! With a copy, both go on within a few events.
//!
//! An upstream holds a copy as long as it has room, so copies cost bytes and memory but no slots. The upstream that is
//! chosen is in the same data centre if one has room there, because transfers between data centres take longer.

use {
    super::ServicePool,
    crate::{
        catalogue::CacheTransfer,
        copy_rules::CopyRules,
        event::Effect,
        ids::{MonotonicTime, RunId, Tier, UpstreamId},
        limits::{
            COPY_CANDIDATES, LOWEST_TIER_COPY_FACTOR, MAX_CONTINUED_PER_SLOT,
            MAX_COPY_FAILURE_RATE, REPEATABLE_COPY_FACTOR,
        },
        messages::{RefusalReason, RunCopy, RunOutcome, SlotRequest},
        placement::{Prediction, predict},
        upstream::{LiveUpstream, Run},
    },
    std::time::Duration,
};

/// A copy that a run gets: the index of the upstream that holds it, and its memory in tokens.
pub(super) struct ChosenCopy {
    pub(super) index: usize,
    tokens: u64,
}

impl ServicePool {
    pub(crate) fn set_copy_rules(&mut self, rules: CopyRules) {
        self.copy_rules = rules;
    }

    fn cache_transfer(&self) -> Option<CacheTransfer> {
        self.engine?.cache_transfer
    }

    /// Chooses where a run at the upstream `source` is copied; none if it is not worth a copy or none has room.
    pub(super) fn choose_copy(
        &self,
        now: MonotonicTime,
        request: &SlotRequest,
        source: usize,
        prediction: &Prediction,
    ) -> Option<ChosenCopy> {
        // A run goes on only once its upstream has stopped it, which upstreams without moves can't be told to do.
        self.cache_transfer()
            .filter(|transfer| transfer.has_backups && transfer.has_moves)?;
        let is_copied = request.longest_pause.is_some()
            && request.continues_at().is_none()
            && !self.verdicts.suspects(request)
            && self.is_worth_copying(now, request, prediction);
        if !is_copied {
            return None;
        }
        let tokens = memory_tokens(request);
        let count = self.upstreams.len();
        // Neighbours in the registry often share a data centre, so each candidate of a large pool is drawn anew.
        let candidates = (0..count.min(COPY_CANDIDATES)).map(|index| {
            if count > COPY_CANDIDATES {
                self.search.draw(count)
            } else {
                index
            }
        });
        let suitable = candidates.filter(|index| {
            *index != source && self.has_room_for_copy(now, request, source, *index, tokens)
        });
        let source_data_centre = &self.upstreams[source].entry.data_centre;
        let best = suitable.min_by_key(|index| {
            let upstream = &self.upstreams[*index];
            let is_far = upstream.entry.data_centre != *source_data_centre;
            (is_far, upstream.runs.len() + upstream.copies.len())
        });
        best.map(|index| ChosenCopy { index, tokens })
    }

    /// Whether the upstream of a run is likely enough to break off before its end. What would be lost is worth more with a
    /// higher tier, and less if the answer may be repeated elsewhere.
    fn is_worth_copying(
        &self,
        now: MonotonicTime,
        request: &SlotRequest,
        prediction: &Prediction,
    ) -> bool {
        let duration = prediction.end_at.saturating_sub(now);
        let probability = self
            .break_rate
            .probability(now, self.upstreams.len(), duration);
        let repeatable_factor = if request.stream.is_some() {
            REPEATABLE_COPY_FACTOR
        } else {
            1.0
        };
        let factor = repeatable_factor * self.copy_tier_factor(request.tier);
        probability >= self.copy_rules.min_break_probability * factor
    }

    /// Factor by which a run of a tier has to be likelier to be lost to be worth a copy: from 1 for the highest tier that was
    /// served lately up to [`LOWEST_TIER_COPY_FACTOR`].
    fn copy_tier_factor(&self, tier: Tier) -> f64 {
        let mut tiers: Vec<Tier> = self.granted_at.keys().map(|(tier, _)| *tier).collect();
        tiers.dedup();
        let above = tiers.iter().filter(|other| **other < tier).count();
        let lowest = tiers.len().saturating_sub(1).max(1);
        let position = above.min(lowest) as f64 / lowest as f64;
        1.0 + position * (LOWEST_TIER_COPY_FACTOR - 1.0)
    }

    fn has_room_for_copy(
        &self,
        now: MonotonicTime,
        request: &SlotRequest,
        source: usize,
        index: usize,
        tokens: u64,
    ) -> bool {
        let upstream = &self.upstreams[index];
        let takes_copies = upstream.is_usable(now)
            && !upstream.is_evacuated
            && !upstream.is_cold(now)
            && upstream.failure_rate < MAX_COPY_FAILURE_RATE
            && upstream.entry.version == self.upstreams[source].entry.version
            && self.takes_main_traffic(upstream)
            && request.permits(&upstream.entry)
            && !request.excluded_upstreams.contains(&upstream.entry.id);
        if !takes_copies {
            return false;
        }
        let memory_tokens = self.engine.map_or(0, |engine| engine.cache_tokens);
        let copied_tokens = upstream.copies.tokens() + tokens;
        // Owners in other partitions copy to the same upstreams.
        let share = self.copy_rules.max_memory_share * self.slot_share.unwrap_or(1.0);
        let max_copied_tokens = memory_tokens as f64 * share;
        copied_tokens as f64 <= max_copied_tokens
            && copied_tokens + running_tokens(upstream) <= memory_tokens
    }

    /// Counts the copy of a run at the upstream that holds it.
    pub(super) fn start_copy(&mut self, run: RunId, copy: &ChosenCopy, ends_at: MonotonicTime) {
        let lifetime = self.copy_lifetime();
        let copies = &mut self.upstreams[copy.index].copies;
        copies.insert(run, copy.tokens, ends_at.saturating_add(lifetime));
    }

    /// Counts the copy of a run that another owner granted.
    pub(super) fn adopt_copy(&mut self, request: &SlotRequest, ends_at: MonotonicTime) {
        if let Some(RunCopy::Kept(upstream)) = &request.copy
            && let Some(&index) = self.upstream_index.get(upstream)
        {
            let copy = ChosenCopy {
                index,
                tokens: memory_tokens(request),
            };
            self.start_copy(request.run, &copy, ends_at);
        }
    }

    /// Frees the copy of a run that ended well or did not run, or lets it expire if the run may go on there.
    pub(super) fn end_copy(&mut self, now: MonotonicTime, run: &Run, outcome: RunOutcome) {
        let Some(index) = run.copied_to.as_ref().and_then(|upstream| {
            let index = self.upstream_index.get(upstream);
            index.copied()
        }) else {
            return;
        };
        let lifetime = self.copy_lifetime();
        let copies = &mut self.upstreams[index].copies;
        if outcome == RunOutcome::Completed || !outcome.may_have_run() {
            copies.remove(run.request.run);
        } else {
            copies.shorten(run.request.run, now.saturating_add(lifetime));
        }
    }

    fn copy_lifetime(&self) -> Duration {
        let transfer = self.cache_transfer();
        transfer.map_or(Duration::ZERO, |transfer| transfer.copy_lifetime)
    }

    /// Lets a run that broke off go on at the upstream that holds its copy, or refuses it at once. The upstream admits it
    /// before all that wait there, so it needs no free slot.
    pub(super) fn continue_run(
        &mut self,
        now: MonotonicTime,
        request: SlotRequest,
        target: &UpstreamId,
        effects: &mut Vec<Effect>,
    ) {
        let index = self.upstream_index.get(target).copied();
        let Some(index) = index.filter(|index| self.takes_continued(now, &request, *index)) else {
            self.refuse_new(now, &request, RefusalReason::NoUpstream, effects);
            return;
        };
        let (objective_left, model) = (request.objective_left, self.model());
        let prediction = predict(now, &request, objective_left, &self.upstreams[index], model);
        // The account was counted for the run when it began.
        effects.push(self.grant(now, request, index, prediction, 0.0));
    }

    fn takes_continued(&self, now: MonotonicTime, request: &SlotRequest, index: usize) -> bool {
        let upstream = &self.upstreams[index];
        upstream.is_usable(now)
            && upstream.has_permit(now)
            && !upstream.is_evacuated
            && request.permits(&upstream.entry)
            && self.takes_resumed_streams(upstream)
            && (upstream.runs.len() as u32)
                < upstream.slots().saturating_mul(MAX_CONTINUED_PER_SLOT)
    }
}

/// Memory that a run takes at most, in tokens.
fn memory_tokens(request: &SlotRequest) -> u64 {
    u64::from(request.size.prompt_tokens) + u64::from(request.size.output_tokens)
}

fn running_tokens(upstream: &LiveUpstream) -> u64 {
    let runs = upstream.runs.values();
    runs.map(|run| memory_tokens(&run.request)).sum()
}
