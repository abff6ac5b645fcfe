//! Keeps content that crashes upstreams from them.

use {
    super::ServicePool,
    crate::{
        crash_log::Verdicts,
        event::Effect,
        ids::{MonotonicTime, RunId},
        limits::LATE_FIRST_EVENT,
        messages::{SlotDecision, SlotRequest},
        refusal::crashing_content,
    },
    std::rc::Rc,
};

impl ServicePool {
    /// Number of upstreams of the service.
    pub(crate) fn upstream_count(&self) -> usize {
        self.upstreams.len()
    }

    /// Changes what is known of content that crashes upstreams.
    pub(crate) fn set_verdicts(&mut self, verdicts: Rc<Verdicts>) {
        self.verdicts = verdicts;
    }

    /// Refuses the waiting requests with content that crashes upstreams.
    pub(crate) fn refuse_crashing(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        if self.verdicts.crashing.is_empty() {
            return;
        }
        let waiting = self.queue.iter().map(|queued| &queued.request);
        let crashing = waiting.filter(|request| self.verdicts.refuses(now, request));
        let runs: Vec<RunId> = crashing.map(|request| request.run).collect();
        for run in runs {
            if let Some(queued) = self.queue.remove(run) {
                self.record_immediate_refusal(now, &queued.request);
                effects.push(Effect {
                    run,
                    decision: SlotDecision::Refused(crashing_content()),
                });
                self.refused_waiting.push(queued.request);
            }
        }
    }

    /// Whether a request has to wait because another one with the same suspected content is about to be answered.
    pub(super) fn awaits_others_with_content(
        &self,
        now: MonotonicTime,
        request: &SlotRequest,
    ) -> bool {
        let content = self.verdicts.serialized_content(request);
        if content.is_empty() {
            return false;
        }
        if self.verdicts.has_just_crashed(now, &content) {
            return true;
        }
        let runs = self.upstreams.iter().flat_map(|it| it.runs.values());
        let mut unanswered =
            runs.filter(|run| now < run.first_event_expected_at + LATE_FIRST_EVENT);
        unanswered.any(|run| run.request.content().any(|key| content.contains(&key)))
    }
}
