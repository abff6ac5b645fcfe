//! Decides whether a node connects to an upstream directly or through another node, and whether a failed connection says
//! anything about the upstream.
//!
//! It is designed for nodes that lose their connections to all upstreams, or to some, while callers, the platform and the
//! other nodes still reach them. Such a node can serve its callers only through a node that reaches the upstreams. Its
//! failures must not count as failures of the upstreams: the owner would back off one upstream after the other for all
//! nodes. A failure counts only if a node that reaches other upstreams confirms it.

use {
    crate::limits::{
        BLOCKED_PATHS_WHEN_CUT_OFF, DIRECT_PROBE_INTERVAL, FALLBACK_TUNNEL_BURST,
        FALLBACK_TUNNELS_PER_S, FORWARDER_AVOIDANCE, MAX_PROBES_AT_ONCE, PATH_PROOF_TIME,
        UPSTREAM_SILENCE,
    },
    dragonflystep_dispatch::{MonotonicTime, NodeName, UpstreamId},
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
};

/// How to connect to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// Directly.
    Direct,
    /// Through another node.
    Tunnel {
        /// Whether a direct connection is to be tried in addition, to notice when it works again.
        is_probe_due: bool,
    },
}

/// What a node knows about its connections to upstreams.
#[derive(Debug, Default)]
pub(crate) struct UpstreamPaths {
    /// Addresses of upstreams that other nodes reach and this one does not, or not with certainty after it was cut off.
    blocked: HashMap<String, BlockedPath>,
    /// When the latest direct connection that has carried an answer was opened.
    connected_at: Option<MonotonicTime>,
    /// When each upstream last answered over a direct connection, by its address.
    answered_at: HashMap<String, MonotonicTime>,
    /// When the latest direct connection to each upstream that has carried an answer was opened.
    proved_at: HashMap<String, MonotonicTime>,
    /// When any upstream last sent anything over a direct connection.
    heard_at: MonotonicTime,
    /// Whether neither an upstream whose connection broke nor others answered, and none has since.
    is_unanswered: bool,
    cut_off_since: Option<MonotonicTime>,
    /// When a direct connection is tried next while the node is cut off, and when silent upstreams are checked next.
    next_probe_at: MonotonicTime,
    fallback_limiter: FallbackLimiter,
    /// Nodes that recently could not open a tunnel, with the time from which they are tried again.
    avoided_forwarders: HashMap<NodeName, MonotonicTime>,
}

#[derive(Debug)]
struct BlockedPath {
    since: MonotonicTime,
    /// When a direct connection is tried next.
    next_probe_at: MonotonicTime,
}

/// Token bucket of the tunnels that may be opened because a direct connection fails or takes long. While many upstreams
/// stop, or this node is busy, they would otherwise double the connections to upstreams.
#[derive(Debug)]
struct FallbackLimiter {
    tokens: f64,
    refilled_at: MonotonicTime,
}

impl Default for FallbackLimiter {
    fn default() -> Self {
        Self {
            tokens: FALLBACK_TUNNEL_BURST,
            refilled_at: Duration::ZERO,
        }
    }
}

impl FallbackLimiter {
    fn take(&mut self, now: MonotonicTime) -> bool {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let refilled = self.tokens + elapsed_s * FALLBACK_TUNNELS_PER_S;
        self.tokens = refilled.min(FALLBACK_TUNNEL_BURST);
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }
}

impl UpstreamPaths {
    /// Chooses how to connect to the upstream at an address.
    pub(crate) fn choose(&mut self, now: MonotonicTime, address: &str) -> Way {
        let blocked = self.blocked.get_mut(address);
        let next_probe_at = if self.cut_off_since.is_some() {
            &mut self.next_probe_at
        } else if let Some(path) = blocked {
            &mut path.next_probe_at
        } else {
            return Way::Direct;
        };
        let is_probe_due = now >= *next_probe_at;
        if is_probe_due {
            *next_probe_at = now + DIRECT_PROBE_INTERVAL;
        }
        Way::Tunnel { is_probe_due }
    }

    /// Records the first answer over a direct connection that was opened at `opened_at`. Returns since when the node had
    /// been cut off from all upstreams, if it was until now.
    ///
    /// A connection that only opens proves nothing, as it may carry no bytes; one that was opened before a cut may live
    /// on.
    pub(crate) fn record_connected(
        &mut self,
        now: MonotonicTime,
        address: &str,
        opened_at: MonotonicTime,
    ) -> Option<MonotonicTime> {
        self.connected_at = self.connected_at.max(Some(opened_at));
        self.record_answer(now, address);
        self.proved_at.insert(address.to_owned(), opened_at);
        self.blocked
            .retain(|blocked, path| blocked != address || path.since > opened_at);
        self.cut_off_since.take_if(|since| *since <= opened_at)
    }

