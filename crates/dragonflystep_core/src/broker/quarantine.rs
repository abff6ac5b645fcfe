//! Quarantine of requests that crash upstreams.
//!
//! A request that ran on upstreams when they crashed becomes suspect, and then runs alone on an upstream. If that
//! upstream crashes as well, the request is proved to cause crashes and is refused.

use {
    crate::{
        ids::{Fingerprint, UpstreamId},
        message::CrashObserved,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// How long a suspicion or a quarantine lasts without a new crash.
const SUSPICION_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum number of fingerprints that are remembered.
const CAPACITY: usize = 4096;
/// Reports about the same upstream within this time are attributed to one crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(3);
/// Accumulated share of crashes from which a request is suspected. A crash with n requests on the upstream adds 1/n,
/// so the first crash suffices with up to four requests.
const SUSPECT_SHARE: f64 = 0.25;
/// Number of crashes after which a request is suspected, however many other requests ran on the upstreams.
const SUSPECT_CRASHES: u32 = 2;

/// How a request is treated, given the crashes that it was involved in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is not suspected of crashing upstreams.
    Trusted,
    /// It may crash upstreams, so it must run alone.
    Suspect,
    /// It crashed an upstream on which it ran alone, after an earlier crash; it is refused.
    Quarantined,
}

/// A crash of an upstream, from the point of view of one request that ran on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Id of the upstream that crashed.
    pub upstream: UpstreamId,
    /// Number of requests that ran on the upstream, as far as is known.
    pub request_count: u32,
    /// When the request was granted the upstream; `None` when another broker granted it.
    pub granted_at: Option<Duration>,
    /// Whether the request was granted the upstream exclusively.
    pub exclusive: bool,
}

impl Crash {
    /// A crash of an upstream of a group that this node does not hold.
    pub fn of_another_group(observed: &CrashObserved) -> Self {
        Self {
            upstream: observed.upstream.clone(),
            request_count: observed.on_board,
            granted_at: None,
            exclusive: false,
        }
    }
}

/// How a crash changed the suspicion of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The crash had been counted before.
    Repeated,
    /// The crash was counted.
    Counted,
    /// The crash proved that the request crashes upstreams.
    Proved,
}

#[derive(Clone, Debug)]
struct Suspicion {
    share: f64,
    crashes: u32,
    proved: bool,
    /// Whether this node proved it, instead of hearing of it from another broker.
    is_own_finding: bool,
    last_upstream: UpstreamId,
    last_at: Duration,
}

impl Suspicion {
    fn new(upstream: &UpstreamId, now: Duration) -> Self {
        Self {
            share: 0.0,
            crashes: 0,
            proved: false,
            is_own_finding: false,
            last_upstream: upstream.clone(),
            last_at: now,
        }
    }

    fn has_counted(&self, crash: &Crash, now: Duration) -> bool {
        // A request that was granted after the last crash did not run on the upstream when it crashed.
        self.crashes > 0
            && self.last_upstream == crash.upstream
            && now < self.last_at.saturating_add(SAME_CRASH_WINDOW)
            && crash.granted_at.is_none_or(|at| at <= self.last_at)
    }
}

/// Requests that are suspected or quarantined, as far as one node knows.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspicions: BTreeMap<Fingerprint, Suspicion>,
}

