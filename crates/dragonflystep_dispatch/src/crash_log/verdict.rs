//! Concludes from the crashes of upstreams which content caused them.

use {
    super::{ContentKind, Crash, CrashLog, ObservedAt, UpstreamCrash, observed_at, report},
    crate::{
        ids::{ContentKey, MonotonicTime, ServiceName},
        limits::{
            CONCLUSION_INTERVAL, CONTENT_CRASHES, CONTENT_PROOF, CRASH_MOMENT,
            CRASHES_BEFORE_SERIALIZING, FIRST_CONTENT_TRIAL, MAX_CONTENT_TRIAL, OWNER_CRASH_SETTLE,
            REQUEST_CRASHES, SIMULTANEOUS_CRASHES, TRIAL_GAP, TRIAL_GAP_FACTOR,
        },
        messages::SlotRequest,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet},
        time::Duration,
    },
};

/// Content that crashes upstreams. If several contents have the same crashes, only requests with all of them count as such.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CrashingContent {
    pub(crate) keys: BTreeSet<ContentKey>,
    /// Number of crashes that it caused.
    pub(crate) crashes: usize,
    /// Time from which one request with it is let through.
    trial_at: ObservedAt,
    /// Its crashes, by their place in the log.
    crash_indices: Vec<usize>,
}

/// What the crashes say of content at one moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct Verdicts {
    pub(crate) crashing: Vec<CrashingContent>,
    /// Content whose requests are sent one at a time, with the time of its last crash.
    serialized: HashMap<ContentKey, ObservedAt>,
    /// All content that is suspected of some crash.
    pub(crate) suspected: HashSet<ContentKey>,
}

impl Verdicts {
    /// Whether a request holds content that crashes upstreams and no trial is due.
    pub(crate) fn refuses(&self, now: MonotonicTime, request: &SlotRequest) -> bool {
        let now = observed_at(now, Duration::ZERO);
        let mut crashing = self.crashing.iter();
        crashing.any(|crashing| now < crashing.trial_at && holds(request, &crashing.keys))
    }

    /// Whether a request holds content that is suspected of some crash.
    pub(crate) fn suspects(&self, request: &SlotRequest) -> bool {
        !self.suspected.is_empty() && request.content().any(|key| self.suspected.contains(&key))
    }

    /// The content of a request because of which it is sent only while no other request with it is about to be answered.
    pub(crate) fn serialized_content(&self, request: &SlotRequest) -> Vec<ContentKey> {
        if self.serialized.is_empty() {
            return Vec::new();
        }
        let content = request.content();
        content
            .filter(|key| self.serialized.contains_key(key))
            .collect()
    }

    /// Whether such content crashed an upstream so lately that it is not known yet what follows from it.
    pub(crate) fn has_just_crashed(&self, now: MonotonicTime, content: &[ContentKey]) -> bool {
        let unsettled_since = observed_at(now, OWNER_CRASH_SETTLE + 2 * CONCLUSION_INTERVAL);
        let last = content.iter().filter_map(|key| self.serialized.get(key));
        last.max().is_some_and(|last| *last > unsettled_since)
    }
}

fn holds(request: &SlotRequest, keys: &BTreeSet<ContentKey>) -> bool {
    keys.iter()
        .all(|key| request.content().any(|it| it == *key))
}

impl CrashLog {
    /// Concludes which content crashes upstreams, from crashes that are at least `settled_for` old: what proves content to
    /// be sound, and other crashes of the same moment, arrive a little later than a crash. `upstreams` holds the number of
    /// upstreams of each service.
    pub(crate) fn conclude(
        &self,
        now: MonotonicTime,
        settled_for: Duration,
        upstreams: &HashMap<ServiceName, usize>,
    ) -> Verdicts {
        let mut verdicts = Verdicts::default();
        if self.is_empty() {
            return verdicts;
        }
        let settled_at = observed_at(now, settled_for);
        let mut crashes_of = self.crashes_by_suspect();
        verdicts.suspected.extend(crashes_of.keys());
        // Other content of the same crashes is not counted as their cause.
        while let Some(crashing) = self.find_cause(&crashes_of, settled_at, upstreams) {
            let explained: HashSet<usize> = crashing.crash_indices.iter().copied().collect();
            crashes_of.retain(|key, (_, crashes)| {
                crashes.retain(|index| !explained.contains(index));
                !crashes.is_empty() && !crashing.keys.contains(key)
            });
            let last = crashing.crash_indices.last();
            let last_at = last.map_or(0, |last| self.crashes[*last].at);
            let keys = crashing.keys.iter();
            verdicts.serialized.extend(keys.map(|key| (*key, last_at)));
            verdicts.crashing.push(crashing);
        }
        let suspects = crashes_of.iter();
        // A whole request is refused before sending it alone gains anything.
        let repeated = suspects.filter(|(_, (kind, crashes))| {
            *kind == ContentKind::Segment && crashes.len() >= CRASHES_BEFORE_SERIALIZING
        });
        let repeated = repeated
            .filter_map(|(key, (_, crashes))| Some((*key, self.crashes[*crashes.last()?].at)));
        verdicts.serialized.extend(repeated);
        verdicts
    }

