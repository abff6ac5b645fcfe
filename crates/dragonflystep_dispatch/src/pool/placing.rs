//! Chooses an upstream for a waiting request and grants the slot.

use {
    super::{ServicePool, candidates::FreeUpstreams},
    crate::{
        event::Effect,
        ids::{MonotonicTime, UpstreamId},
        limits::{
            CLEARLY_FASTER_RATIO, IDLE_RUN_COST_SHARE, MAX_STREAM_LIFETIME, PLENTIFUL_SLOTS_SHARE,
            RUN_COST_SHARE,
        },
        messages::{CopyTarget, Grant, SlotDecision, SlotRequest},
        placement::{Prediction, ServiceModel, choose},
        queue::QueuedRequest,
        stream_versions::StreamVersion,
        upstream::Run,
    },
};

/// What is done with a waiting request in one pass over the queue.
pub(super) enum Choice {
    /// It gets a slot at the upstream with this index.
    Grant(usize, Prediction),
    /// It gets a slot as a canary, at the upstream of the new version with this index.
    GrantCanary(usize, Prediction),
    /// It keeps waiting, and the next request is considered.
    Wait,
}

/// Where a run is placed.
pub(super) struct Placed {
    /// Index of its upstream.
    pub(super) index: usize,
    pub(super) prediction: Prediction,
    /// The upstream that gets a copy; absent if none does.
    pub(super) copied_to: Option<UpstreamId>,
    /// Work that counts as received by the account, in milliseconds of one slot.
    pub(super) work_ms: f64,
}

impl ServicePool {
    /// Limits the slots that this owner uses to a share of all slots; `None` removes the limit.
    pub(crate) fn limit_slots(&mut self, share: Option<f64>) {
        self.slot_share = share;
    }

    /// Returns the facts about the service that predictions need.
    pub(super) fn model(&self) -> ServiceModel<'_> {
        ServiceModel {
            averages: &self.averages,
            tokens_per_event: self.engine.map_or(1, |engine| engine.tokens_per_event),
            memory_tokens: self.engine.map(|engine| engine.cache_tokens),
            spread_costs: self.slot_share.is_some(),
            run_cost_share: RUN_COST_SHARE + IDLE_RUN_COST_SHARE * self.idle_share(),
        }
    }

    /// Returns 1 for a service without any runs, falling to 0 where [`PLENTIFUL_SLOTS_SHARE`] of the slots is taken.
    fn idle_share(&self) -> f64 {
        let taken = self.run_index.len() as f64 / self.total_slots.max(1) as f64;
        (1.0 - taken / PLENTIFUL_SLOTS_SHARE).max(0.0)
    }

    /// Chooses an upstream for a queued request, or lets it wait for a better one.
    pub(super) fn choose_for(
        &self,
        now: MonotonicTime,
        queued: &QueuedRequest,
        free_upstreams: &FreeUpstreams,
    ) -> Choice {
        let objective_left = queued.objective_left(now);
        if self.awaits_others_with_content(now, &queued.request) {
            return Choice::Wait;
        }
        if queued.request.required_version().is_some() {
            let found = choose(
                now,
                &queued.request,
                objective_left,
                &self.upstreams,
                &self.free_upstreams_for_stream(now, &queued.request),
                self.model(),
            );
            return found.map_or(Choice::Wait, |(index, prediction)| {
                Choice::Grant(index, prediction)
            });
        }
        if queued.is_canary && !free_upstreams.canary.is_empty() {
            let (request, canary) = (&queued.request, &free_upstreams.canary);
            let found = choose(
                now,
                request,
                objective_left,
                &self.upstreams,
                canary,
                self.model(),
            );
            if let Some((index, prediction)) = found {
                return Choice::GrantCanary(index, prediction);
            }
        }
        let found = choose(
            now,
            &queued.request,
            objective_left,
            &self.upstreams,
            &free_upstreams.main,
            self.model(),
        );
        let Some((index, prediction)) = found else {
            return Choice::Wait;
        };
        // A request that could still be on time does not take a slot where it would be late while a clearly faster
        // upstream may become free; other requests may take that slot.
        if prediction.is_on_time
            || queued.is_late(now)
            || !self.has_faster_full_upstream(free_upstreams, index)
        {
            return Choice::Grant(index, prediction);
        }
        Choice::Wait
    }

    /// Whether some full upstream is clearly faster than the one at `index`.
    fn has_faster_full_upstream(&self, free_upstreams: &FreeUpstreams, index: usize) -> bool {
        let chosen = self.upstreams[index].speed.prefill_ms_per_token;
        free_upstreams
            .fastest_full_ms_per_token
            .is_some_and(|fastest| fastest < chosen * CLEARLY_FASTER_RATIO)
    }

    /// Grants a slot at the upstream with this index and starts the run, which counts as `work_ms` of its account's share.
    pub(super) fn grant(
        &mut self,
        now: MonotonicTime,
        request: SlotRequest,
        index: usize,
        prediction: Prediction,
        work_ms: f64,
    ) -> Effect {
        let copy = self.choose_copy(now, &request, index, &prediction);
        let target = copy.as_ref().map(|copy| {
            let entry = &self.upstreams[copy.index].entry;
            CopyTarget {
                upstream: entry.id.clone(),
                address: entry.address.clone(),
            }
        });
        let entry = &self.upstreams[index].entry;
        let grant = Grant {
            upstream: entry.id.clone(),
            address: entry.address.clone(),
            version: entry.version.clone(),
            reports_begin: self.verdicts.suspects(&request),
            copy: target,
        };
        let run = request.run;
        self.granted_slots += 1;
        self.shares
            .record(now, request.tier, &request.account, work_ms);
        self.upstreams[index].record_sent(now);
        let ends_at = prediction.end_at.max(now + request.time_left);
        let copied_to = grant.copy.as_ref().map(|copy| copy.upstream.clone());
        if let Some(copy) = &copy {
            self.copied_runs += 1;
            self.start_copy(run, copy, ends_at);
        }
        let placed = Placed {
            index,
            prediction,
            copied_to,
            work_ms,
        };
        self.start_run(now, request, placed);
        Effect {
            run,
            decision: SlotDecision::Granted(grant),
        }
    }

    /// Records a run at the upstream with this index, with its predicted times.
    pub(super) fn start_run(&mut self, at: MonotonicTime, request: SlotRequest, placed: Placed) {
        let Placed {
            index,
            prediction,
            copied_to,
            work_ms,
        } = placed;
        let upstream = &mut self.upstreams[index];
        if let Some(stream) = &request.stream {
            let versions = request.stream_ids().map(|id| StreamVersion {
                stream: id,
                version: upstream.entry.version.clone(),
                lifetime: stream.caller_time_left.min(MAX_STREAM_LIFETIME),
            });
            self.granted_streams.extend(versions);
        }
        upstream.prefix_cache.read(at, &request.size.segments);
        let run = Run {
            prefill_backlog_tokens: prediction.prefill_backlog_tokens,
            first_event_expected_at: prediction.first_event_at,
            end_expected_at: prediction.end_at,
            is_overdue: false,
            began_cold: upstream.is_cold(at),
            copied_to,
            work_ms,
            request,
        };
        self.run_index.insert(run.request.run, index);
        upstream.runs.insert(run.request.run, run);
    }
}
