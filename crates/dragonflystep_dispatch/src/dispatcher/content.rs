//! What the dispatcher knows of content that crashes upstreams.

use {
    super::Dispatcher,
    crate::{
        crash_log::{CrashEvidence, CrashingContent, SoundContent, UpstreamCrash, Verdicts},
        event::Effect,
        ids::{ContentKey, MonotonicTime, ServiceName},
        limits::{CONCLUSION_INTERVAL, OTHER_CRASH_SETTLE, OWNER_CRASH_SETTLE, SOUND_EVENTS},
        messages::{RunOutcome, RunReport, SlotRequest},
        pool::FinishedRun,
    },
    std::{collections::HashMap, rc::Rc, time::Duration},
};

/// A change of the content that an owner refuses, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContentChange {
    /// The content; only requests with all of it are refused.
    pub content: Vec<ContentKey>,
    /// Number of crashes that it caused.
    pub crashes: usize,
    /// Whether it is refused from now on, and no longer otherwise.
    pub is_refused: bool,
}

impl Dispatcher {
    /// Concludes anew which content crashes upstreams, and refuses the waiting requests that hold it.
    pub(super) fn conclude_from_crashes(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        let is_due = self.has_new_evidence || now >= self.concluded_at + CONCLUSION_INTERVAL;
        if self.crash_log.is_empty() || !is_due {
            return;
        }
        self.has_new_evidence = false;
        self.concluded_at = now;
        let counts = self.upstream_counts();
        let verdicts = self.crash_log.conclude(now, OWNER_CRASH_SETTLE, &counts);
        self.note_changes(&verdicts);
        self.verdicts = Rc::new(verdicts);
        for pool in self.pools.values_mut() {
            pool.set_verdicts(self.verdicts.clone());
            pool.refuse_crashing(now, effects);
        }
    }

    fn note_changes(&mut self, verdicts: &Verdicts) {
        let change = |crashing: &CrashingContent, is_refused| ContentChange {
            content: crashing.keys.iter().copied().collect(),
            crashes: crashing.crashes,
            is_refused,
        };
        let before = &self.verdicts.crashing;
        let begun = verdicts.crashing.iter().filter(|crashing| {
            let mut before = before.iter();
            !before.any(|known| known.keys == crashing.keys)
        });
        let ended = before.iter().filter(|known| {
            let mut now = verdicts.crashing.iter();
            !now.any(|crashing| crashing.keys == known.keys)
        });
        let ended = ended.map(|crashing| change(crashing, false));
        let begun = begun.map(|crashing| change(crashing, true));
        self.content_changes.extend(ended.chain(begun));
    }

    fn upstream_counts(&self) -> HashMap<ServiceName, usize> {
        let pools = self.pools.iter();
        pools
            .map(|(service, pool)| (service.clone(), pool.upstream_count()))
            .collect()
    }

    /// Learns from the end of a run that its content crashed the upstream, or that it is sound.
    pub(super) fn learn_content(
        &mut self,
        now: MonotonicTime,
        report: &RunReport,
        finished: &FinishedRun,
    ) {
        let has_begun = report.events >= SOUND_EVENTS || report.outcome == RunOutcome::Completed;
        if has_begun {
            let first_event = report.to_first_event.unwrap_or(report.to_end);
            let age = report.to_end.saturating_sub(first_event);
            for content in &finished.request.shared_content {
                self.has_new_evidence |= self.crash_log.record_sound(now, *content, age);
            }
        }
        if report.outcome == RunOutcome::Completed {
            let request = finished.request.fingerprint;
            self.has_new_evidence |= self.crash_log.record_sound(now, request, Duration::ZERO);
        }
        if report.outcome == RunOutcome::Broken
            && let Some((upstream, address)) = &finished.upstream
        {
            let crash =
                UpstreamCrash::of_run(&finished.request, upstream.clone(), address, report.events);
            let evidence = CrashEvidence::from(crash);
            self.has_new_evidence |= self.crash_log.merge(now, &evidence);
        }
    }

    /// Returns the changes since the last call of the content that is refused, to be logged.
    pub fn take_content_changes(&mut self) -> Vec<ContentChange> {
        std::mem::take(&mut self.content_changes)
    }

    /// Returns what other nodes have to know of content that crashes upstreams.
    pub fn crash_evidence(&self, now: MonotonicTime) -> CrashEvidence {
        self.crash_log.to_share(now)
    }

    /// Returns a number that differs between nodes that know different things of such content; 0 if this one knows nothing.
    pub fn crash_evidence_version(&self) -> u64 {
        self.crash_log.version()
    }

    /// Returns the crashes of the content that this node refuses as the owner.
    pub fn refused_content(&self, now: MonotonicTime) -> CrashEvidence {
        CrashEvidence {
            crashes: self.crash_log.crashes_of(now, &self.verdicts),
            sound: Vec::<SoundContent>::new(),
        }
    }

    /// Returns the content of a request that is suspected of a crash.
    pub fn suspected_content(&self, request: &SlotRequest) -> Vec<ContentKey> {
        self.crash_log.suspects_in(request)
    }

    /// Whether a request holds content that crashes upstreams, by crashes of which all nodes have heard.
    pub fn holds_crashing_content(&self, now: MonotonicTime, request: &SlotRequest) -> bool {
        if self.crash_log.suspects_in(request).is_empty() {
            return false;
        }
        let counts = self.upstream_counts();
        let verdicts = self.crash_log.conclude(now, OTHER_CRASH_SETTLE, &counts);
        verdicts.refuses(now, request)
    }

    /// Number of crashes that this node knows of.
    pub fn crash_count(&self) -> usize {
        self.crash_log.len()
    }

    /// Number of contents that this node refuses as the owner.
    pub fn refused_content_count(&self) -> usize {
        self.verdicts.crashing.len()
    }
}