    /// The crashes of which content is suspected, by their place in the log.
    fn crashes_by_suspect(&self) -> BTreeMap<ContentKey, (ContentKind, Vec<usize>)> {
        let mut crashes_of: BTreeMap<ContentKey, (ContentKind, Vec<usize>)> = BTreeMap::new();
        for (index, crash) in self.crashes.iter().enumerate() {
            for (key, kind) in &crash.suspects {
                if self.is_suspect(crash, *key) {
                    let entry = crashes_of.entry(*key).or_insert((*kind, Vec::new()));
                    entry.1.push(index);
                }
            }
        }
        crashes_of
    }

    /// The content that explains most crashes, among that with enough evidence.
    fn find_cause(
        &self,
        crashes_of: &BTreeMap<ContentKey, (ContentKind, Vec<usize>)>,
        settled_at: ObservedAt,
        upstreams: &HashMap<ServiceName, usize>,
    ) -> Option<CrashingContent> {
        let proven = crashes_of.iter().filter(|(_, (kind, crashes))| {
            let settled = crashes
                .iter()
                .filter(|it| self.crashes[**it].at <= settled_at);
            let settled: Vec<_> = settled.copied().collect();
            match kind {
                ContentKind::Request => crashes.len() >= REQUEST_CRASHES,
                ContentKind::Segment => {
                    settled.len() >= CONTENT_CRASHES
                        && self.weight(&settled, upstreams) >= CONTENT_PROOF
                }
            }
        });
        let (_, (_, crash_indices)) = proven.max_by_key(|(_, (_, crashes))| crashes.len())?;
        let alike = crashes_of.iter();
        let alike = alike.filter(|(_, (_, crashes))| crashes == crash_indices);
        Some(CrashingContent {
            keys: alike.map(|(key, _)| *key).collect(),
            crashes: crash_indices.len(),
            trial_at: self.trial_at(crash_indices),
            crash_indices: crash_indices.clone(),
        })
    }

    /// How unlikely it is that content was being processed at these crashes by chance, as the natural logarithm.
    ///
    /// An outage may crash many upstreams at once, whatever runs there: the crashes of one moment count once, by the share of
    /// the upstreams that crashed. One upstream may crash again and again, and content goes where it is cached: only
    /// further addresses count in full.
    fn weight(&self, crashes: &[usize], upstreams: &HashMap<ServiceName, usize>) -> f64 {
        let moment_us = CRASH_MOMENT.as_micros() as i64;
        let mut addresses = HashSet::new();
        let mut last_at = None;
        let mut weight = 0.0;
        for crash in crashes.iter().map(|index| &self.crashes[*index]) {
            let is_new_moment = last_at.is_none_or(|last| crash.at - last > moment_us);
            last_at = Some(crash.at);
            let is_first = addresses.is_empty();
            let is_further_address = addresses.insert(&crash.address) && !is_first;
            if !is_new_moment {
                continue;
            }
            weight += std::f64::consts::LN_2;
            if is_further_address {
                let count = upstreams.get(&crash.service).copied().unwrap_or(0);
                weight += (count as f64 / self.simultaneous(crash) as f64)
                    .ln()
                    .max(0.0);
            }
        }
        weight
    }

    /// Number of crashes in the service about the time of one of them.
    fn simultaneous(&self, crash: &Crash) -> usize {
        let window_us = SIMULTANEOUS_CRASHES.as_micros() as i64;
        let of_service = self.crashes.iter().filter(|it| it.service == crash.service);
        of_service
            .filter(|it| (it.at - crash.at).abs() <= window_us)
            .count()
    }

    /// Time at which a request with content that caused these crashes is let through: later after each trial that crashed.
    fn trial_at(&self, crashes: &[usize]) -> ObservedAt {
        let times = crashes.iter().rev().map(|index| self.crashes[*index].at);
        let mut times = times.peekable();
        let Some(last) = times.peek().copied() else {
            return 0;
        };
        let gap_us = TRIAL_GAP.as_micros() as i64;
        let before = times.find(|at| last - at >= gap_us);
        let shortest = FIRST_CONTENT_TRIAL.as_micros() as i64;
        let longest = MAX_CONTENT_TRIAL.as_micros() as i64;
        let wait = before.map_or(shortest, |before| (last - before) * TRIAL_GAP_FACTOR);
        last + wait.clamp(shortest, longest)
    }

    /// Returns the crashes of the content that verdicts name, for nodes that know nothing of them.
    pub(crate) fn crashes_of(&self, now: MonotonicTime, verdicts: &Verdicts) -> Vec<UpstreamCrash> {
        let mut reports = BTreeMap::new();
        for crashing in &verdicts.crashing {
            for index in &crashing.crash_indices {
                let crash = &self.crashes[*index];
                let suspects = crash.suspects.iter();
                let causes = suspects.filter(|(key, _)| crashing.keys.contains(*key));
                let causes: Vec<_> = causes.collect();
                reports.insert(*index, report(now, crash, &causes));
            }
        }
        reports.into_values().collect()
    }
}
