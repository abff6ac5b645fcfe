//! What runs at the upstreams: its end, what it teaches, and runs that another owner granted.

use {
    super::ServicePool,
    crate::{
        ids::{MonotonicTime, RequestFingerprint},
        limits::MAX_SUSPENDED_SHARE,
        messages::{ActiveRun, RunOutcome, RunReport, SlotRequest, UpstreamLoad},
        placement::predict,
        upstream::{Run, UpstreamPhase},
    },
};

/// What the end of a run means beyond its upstream.
pub(crate) struct FinishedRun {
    pub(crate) request: SlotRequest,
    pub(crate) fingerprint: RequestFingerprint,
}

impl From<Run> for FinishedRun {
    fn from(run: Run) -> Self {
        Self {
            fingerprint: run.request.fingerprint,
            request: run.request,
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
    pub(crate) fn finish_run(
        &mut self,
        now: MonotonicTime,
        ended: &RunReport,
    ) -> Option<FinishedRun> {
        let Some(index) = self
            .upstreams
            .iter()
            .position(|upstream| upstream.runs.contains_key(&ended.run))
        else {
            return self.unlisted_runs.remove(&ended.run).map(FinishedRun::from);
        };
        let may_back_off = self.may_back_off(index);
        let upstream = &mut self.upstreams[index];
        let run = upstream.runs.remove(&ended.run)?;
        upstream.note_outcome(now, ended.outcome, may_back_off);
        self.observe_for_rollout(index, &run, ended);
        let upstream = &mut self.upstreams[index];
        if ended.outcome == RunOutcome::Completed {
            self.refused.forget(run.request.fingerprint);
            match run.request.longest_pause {
                Some(_) => {
                    upstream
                        .speed
                        .learn_stream(ended, run.prefill_backlog_tokens);
                    let raw_events = f64::from(run.request.size.output_tokens)
                        / f64::from(
                            self.engine
                                .map_or(1, |engine| engine.tokens_per_event.max(1)),
                        );
                    self.averages
                        .learn(&run.request.route, ended, Some(raw_events));
                }
                None => {
                    let mean_ms = self.averages.plain_ms(&run.request.route);
                    upstream.speed.learn_plain(ended, mean_ms);
                    self.averages.learn(&run.request.route, ended, None);
                }
            }
        }
        Some(run.into())
    }

    /// Whether the upstream at `index` may rest for failed answers: one always may, beyond it only few.
    fn may_back_off(&self, index: usize) -> bool {
        let others = self.upstreams.iter().enumerate();
        let suspended = others.filter(|(other, one)| *other != index && one.is_suspended());
        let ready = self
            .upstreams
            .iter()
            .filter(|one| one.entry.phase == UpstreamPhase::Ready);
        let most = (ready.count() as f64 * MAX_SUSPENDED_SHARE).max(1.0);
        (suspended.count() + 1) as f64 <= most
    }

    /// Counts a run that another owner had granted.
    pub(crate) fn adopt_run(&mut self, now: MonotonicTime, running: ActiveRun) {
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
            &running.request,
            running.request.objective_left,
            &self.upstreams[index],
            self.model(),
        );
        self.start_run(started_at, running.request, index, prediction);
    }
}
