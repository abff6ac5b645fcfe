//! The runs at a service's upstreams: records how they end, learns from them, and adopts runs that another owner
//! granted.

use {
    super::{ServicePool, placing::Placed},
    crate::{
        ids::{MonotonicTime, UpstreamId},
        limits::MAX_SUSPENDED_SHARE,
        messages::{ActiveRun, BackOff, RunCopy, RunOutcome, RunReport, SlotRequest, UpstreamLoad},
        placement::predict,
        upstream::{Run, UnlistedRun},
    },
};

/// A finished run, with what the dispatcher needs for quotas and for what it learns of its content.
pub(crate) struct FinishedRun {
    pub(crate) request: SlotRequest,
    /// The upstream and its address; absent if it has left the registry.
    pub(crate) upstream: Option<(UpstreamId, String)>,
}

impl ServicePool {
    /// Records the load that an upstream reported.
    pub(crate) fn record_load(&mut self, now: MonotonicTime, load: &UpstreamLoad) {
        if let Some(&index) = self.upstream_index.get(&load.upstream) {
            self.upstreams[index].record_load(now, load);
        }
    }

    /// Frees the slot of a run that ended and learns from its outcome and durations.
    pub(crate) fn finish_run(
        &mut self,
        now: MonotonicTime,
        report: &RunReport,
    ) -> Option<FinishedRun> {
        let Some(index) = self.run_index.remove(&report.run) else {
            let UnlistedRun { run, last_break_at } = self.unlisted_runs.remove(&report.run)?;
            if report.outcome == RunOutcome::Broken {
                self.break_rate
                    .record(now, last_break_at.replace(Some(now)));
            }
            self.end_copy(now, &run, report.outcome);
            if !report.outcome.may_have_run() {
                self.take_back_share(now, &run);
            }
            return Some(FinishedRun {
                request: run.request,
                upstream: None,
            });
        };
        let may_back_off = report.outcome.has_failed() && self.may_back_off(index);
        let upstream = &mut self.upstreams[index];
        let run = upstream.runs.remove(&report.run)?;
        self.search.note_freed(index);
        if report.outcome == RunOutcome::Broken {
            let last_break_at = upstream.last_break_at.replace(Some(now));
            self.break_rate.record(now, last_break_at);
        }
        if let Some(duration) = upstream.record_outcome(now, report.outcome, may_back_off) {
            self.back_offs.push(BackOff {
                upstream: upstream.entry.id.clone(),
                run: report.run,
                outcome: report.outcome,
                duration,
            });
        }
        if report.outcome == RunOutcome::Cancelled {
            upstream.record_cancelled(now, run.end_expected_at);
        }
        if report.outcome == RunOutcome::Unreachable {
            self.assume_restarted(now, index);
        }
        self.observe_for_rollout(index, &run, report);
        self.end_copy(now, &run, report.outcome);
        if !report.outcome.may_have_run() {
            self.take_back_share(now, &run);
        }
        let upstream = &mut self.upstreams[index];
        if report.outcome == RunOutcome::Completed {
            self.refused.forget(run.request.fingerprint);
            match run.request.longest_pause {
                // Its prompt was read elsewhere, and so were its first events.
                Some(_) if run.request.continues_at().is_some() => {}
                Some(_) => {
                    upstream
                        .speed
                        .learn_stream(report, run.prefill_backlog_tokens);
                    let expected_events = f64::from(run.request.size.output_tokens)
                        / f64::from(
                            self.engine
                                .map_or(1, |engine| engine.tokens_per_event.max(1)),
                        );
                    self.averages
                        .learn(&run.request.route, report, Some(expected_events));
                }
                None => {
                    let mean_ms = self.averages.plain_ms(&run.request.route);
                    upstream.speed.learn_plain(report, mean_ms);
                    self.averages.learn(&run.request.route, report, None);
                }
            }
        }
        let entry = &self.upstreams[index].entry;
        Some(FinishedRun {
            request: run.request,
            upstream: Some((entry.id.clone(), entry.address.clone())),
        })
    }

    /// Takes back what counted as received by the account of a run that did not run.
    fn take_back_share(&mut self, now: MonotonicTime, run: &Run) {
        let request = &run.request;
        self.shares
            .record(now, request.tier, &request.account, -run.work_ms);
    }

    /// Whether the upstream at `index` may be backed off for failed answers. One upstream always may, and otherwise at
    /// most [`MAX_SUSPENDED_SHARE`] of the ready upstreams.
    fn may_back_off(&self, index: usize) -> bool {
        let others = self.upstreams.iter().enumerate();
        let suspended =
            others.filter(|(other, upstream)| *other != index && upstream.is_suspended());
        let ready = self.upstreams.iter().filter(|upstream| upstream.is_open());
        let max_suspended = (ready.count() as f64 * MAX_SUSPENDED_SHARE).max(1.0);
        (suspended.count() + 1) as f64 <= max_suspended
    }

    /// Counts an active run that another owner granted.
    pub(crate) fn adopt_run(&mut self, now: MonotonicTime, active_run: ActiveRun) {
        let Some(&index) = self.upstream_index.get(&active_run.upstream) else {
            return;
        };
        let started_at = active_run.started_at(now);
        let prediction = predict(
            started_at,
            &active_run.request,
            active_run.request.objective_left,
            &self.upstreams[index],
            self.model(),
        );
        let copied_to = match &active_run.request.copy {
            Some(RunCopy::Kept(upstream)) => Some(upstream.clone()),
            _ => None,
        };
        let ends_at = prediction.end_at.max(now + active_run.request.time_left);
        self.adopt_copy(&active_run.request, ends_at);
        let request = active_run.request;
        let (_, work_ms) = self.durations_at_mean_speed(&request, self.mean_speed(now));
        // Entry nodes may report a run more than once.
        if !self.run_index.contains_key(&request.run) {
            self.shares
                .record(now, request.tier, &request.account, work_ms);
        }
        let placed = Placed {
            index,
            prediction,
            copied_to,
            work_ms,
        };
        self.start_run(started_at, request, placed);
    }
}
