//! Remembers crashes of upstreams with the content that was being processed, and concludes which content causes them.
//!
//! It is designed for prompts that share a segment which crashes each engine that begins to answer: no two requests are
//! alike, they come at any node, and all their other segments are sound. Every node keeps the crashes and the content that
//! proved to be sound, since any node may own the services next. Both are merged by upstream and by content, so that the
//! result does not depend on the order in which they arrive, nor on how often.

mod verdict;

pub(crate) use self::verdict::{CrashingContent, Verdicts};

use {
    crate::{
        ids::{ContentKey, MonotonicTime, RequestFingerprint, ServiceName, UpstreamId},
        limits::{
            CRASH_MEMORY, CRASH_MERGE_TIME, MAX_CRASHES, MAX_CRASHES_SHARED, MAX_SOUND_SHARED,
            MAX_SUSPECTS, SOUND_EVENTS,
        },
        messages::SlotRequest,
    },
    std::{
        collections::{BTreeMap, HashMap},
        hash::{DefaultHasher, Hash, Hasher},
        time::Duration,
    },
};

/// A crash of an upstream, with the content of the runs that may have caused it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamCrash {
    /// Service of the upstream.
    pub service: ServiceName,
    /// The upstream that crashed.
    pub upstream: UpstreamId,
    /// Address of the upstream, as IP:PORT.
    pub address: String,
    /// Time since the crash.
    pub age: Duration,
    /// Prompt segments of the runs that the upstream had not begun to answer.
    pub segments: Vec<ContentKey>,
    /// Fingerprints of the requests of all runs there.
    pub requests: Vec<RequestFingerprint>,
}

impl UpstreamCrash {
    /// The crash that broke off a run of `request` after `events` whole events.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_dispatch::{SlotRequest, UpstreamCrash, WorkSize};
    /// use std::time::Duration;
    ///
    /// let request = SlotRequest {
    ///     run: 1, service: "s".into(), route: "r".into(), account: None, quota_units: 0, tier: 0,
    ///     objective_left: Duration::from_secs(1), time_left: Duration::from_secs(4), longest_pause: None,
    ///     size: WorkSize::default(), previous_attempts: 0, excluded_upstreams: Vec::new(), fingerprint: 9,
    ///     shared_content: vec![4], data_centre: "a".into(), allowed_data_centres: None, stream: None, copy: None,
    /// };
    /// let address = "127.0.0.1:80";
    /// assert_eq!(UpstreamCrash::of_run(&request, "u".into(), address, 0).segments, [4]);
    /// assert!(UpstreamCrash::of_run(&request, "u".into(), address, 9).segments.is_empty());
    /// ```
    pub fn of_run(request: &SlotRequest, upstream: UpstreamId, address: &str, events: u32) -> Self {
        let has_begun = events >= SOUND_EVENTS;
        Self {
            service: request.service.clone(),
            upstream,
            address: address.to_owned(),
            age: Duration::ZERO,
            segments: if has_begun {
                Vec::new()
            } else {
                request.shared_content.clone()
            },
            requests: vec![request.fingerprint],
        }
    }
}

/// Content that proved to be sound, because an upstream began to answer a request with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoundContent {
    /// The content.
    pub content: ContentKey,
    /// Time since an upstream last began to answer a request with it.
    pub age: Duration,
}

/// What nodes tell one another of content that crashes upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashEvidence {
    /// Crashes of upstreams.
    pub crashes: Vec<UpstreamCrash>,
    /// Suspects of these crashes that proved to be sound.
    pub sound: Vec<SoundContent>,
}

impl From<UpstreamCrash> for CrashEvidence {
    fn from(crash: UpstreamCrash) -> Self {
        Self {
            crashes: vec![crash],
            sound: Vec::new(),
        }
    }
}

