//! One service at its owner: its upstreams, its queue and what was measured.

mod summary;

pub use self::summary::{PoolSummary, UpstreamSummary};

use {
    crate::{
        ask::{Ask, Ended, Grant, RefusalReason, RunOutcome, RunningRun, UpstreamLoad, Verdict},
        catalogue::Engine,
        dispatcher::Effect,
        ids::{MonotonicTime, RequestFingerprint, RunId, Tier},
        limits::{
            CLEARLY_FASTER, DEFAULT_CACHE_TOKENS, FIRST_EVENT_BASE_MS, MOST_PASSED_OVER,
            MOST_RESTING_SHARE, SERVED_BELOW_MEMORY,
        },
        placement::{Prediction, ServiceModel, choose, predict},
        queue::{WaitQueue, Waiting},
        refusal::{ArrivalRates, longest_wait, predicted_wait, refuse},
        refused_requests::RefusedRequests,
        retry_budget::RetryBudget,
        speed::{RouteMeans, Speed},
        upstream::{LiveUpstream, Run, Upstream, UpstreamPhase},
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// What the end of a run means beyond its upstream.
pub(crate) struct RunEnd {
    pub(crate) ask: Ask,
    pub(crate) fingerprint: RequestFingerprint,
}

/// One service at its owner.
#[derive(Debug, Default)]
pub(crate) struct ServicePool {
    pub(crate) retries: RetryBudget,
    engine: Option<Engine>,
    upstreams: Vec<LiveUpstream>,
    /// Runs at upstreams that left the registry; they still end.
    orphans: HashMap<RunId, Run>,
    queue: WaitQueue,
    means: RouteMeans,
    arrivals: ArrivalRates,
    refused: RefusedRequests,
    granted: u64,
    /// Share of the places that this owner may use, if it sees no majority of the nodes.
    places_share: Option<f64>,
    /// When each tier got its last place.
    granted_at: BTreeMap<Tier, MonotonicTime>,
}

impl ServicePool {
    pub(crate) fn set_engine(&mut self, engine: Option<Engine>) {
        self.engine = engine;
    }

    /// Takes over the registry's entries for this service.
    pub(crate) fn set_upstreams(&mut self, entries: Vec<Upstream>) {
        let mut before: HashMap<_, LiveUpstream> = self
            .upstreams
            .drain(..)
            .map(|upstream| (upstream.entry.id.clone(), upstream))
            .collect();
        let joint = Speed::joint(before.values().map(|upstream| &upstream.speed));
        let cache_tokens = self
            .engine
            .map_or(DEFAULT_CACHE_TOKENS, |engine| engine.cache_tokens);
        for entry in entries {
            let upstream = match before.remove(&entry.id) {
                Some(mut known) => {
                    known.entry = entry;
                    known
                }
                None => LiveUpstream::new(entry, joint, cache_tokens),
            };
            self.upstreams.push(upstream);
        }
        for (_, gone) in before {
            self.orphans.extend(gone.runs);
        }
    }

    /// Places a new request, lets it wait or refuses it.
    pub(crate) fn asked(&mut self, now: MonotonicTime, mut ask: Ask, effects: &mut Vec<Effect>) {
        let earlier = self.refused.first_asked_at(now, ask.fingerprint);
        let first_asked_at = earlier.unwrap_or(now);
        let has_returned = earlier.is_some();
        let spent_before = now.saturating_sub(first_asked_at);
        ask.objective_left = ask.objective_left.saturating_sub(spent_before);
        let joint = Speed::joint(self.upstreams.iter().map(|upstream| &upstream.speed));
        let (first, run_ms) = self.joint_durations(&ask, joint);
        let longest = longest_wait(&ask, has_returned, first);
        let tier = ask.tier;
        let is_late = ask.objective_left < first;
        let wait = self.estimate_wait(now, tier, is_late, run_ms);
        self.arrivals.arrived(now, ask.tier, run_ms);
        let run = ask.run;
        self.queue.push(
            now,
            Waiting {
                objective_at: now + ask.objective_left,
                hold_until: now + longest,
                run_ms,
                first,
                first_asked_at,
                has_returned,
                ask,
            },
        );
        self.place_waiting(now, effects);
        let is_placed = effects.iter().any(|effect| effect.run == run);
        if !is_placed && wait > longest && !self.serves_below(now, tier) {
            self.refuse_waiting(now, run, wait, effects);
        }
    }

    /// Whether a lower tier got a place a moment ago; then the prediction of a long wait is wrong, and a
    /// request of `tier` is not refused for load.
    fn serves_below(&self, now: MonotonicTime, tier: Tier) -> bool {
        let mut below = self.granted_at.range(tier.saturating_add(1)..);
        below.any(|(_, at)| now.saturating_sub(*at) < SERVED_BELOW_MEMORY)
    }

    /// Gives places to those who wait, in order.
    pub(crate) fn place_waiting(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        if self.queue.is_empty() {
            return;
        }
        let mut room = self.room(now);
        if room.free.is_empty() {
            return;
        }
        self.queue.sort(now);
        let (mut index, mut passed_over) = (0, 0);
        while index < self.queue.len() && passed_over < MOST_PASSED_OVER {
            match self.choose_for(now, self.queue.get(index), &room) {
                Choice::Place(upstream, prediction) => {
                    let waiting = self.queue.take(index);
                    effects.push(self.grant(now, waiting.ask, upstream, prediction));
                    room = self.room(now);
                    if room.free.is_empty() {
                        return;
                    }
                }
                Choice::Wait => {
                    index += 1;
                    passed_over += 1;
                }
            }
        }
    }

    /// Limits the places that are given out to a share of all, or takes the limit away.
    pub(crate) fn limit_places(&mut self, share: Option<f64>) {
        self.places_share = share;
    }

    /// Takes in what an upstream said of its load.
    pub(crate) fn load_observed(&mut self, now: MonotonicTime, load: &UpstreamLoad) {
        let upstream = self
            .upstreams
            .iter_mut()
            .find(|upstream| upstream.entry.id == load.upstream);
        if let Some(upstream) = upstream {
            upstream.note_load(now, load);
        }
    }

    /// Where places may be given out now.
    fn room(&self, now: MonotonicTime) -> Room {
        let mut room = Room {
            free: Vec::new(),
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
            if upstream.has_room(now) {
                room.free.push(index);
            } else if upstream.is_usable(now) {
                let speed = upstream.speed.prefill_ms_per_token;
                let fastest = room.fastest_full.unwrap_or(f64::INFINITY);
                room.fastest_full = Some(fastest.min(speed));
            }
        }
        if room.free.is_empty() && room.fastest_full.is_none() {
            // All that are left rest for failures: some answers are better than none. With one upstream
            // left, resting it refused every request of its service for 8 s.
            let upstreams = self.upstreams.iter().enumerate();
            let in_need = upstreams.filter(|(_, upstream)| upstream.has_room_in_need());
            room.free.extend(in_need.map(|(index, _)| index));
        }
        room
    }

    /// Refuses those who have waited as long as they may.
    pub(crate) fn expire_waiting(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        for waiting in self.queue.take_expired(now) {
            self.note_refused(now, &waiting.ask, waiting.first_asked_at);
            let wait = self.estimate_wait(now, waiting.ask.tier, true, waiting.run_ms);
            effects.push(Effect {
                run: waiting.ask.run,
                verdict: Verdict::Refused(refuse(self.reason_to_refuse(), wait)),
            });
        }
        for upstream in &mut self.upstreams {
            upstream.forget_old_runs(now);
        }
        self.orphans
            .retain(|_, run| now < run.end_expected_at + run.ask.time_left);
    }

    /// Takes a request out of the queue whose caller left.
    pub(crate) fn withdrawn(&mut self, run: RunId) -> Option<Ask> {
        self.queue.remove(run).map(|waiting| waiting.ask)
    }

    /// Frees the place of a run that ended, and learns from it.
    pub(crate) fn ended(&mut self, now: MonotonicTime, ended: &Ended) -> Option<RunEnd> {
        let Some(index) = self
            .upstreams
            .iter()
            .position(|upstream| upstream.runs.contains_key(&ended.run))
        else {
            return self.orphans.remove(&ended.run).map(RunEnd::from);
        };
        let may_rest = self.may_rest(index);
        let upstream = &mut self.upstreams[index];
        let run = upstream.runs.remove(&ended.run)?;
        upstream.note_outcome(now, ended.outcome, may_rest);
        if ended.outcome == RunOutcome::Completed {
            self.refused.answered(run.ask.fingerprint);
            match run.ask.longest_pause {
                Some(_) => {
                    upstream.speed.learn_stream(ended, run.tokens_before_first);
                    let raw_events = f64::from(run.ask.size.output_tokens)
                        / f64::from(
                            self.engine
                                .map_or(1, |engine| engine.tokens_per_event.max(1)),
                        );
                    self.means.learn(&run.ask.route, ended, Some(raw_events));
                }
                None => {
                    let mean_ms = self.means.plain_ms(&run.ask.route);
                    upstream.speed.learn_plain(ended, mean_ms);
                    self.means.learn(&run.ask.route, ended, None);
                }
            }
        }
        Some(run.into())
    }

    /// Whether the upstream at `index` may rest for failed answers: one always may, beyond it only few.
    fn may_rest(&self, index: usize) -> bool {
        let others = self.upstreams.iter().enumerate();
        let suspended = others.filter(|(other, one)| *other != index && one.is_suspended());
        let ready = self
            .upstreams
            .iter()
            .filter(|one| one.entry.phase == UpstreamPhase::Ready);
        let most = (ready.count() as f64 * MOST_RESTING_SHARE).max(1.0);
        (suspended.count() + 1) as f64 <= most
    }

    /// Counts a run that another owner had granted.
    pub(crate) fn adopted(&mut self, now: MonotonicTime, running: RunningRun) {
        let Some(index) = self
            .upstreams
            .iter()
            .position(|upstream| upstream.entry.id == running.upstream)
        else {
            return;
        };
        let started_at = running.started_at(now);
        let prediction = predict(
            started_at,
            &running.ask,
            running.ask.objective_left,
            &self.upstreams[index],
            self.model(),
        );
        self.start_run(started_at, running.ask, index, prediction);
    }

    fn model(&self) -> ServiceModel<'_> {
        ServiceModel {
            means: &self.means,
            tokens_per_event: self.engine.map_or(1, |engine| engine.tokens_per_event),
            spreads: self.places_share.is_some(),
        }
    }

    fn choose_for(&self, now: MonotonicTime, waiting: &Waiting, room: &Room) -> Choice {
        let objective_left = waiting.objective_left(now);
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

    fn grant(
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
        self.start_run(now, ask, index, prediction);
        Effect {
            run,
            verdict: Verdict::Granted(grant),
        }
    }

    fn start_run(&mut self, at: MonotonicTime, ask: Ask, index: usize, prediction: Prediction) {
        let upstream = &mut self.upstreams[index];
        upstream.cached.read(at, &ask.size.parts);
        let run = Run {
            tokens_before_first: prediction.tokens_before_first,
            first_expected_at: prediction.first_at,
            end_expected_at: prediction.end_at,
            ask,
        };
        upstream.runs.insert(run.ask.run, run);
    }

    /// Remembers a request that is refused, for the case that its caller comes back.
    fn note_refused(&mut self, now: MonotonicTime, ask: &Ask, first_asked_at: MonotonicTime) {
        self.refused.refused(now, ask, first_asked_at);
    }

    /// Remembers a request that is refused before it came to wait.
    pub(crate) fn note_refused_at_once(&mut self, now: MonotonicTime, ask: &Ask) {
        let first = self.refused.first_asked_at(now, ask.fingerprint);
        self.note_refused(now, ask, first.unwrap_or(now));
    }

    fn refuse_waiting(
        &mut self,
        now: MonotonicTime,
        run: RunId,
        wait: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let reason = self.reason_to_refuse();
        if let Some(waiting) = self.queue.remove(run) {
            self.note_refused(now, &waiting.ask, waiting.first_asked_at);
            effects.push(Effect {
                run: waiting.ask.run,
                verdict: Verdict::Refused(refuse(reason, wait)),
            });
        }
    }

    fn reason_to_refuse(&self) -> RefusalReason {
        let is_there_one = self
            .upstreams
            .iter()
            .any(|one| one.entry.phase == UpstreamPhase::Ready);
        if is_there_one {
            RefusalReason::Overloaded
        } else {
            RefusalReason::NoUpstream
        }
    }

    fn estimate_wait(
        &mut self,
        now: MonotonicTime,
        tier: Tier,
        is_late: bool,
        own_run_ms: f64,
    ) -> Duration {
        let places: f64 = self
            .upstreams
            .iter()
            .filter(|one| one.is_usable(now))
            .map(|one| f64::from(one.slots()))
            .sum();
        if places == 0.0 {
            return Duration::ZERO;
        }
        // The next place comes free after a fraction of a run.
        let work_ms = self.queue.work_ahead_ms(now, tier, is_late) + own_run_ms;
        let above = self.arrivals.places_above(now, tier);
        predicted_wait(work_ms, places, above)
    }

    /// Time to the first event, and milliseconds of the whole run, at an upstream of the joint speed without other work.
    fn joint_durations(&self, ask: &Ask, joint: Speed) -> (Duration, f64) {
        let Some(_) = ask.longest_pause else {
            let ms = self.means.plain_ms(&ask.route);
            return (Duration::from_secs_f64(ms / 1e3), ms);
        };
        let model = self.model();
        let read_ms = f64::from(ask.size.prompt_tokens) * joint.prefill_ms_per_token;
        let first_ms = FIRST_EVENT_BASE_MS + read_ms;
        let events = model
            .means
            .events(&ask.route, &ask.size, model.tokens_per_event);
        let run_ms = first_ms + events * joint.ms_per_event;
        (Duration::from_secs_f64(first_ms / 1e3), run_ms)
    }
}

/// What is done with the request at the head of the queue.
enum Choice {
    /// It goes to the upstream of this index.
    Place(usize, Prediction),
    /// It waits, and the next one is looked at.
    Wait,
}

/// Where places may be given out.
struct Room {
    /// Upstreams with a free place.
    free: Vec<usize>,
    /// Reading speed of the fastest upstream that is full, in milliseconds a token.
    fastest_full: Option<f64>,
}

impl From<Run> for RunEnd {
    fn from(run: Run) -> Self {
        Self {
            fingerprint: run.ask.fingerprint,
            ask: run.ask,
        }
    }
}
