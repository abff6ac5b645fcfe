//! Where places may be given out, and giving one out.

use {
    super::ServicePool,
    crate::{
        dispatcher::Effect,
        ids::MonotonicTime,
        limits::CLEARLY_FASTER,
        messages::{Grant, SlotDecision, SlotRequest},
        placement::{Prediction, ServiceModel, choose},
        queue::QueuedRequest,
        upstream::{LiveUpstream, Run},
    },
};

/// What is done with the request at the head of the queue.
pub(super) enum Choice {
    /// It goes to the upstream of this index.
    Place(usize, Prediction),
    /// It goes to the upstream of this index, which is of a new version.
    PlaceCanary(usize, Prediction),
    /// It waits, and the next one is looked at.
    Wait,
}

/// Where places may be given out.
pub(super) struct FreeUpstreams {
    /// Upstreams with a free place.
    pub(super) free: Vec<usize>,
    /// Upstreams of a new version with a free place, for canaries only.
    pub(super) canary: Vec<usize>,
    /// Reading speed of the fastest upstream that is full, in milliseconds a token.
    pub(super) fastest_full: Option<f64>,
}

impl ServicePool {
    /// Limits the places that are given out to a share of all, or takes the limit away.
    pub(crate) fn limit_slots(&mut self, share: Option<f64>) {
        self.places_share = share;
    }

    /// Where places may be given out now.
    pub(super) fn room(&self, now: MonotonicTime) -> FreeUpstreams {
        let mut room = FreeUpstreams {
            free: Vec::new(),
            canary: self.canary_room(now),
            fastest_full: None,
        };
        if let Some(share) = self.places_share {
            let places: u32 = self.upstreams.iter().map(LiveUpstream::slots).sum();
            let running: usize = self.upstreams.iter().map(|one| one.runs.len()).sum();
            if running as f64 >= (f64::from(places) * share).ceil() {
                return room;
            }
        }
        for (index, upstream) in self.upstreams.iter().enumerate() {
            if !self.takes_main_traffic(upstream) {
                continue;
            }
            if upstream.has_free_slot(now) {
                room.free.push(index);
            } else if upstream.is_usable(now) && upstream.has_permit(now) {
                let speed = upstream.speed.prefill_ms_per_token;
                let fastest = room.fastest_full.unwrap_or(f64::INFINITY);
                room.fastest_full = Some(fastest.min(speed));
            }
        }
        if room.free.is_empty() && room.fastest_full.is_none() {
            // All that are left rest for failures: some answers are better than none. Resting the only upstream
            // would refuse every request of its service.
            let upstreams = self.upstreams.iter().enumerate();
            let in_need = upstreams.filter(|(_, upstream)| {
                self.takes_main_traffic(upstream) && upstream.has_fallback_slot(now)
            });
            room.free.extend(in_need.map(|(index, _)| index));
        }
        room
    }

    pub(super) fn model(&self) -> ServiceModel<'_> {
        ServiceModel {
            averages: &self.averages,
            tokens_per_event: self.engine.map_or(1, |engine| engine.tokens_per_event),
            spreads: self.places_share.is_some(),
        }
    }

    pub(super) fn choose_for(
        &self,
        now: MonotonicTime,
        waiting: &QueuedRequest,
        room: &FreeUpstreams,
    ) -> Choice {
        let objective_left = waiting.objective_left(now);
        if waiting.is_canary && !room.canary.is_empty() {
            let (request, canary) = (&waiting.request, &room.canary);
            let found = choose(
                now,
                request,
                objective_left,
                &self.upstreams,
                canary,
                self.model(),
            );
            if let Some((index, prediction)) = found {
                return Choice::PlaceCanary(index, prediction);
            }
        }
        let found = choose(
            now,
            &waiting.request,
            objective_left,
            &self.upstreams,
            &room.free,
            self.model(),
        );
        let Some((index, prediction)) = found else {
            return Choice::Wait;
        };
        // A place where it would be late is left to others as long as a better one may come in time.
        if prediction.is_on_time || waiting.is_late(now) || !self.has_better(room, index) {
            return Choice::Place(index, prediction);
        }
        Choice::Wait
    }

    /// Whether some busy upstream is clearly faster than the one at `index`.
    fn has_better(&self, room: &FreeUpstreams, index: usize) -> bool {
        let chosen = self.upstreams[index].speed.prefill_ms_per_token;
        room.fastest_full
            .is_some_and(|fastest| fastest < chosen * CLEARLY_FASTER)
    }

    pub(super) fn grant(
        &mut self,
        now: MonotonicTime,
        request: SlotRequest,
        index: usize,
        prediction: Prediction,
    ) -> Effect {
        let entry = &self.upstreams[index].entry;
        let grant = Grant {
            upstream: entry.id.clone(),
            address: entry.address.clone(),
        };
        let run = request.run;
        self.granted += 1;
        self.granted_at.insert(request.tier, now);
        self.upstreams[index].note_sent(now);
        self.start_run(now, request, index, prediction);
        Effect {
            run,
            decision: SlotDecision::Granted(grant),
        }
    }

    pub(super) fn start_run(
        &mut self,
        at: MonotonicTime,
        request: SlotRequest,
        index: usize,
        prediction: Prediction,
    ) {
        let upstream = &mut self.upstreams[index];
        upstream.prefix_cache.read(at, &request.size.segments);
        let run = Run {
            prefill_backlog_tokens: prediction.prefill_backlog_tokens,
            first_event_expected_at: prediction.first_event_at,
            end_expected_at: prediction.end_at,
            is_overdue: false,
            request,
        };
        upstream.runs.insert(run.request.run, run);
    }
}