impl CrashEvidence {
    /// Whether it says nothing.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_dispatch::CrashEvidence;
    ///
    /// assert!(CrashEvidence::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.sound.is_empty()
    }

    /// Adds the time that a message took to the ages in it.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_dispatch::{CrashEvidence, SoundContent};
    /// use std::time::Duration;
    ///
    /// let sound = vec![SoundContent { content: 7, age: Duration::ZERO }];
    /// let mut evidence = CrashEvidence { crashes: Vec::new(), sound };
    /// evidence.add_age(Duration::from_millis(5));
    /// assert_eq!(evidence.sound[0].age, Duration::from_millis(5));
    /// ```
    pub fn add_age(&mut self, age: Duration) {
        for crash in &mut self.crashes {
            crash.age += age;
        }
        for sound in &mut self.sound {
            sound.age += age;
        }
    }
}

/// Time of an observation in microseconds by the dispatcher's clock; negative before the start of the process.
type ObservedAt = i64;

/// Whether content is a prompt segment or a whole request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ContentKind {
    Segment,
    Request,
}

#[derive(Debug)]
struct Crash {
    service: ServiceName,
    upstream: UpstreamId,
    address: String,
    at: ObservedAt,
    suspects: BTreeMap<ContentKey, ContentKind>,
}

/// The crashes that a node knows of.
#[derive(Debug, Default)]
pub(crate) struct CrashLog {
    /// In the order of their times.
    crashes: Vec<Crash>,
    /// When upstreams last began to answer requests with content that was suspected of a crash.
    sound: HashMap<ContentKey, ObservedAt>,
}

impl CrashLog {
    /// Whether no crash is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Number of crashes that are known.
    pub(crate) fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Merges what another node or a run of this one showed; returns whether anything was new.
    pub(crate) fn merge(&mut self, now: MonotonicTime, evidence: &CrashEvidence) -> bool {
        let mut has_changed = false;
        for crash in &evidence.crashes {
            has_changed |= self.merge_crash(now, crash);
        }
        for sound in &evidence.sound {
            has_changed |= self.record_sound(now, sound.content, sound.age);
        }
        if has_changed {
            self.forget_old(now);
        }
        has_changed
    }

