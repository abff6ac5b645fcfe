//! Where places may be given out, and giving one out.

use {
    super::ServicePool,
    crate::{
        ask::{Ask, Grant, Verdict},
        dispatcher::Effect,
        ids::MonotonicTime,
        limits::CLEARLY_FASTER,
        placement::{Prediction, ServiceModel, choose},
        queue::Waiting,
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
pub(super) struct Room {
    /// Upstreams with a free place.
    pub(super) free: Vec<usize>,
    /// Upstreams of a new version with a free place, for canaries only.
    pub(super) canary: Vec<usize>,
    /// Reading speed of the fastest upstream that is full, in milliseconds a token.
    pub(super) fastest_full: Option<f64>,
}

impl ServicePool {
    /// Limits the places that are given out to a share of all, or takes the limit away.
    pub(crate) fn limit_places(&mut self, share: Option<f64>) {
        self.places_share = share;
    }

    /// Where places may be given out now.
    pub(super) fn room(&self, now: MonotonicTime) -> Room {
        let mut room = Room {
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
            if !self.takes_main(upstream) {
                continue;
            }
            if upstream.has_room(now) {
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
                self.takes_main(upstream) && upstream.has_room_in_need(now)
            });
            room.free.extend(in_need.map(|(index, _)| index));
        }
        room
    }

    pub(super) fn model(&self) -> ServiceModel<'_> {
        ServiceModel {
            means: &self.means,
            tokens_per_event: self.engine.map_or(1, |engine| engine.tokens_per_event),
            spreads: self.places_share.is_some(),
        }
    }

    pub(super) fn choose_for(&self, now: MonotonicTime, waiting: &Waiting, room: &Room) -> Choice {
        let objective_left = waiting.objective_left(now);
        if waiting.is_canary && !room.canary.is_empty() {
            let (ask, canary) = (&waiting.ask, &room.canary);
            let found = choose(
                now,
                ask,
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
            &waiting.ask,
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
    fn has_better(&self, room: &Room, index: usize) -> bool {
        let chosen = self.upstreams[index].speed.prefill_ms_per_token;
        room.fastest_full
            .is_some_and(|fastest| fastest < chosen * CLEARLY_FASTER)
    }

    pub(super) fn grant(
        &mut self,
        now: MonotonicTime,
        ask: Ask,
        index: usize,
        prediction: Prediction,
    ) -> Effect {
        let entry = &self.upstreams[index].entry;
        let grant = Grant {
            upstream: entry.id.clone(),
            address: entry.address.clone(),
        };
        let run = ask.run;
        self.granted += 1;
        self.granted_at.insert(ask.tier, now);
        self.upstreams[index].note_sent(now);
        self.start_run(now, ask, index, prediction);
        Effect {
            run,
            verdict: Verdict::Granted(grant),
        }
    }

    pub(super) fn start_run(
        &mut self,
        at: MonotonicTime,
        ask: Ask,
        index: usize,
        prediction: Prediction,
    ) {
        let upstream = &mut self.upstreams[index];
        upstream.cached.read(at, &ask.size.parts);
        let run = Run {
            tokens_before_first: prediction.tokens_before_first,
            first_expected_at: prediction.first_at,
            end_expected_at: prediction.end_at,
            is_overdue: false,
            ask,
        };
        upstream.runs.insert(run.ask.run, run);
    }
}