    /// Records after a cut, which began at `since`, upstreams that may still be out of reach. They are reached through
    /// other nodes until a direct connection to each has carried an answer.
    pub(crate) fn record_doubtful<'a>(
        &mut self,
        now: MonotonicTime,
        since: MonotonicTime,
        addresses: impl Iterator<Item = &'a str>,
    ) {
        for address in addresses {
            let is_proved = self.proved_at.get(address).is_some_and(|at| *at >= since);
            if is_proved || self.blocked.contains_key(address) {
                continue;
            }
            let path = BlockedPath {
                since,
                next_probe_at: now,
            };
            self.blocked.insert(address.to_owned(), path);
        }
    }

    /// Chooses blocked upstreams to which a direct connection is to be tried, whether or not requests need one.
    pub(crate) fn take_due_probes(&mut self, now: MonotonicTime) -> Vec<String> {
        if self.is_cut_off() {
            if now < self.next_probe_at {
                return Vec::new();
            }
            self.next_probe_at = now + DIRECT_PROBE_INTERVAL;
        }
        let mut due: Vec<_> = self.blocked.iter_mut().collect();
        due.retain(|(_, path)| path.next_probe_at <= now);
        due.sort_by(|(address, path), (other, other_path)| {
            (path.next_probe_at, *address).cmp(&(other_path.next_probe_at, *other))
        });
        due.truncate(MAX_PROBES_AT_ONCE);
        let probed = due.into_iter().map(|(address, path)| {
            path.next_probe_at = now + DIRECT_PROBE_INTERVAL;
            address.clone()
        });
        probed.collect()
    }

    /// Records that an upstream answered over a direct connection. While only open connections live on, answers go on
    /// although the node is cut off.
    pub(crate) fn record_answer(&mut self, now: MonotonicTime, address: &str) {
        self.heard_at = now;
        self.is_unanswered = false;
        match self.answered_at.get_mut(address) {
            Some(at) => *at = now,
            None => {
                self.answered_at.insert(address.to_owned(), now);
            }
        }
    }

    /// Records that neither an upstream whose connection broke nor others answer.
    pub(crate) fn record_no_answer(&mut self) {
        self.is_unanswered = true;
    }

    /// Records that an upstream sent a part of an answer over a direct connection.
    pub(crate) fn record_heard(&mut self, now: MonotonicTime) {
        self.heard_at = now;
    }

    /// Records that another node reaches an upstream to which this node could not connect. Returns whether the node
    /// counts as cut off from all upstreams from now on.
    pub(crate) fn record_blocked(&mut self, now: MonotonicTime, address: &str) -> bool {
        let path = BlockedPath {
            since: now,
            next_probe_at: now + DIRECT_PROBE_INTERVAL,
        };
        self.blocked.insert(address.to_owned(), path);
        let connected_at = self.connected_at;
        let blocked_since = |path: &&BlockedPath| connected_at.is_none_or(|at| path.since > at);
        let is_cut_off =
            self.blocked.values().filter(blocked_since).count() >= BLOCKED_PATHS_WHEN_CUT_OFF;
        if !is_cut_off || self.cut_off_since.is_some() {
            return false;
        }
        self.cut_off_since = Some(now);
        self.next_probe_at = now + DIRECT_PROBE_INTERVAL;
        true
    }

    /// Whether the node reaches no upstream directly.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Whether other nodes reach the upstream at an address and this one does not, as far as it knows.
    pub(crate) fn is_blocked(&self, address: &str) -> bool {
        self.is_cut_off() || self.blocked.contains_key(address)
    }

    /// Number of upstreams that other nodes reach and this one does not, or not with certainty.
    pub(crate) fn blocked_count(&self) -> usize {
        self.blocked.len()
    }

    /// Whether this node reaches other upstreams than the one at `address`, so that its failure to connect there says
    /// that this upstream can't be reached.
    pub(crate) fn reaches_others(&self, now: MonotonicTime, address: &str) -> bool {
        let is_recent = |at: MonotonicTime| now.saturating_sub(at) <= PATH_PROOF_TIME;
        let mut answers = self.answered_at.iter();
        !self.is_cut_off()
            && !self.is_unanswered
            && answers.any(|(other, at)| other != address && is_recent(*at))
    }

    /// Whether a tunnel may be opened because a direct connection fails or takes long.
    pub(crate) fn take_fallback_permit(&mut self, now: MonotonicTime) -> bool {
        self.fallback_limiter.take(now)
    }

    /// Chooses the upstreams whose paths are to be checked, if nothing was heard from any upstream for
    /// [`UPSTREAM_SILENCE`] although requests have been waiting for that long. `waiting` has the upstream of each request
    /// and the time since when it waits.
    pub(crate) fn silent_upstreams(
        &mut self,
        now: MonotonicTime,
        waiting: impl Iterator<Item = (UpstreamId, MonotonicTime)>,
    ) -> Vec<UpstreamId> {
        let is_silent = |since: MonotonicTime| now.saturating_sub(since) >= UPSTREAM_SILENCE;
        if self.is_cut_off() || !is_silent(self.heard_at) || now < self.next_probe_at {
            return Vec::new();
        }
        let silent = waiting.filter(|(_, since)| is_silent(*since));
        let silent: BTreeSet<UpstreamId> = silent.map(|(upstream, _)| upstream).collect();
        if silent.len() < BLOCKED_PATHS_WHEN_CUT_OFF {
            return Vec::new();
        }
        self.next_probe_at = now + UPSTREAM_SILENCE;
        silent
            .into_iter()
            .take(BLOCKED_PATHS_WHEN_CUT_OFF)
            .collect()
    }

    /// Leaves a node out as a forwarder for a while, because it could not open a tunnel.
    pub(crate) fn avoid_forwarder(&mut self, now: MonotonicTime, node: &NodeName) {
        self.avoided_forwarders.retain(|_, until| now < *until);
        self.avoided_forwarders
            .insert(node.clone(), now + FORWARDER_AVOIDANCE);
    }

    /// Whether a node recently could not open a tunnel.
    pub(crate) fn is_avoided(&self, now: MonotonicTime, node: &str) -> bool {
        let until = self.avoided_forwarders.get(node);
        until.is_some_and(|until| now < *until)
    }

    /// Forgets upstreams that are no longer registered.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.blocked.retain(|address, _| is_known(address));
        self.answered_at.retain(|address, _| is_known(address));
        self.proved_at.retain(|address, _| is_known(address));
    }
}
