//! What runs at the upstreams: its end, what it teaches, and runs that another owner granted.

use {
    super::ServicePool,
    crate::{
        ask::{Ask, Ended, RunOutcome, RunningRun, UpstreamLoad},
        ids::{MonotonicTime, RequestFingerprint},
        limits::MOST_RESTING_SHARE,
        placement::predict,
        upstream::{Run, UpstreamPhase},
    },
};

/// What the end of a run means beyond its upstream.
pub(crate) struct RunEnd {
    pub(crate) ask: Ask,
    pub(crate) fingerprint: RequestFingerprint,
}

impl From<Run> for RunEnd {
    fn from(run: Run) -> Self {
        Self {
            fingerprint: run.ask.fingerprint,
            ask: run.ask,
        }
    }
}

impl ServicePool {
    /// Records what an upstream said of its load.
    pub(crate) fn load_observed(&mut self, now: MonotonicTime, load: &UpstreamLoad) {
        let upstream = self
            .upstreams
            .iter_mut()
            .find(|upstream| upstream.entry.id == load.upstream);
        if let Some(upstream) = upstream {
            upstream.note_load(now, load);
        }
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
        self.observe_for_rollout(index, &run, ended);
        let upstream = &mut self.upstreams[index];
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
}