    fn merge_crash(&mut self, now: MonotonicTime, reported: &UpstreamCrash) -> bool {
        let at = observed_at(now, reported.age);
        let merge_us = CRASH_MERGE_TIME.as_micros() as i64;
        let known = self.crashes.iter().position(|crash| {
            crash.upstream == reported.upstream && (crash.at - at).abs() <= merge_us
        });
        let index = known.unwrap_or_else(|| {
            self.crashes.push(Crash {
                service: reported.service.clone(),
                upstream: reported.upstream.clone(),
                address: reported.address.clone(),
                at,
                suspects: BTreeMap::new(),
            });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        crash.at = crash.at.min(at);
        let count_before = crash.suspects.len();
        let segments = reported.segments.iter();
        let segments = segments.map(|key| (*key, ContentKind::Segment));
        let requests = reported.requests.iter();
        let requests = requests.map(|key| (*key, ContentKind::Request));
        for (key, kind) in segments.chain(requests) {
            if crash.suspects.len() < MAX_SUSPECTS {
                crash.suspects.entry(key).or_insert(kind);
            }
        }
        let has_changed = known.is_none() || crash.suspects.len() > count_before;
        self.crashes.sort_by_key(|crash| crash.at);
        has_changed
    }

    /// Records that an upstream began to answer a request with some content; returns whether this cleared a suspect.
    pub(crate) fn record_sound(
        &mut self,
        now: MonotonicTime,
        content: ContentKey,
        age: Duration,
    ) -> bool {
        let at = observed_at(now, age);
        let before = self.sound.get(&content).copied();
        let mut crashes = self.crashes.iter();
        let clears = crashes.any(|crash| {
            crash.at < at
                && before.is_none_or(|before| before <= crash.at)
                && crash.suspects.contains_key(&content)
        });
        if clears {
            self.sound.insert(content, at);
        }
        clears
    }

    /// Drops crashes that are too old and, if there are too many, first those that leave no suspect.
    fn forget_old(&mut self, now: MonotonicTime) {
        let oldest = observed_at(now, CRASH_MEMORY);
        self.crashes.retain(|crash| crash.at >= oldest);
        while self.crashes.len() > MAX_CRASHES {
            let cleared = self.crashes.iter().position(|crash| {
                let mut suspects = crash.suspects.keys();
                !suspects.any(|key| self.is_suspect(crash, *key))
            });
            self.crashes.remove(cleared.unwrap_or(0));
        }
        let crashes = &self.crashes;
        self.sound
            .retain(|key, _| crashes.iter().any(|it| it.suspects.contains_key(key)));
    }

    /// Whether content of a crash has not proved to be sound since.
    fn is_suspect(&self, crash: &Crash, content: ContentKey) -> bool {
        let sound_at = self.sound.get(&content);
        sound_at.is_none_or(|sound_at| *sound_at <= crash.at)
    }

    /// The content of a request that is suspected of some crash.
    pub(crate) fn suspects_in(&self, request: &SlotRequest) -> Vec<ContentKey> {
        if self.is_empty() {
            return Vec::new();
        }
        let is_suspected = |key: &ContentKey| {
            let mut crashes = self.crashes.iter();
            crashes.any(|crash| crash.suspects.contains_key(key) && self.is_suspect(crash, *key))
        };
        request.content().filter(is_suspected).collect()
    }

    /// Returns what other nodes have to know: the latest crashes that left suspects, and the content that was cleared.
    pub(crate) fn to_share(&self, now: MonotonicTime) -> CrashEvidence {
        let latest = self.crashes.iter().rev();
        let crashes = latest.filter_map(|crash| {
            let suspects = crash.suspects.iter();
            let suspects = suspects.filter(|(key, _)| self.is_suspect(crash, **key));
            let suspects: Vec<_> = suspects.collect();
            (!suspects.is_empty()).then(|| report(now, crash, &suspects))
        });
        let mut sound: Vec<_> = self.sound.iter().map(|(key, at)| (*at, *key)).collect();
        sound.sort_unstable();
        let sound = sound.into_iter().rev().map(|(at, content)| SoundContent {
            content,
            age: age(now, at),
        });
        CrashEvidence {
            crashes: crashes.take(MAX_CRASHES_SHARED).collect(),
            sound: sound.take(MAX_SOUND_SHARED).collect(),
        }
    }

    /// Returns a number that differs between nodes which know different things.
    pub(crate) fn version(&self) -> u64 {
        if self.is_empty() {
            return 0;
        }
        let shared = self.to_share(Duration::ZERO);
        let crashes = shared.crashes.into_iter().map(|mut crash| {
            crash.segments.sort_unstable();
            crash.requests.sort_unstable();
            (crash.upstream, crash.segments, crash.requests)
        });
        let mut crashes: Vec<_> = crashes.collect();
        crashes.sort();
        let mut sound: Vec<_> = shared.sound.iter().map(|sound| sound.content).collect();
        sound.sort_unstable();
        let mut hasher = DefaultHasher::new();
        (crashes, sound).hash(&mut hasher);
        hasher.finish().max(1)
    }
}

fn report(
    now: MonotonicTime,
    crash: &Crash,
    suspects: &[(&ContentKey, &ContentKind)],
) -> UpstreamCrash {
    let of_kind = |kind| {
        let suspects = suspects.iter().filter(move |(_, other)| **other == kind);
        suspects.map(|(key, _)| **key).collect()
    };
    UpstreamCrash {
        service: crash.service.clone(),
        upstream: crash.upstream.clone(),
        address: crash.address.clone(),
        age: age(now, crash.at),
        segments: of_kind(ContentKind::Segment),
        requests: of_kind(ContentKind::Request),
    }
}

fn observed_at(now: MonotonicTime, age: Duration) -> ObservedAt {
    now.as_micros() as i64 - age.as_micros() as i64
}

fn age(now: MonotonicTime, at: ObservedAt) -> Duration {
    Duration::from_micros((now.as_micros() as i64 - at).max(0) as u64)
}