impl Quarantine {
    /// Counts a crash against a request.
    ///
    /// Only the crash of an upstream that was granted exclusively to a suspect is a proof: entry nodes see only their
    /// own requests on an upstream.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_core::broker::quarantine::{Crash, Finding, Quarantine, Verdict};
    /// use std::time::Duration;
    /// let mut quarantine = Quarantine::default();
    /// let mut crash = Crash {
    ///     upstream: "u1".into(),
    ///     request_count: 1,
    ///     granted_at: Some(Duration::ZERO),
    ///     exclusive: false,
    /// };
    /// let first = quarantine.record_crash(7, &crash, Duration::from_secs(1));
    /// assert_eq!(first, Finding::Counted);
    /// assert_eq!(quarantine.verdict(7, Duration::from_secs(2)), Verdict::Suspect);
    /// crash.granted_at = Some(Duration::from_secs(2));
    /// crash.exclusive = true;
    /// let second = quarantine.record_crash(7, &crash, Duration::from_secs(3));
    /// assert_eq!(second, Finding::Proved);
    /// assert_eq!(quarantine.verdict(7, Duration::from_secs(4)), Verdict::Quarantined);
    /// ```
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash: &Crash,
        now: Duration,
    ) -> Finding {
        let suspicion = self.suspicion(fingerprint, &crash.upstream, now);
        if suspicion.has_counted(crash, now) {
            return Finding::Repeated;
        }
        let proves = crash.exclusive && suspicion.crashes > 0 && !suspicion.proved;
        suspicion.share += 1.0 / f64::from(crash.request_count.max(1));
        suspicion.crashes += 1;
        suspicion.last_upstream = crash.upstream.clone();
        suspicion.last_at = now;
        if !proves {
            return Finding::Counted;
        }
        suspicion.proved = true;
        suspicion.is_own_finding = true;
        Finding::Proved
    }

    /// Adopts another broker's finding that a request crashes upstreams.
    pub fn adopt(&mut self, fingerprint: Fingerprint, upstream: &UpstreamId, now: Duration) {
        let suspicion = self.suspicion(fingerprint, upstream, now);
        if !suspicion.proved {
            suspicion.proved = true;
            suspicion.last_at = now;
        }
    }

    /// Requests that this node proved to crash upstreams, by the upstream that crashed last.
    ///
    /// Only these are sent to nodes that join. The message carries no age, so repeating findings of other nodes
    /// would extend a quarantine forever.
    pub fn own_findings(&self, now: Duration) -> BTreeMap<UpstreamId, Vec<Fingerprint>> {
        let mut proofs: BTreeMap<UpstreamId, Vec<Fingerprint>> = BTreeMap::new();
        for (fingerprint, suspicion) in &self.suspicions {
            if suspicion.is_own_finding && now < suspicion.last_at + SUSPICION_LIFETIME {
                let upstream = suspicion.last_upstream.clone();
                proofs.entry(upstream).or_default().push(*fingerprint);
            }
        }
        proofs
    }

    /// Clears a request that completed, since it did not cause the crashes that it was involved in.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.suspicions.remove(&fingerprint);
    }

    /// How a request is to be treated now.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Duration) -> Verdict {
        let Some(suspicion) = self.suspicions.get(&fingerprint) else {
            return Verdict::Trusted;
        };
        if now >= suspicion.last_at + SUSPICION_LIFETIME {
            return Verdict::Trusted;
        }
        if suspicion.proved {
            return Verdict::Quarantined;
        }
        if suspicion.share >= SUSPECT_SHARE || suspicion.crashes >= SUSPECT_CRASHES {
            return Verdict::Suspect;
        }
        Verdict::Trusted
    }

    /// Time until a quarantined request is accepted again; `None` if nothing is known of it.
    pub fn retry_after(&self, fingerprint: Fingerprint, now: Duration) -> Option<Duration> {
        let suspicion = self.suspicions.get(&fingerprint)?;
        Some((suspicion.last_at + SUSPICION_LIFETIME).saturating_sub(now))
    }

    /// Removes suspicions that have expired.
    pub fn remove_expired(&mut self, now: Duration) {
        self.suspicions
            .retain(|_, suspicion| now < suspicion.last_at + SUSPICION_LIFETIME);
    }

    fn suspicion(
        &mut self,
        fingerprint: Fingerprint,
        upstream: &UpstreamId,
        now: Duration,
    ) -> &mut Suspicion {
        let is_known = self.suspicions.contains_key(&fingerprint);
        if !is_known && self.suspicions.len() >= CAPACITY {
            self.drop_oldest();
        }
        self.suspicions
            .entry(fingerprint)
            .or_insert_with(|| Suspicion::new(upstream, now))
    }

    fn drop_oldest(&mut self) {
        // A proved suspicion is dropped only when all of them are proved.
        let oldest = self
            .suspicions
            .iter()
            .min_by_key(|(_, each)| (each.proved, each.last_at))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = oldest {
            self.suspicions.remove(&fingerprint);
        }
    }
}
