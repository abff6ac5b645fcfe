//! What upstreams say of themselves in their answers, and from when it is.
//!
//! The load it answers: an upstream in trouble names the rate that it takes from all nodes together, or refuses requests and
//! wants rest; one that leaves says so long before the registry does. Any node may be the first to hear it, and any may own
//! the services next, so each keeps what was said with its time: the later statement holds, in whatever order they arrive.

use {
    crate::{
        ids::{MonotonicTime, NodeIncarnation, ServiceName, UpstreamId},
        limits::{MAX_NOTICES_SHARED, NOTICE_MEMORY},
    },
    std::{collections::HashMap, time::Duration},
};

/// Something that an upstream said of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamNotice {
    /// Its service.
    pub service: ServiceName,
    /// The upstream.
    pub upstream: UpstreamId,
    /// What it said.
    pub kind: NoticeKind,
    /// Time since it was said. For an answer that names no limit it is the time since the request was sent, the earliest moment
    /// at which it can have been made.
    pub age: Duration,
}

/// What an upstream may say of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoticeKind {
    /// It takes so many requests a second from all nodes together.
    RateLimited {
        /// Requests a second.
        requests_per_s: f64,
    },
    /// It names no rate limit any more.
    RateUnlimited,
    /// It is about to leave and takes no new requests; this is never taken back.
    Leaving,
    /// It refused a request and wants none from that node for a while.
    BackOff {
        /// The start of the node that it refused.
        node: NodeIncarnation,
        /// How long, from when it was said.
        duration: Duration,
    },
}

/// What upstreams said of themselves, by upstream.
#[derive(Debug, Default)]
pub(crate) struct UpstreamNotices {
    upstreams: HashMap<UpstreamId, Statements>,
}

#[derive(Debug)]
struct Statements {
    service: ServiceName,
    rate: Option<StatedRate>,
    leaving_at: Option<MonotonicTime>,
    back_offs: HashMap<NodeIncarnation, Rest>,
}

#[derive(Clone, Copy, Debug)]
struct Rest {
    at: MonotonicTime,
    duration: Duration,
}

impl Rest {
    fn until(self) -> MonotonicTime {
        self.at.saturating_add(self.duration)
    }
}

#[derive(Debug)]
struct StatedRate {
    /// None once it names no limit any more.
    requests_per_s: Option<f64>,
    at: MonotonicTime,
}

impl UpstreamNotices {
    /// Applies a notice, unless a later one is known; says whether something else holds now.
    pub(crate) fn apply(&mut self, now: MonotonicTime, notice: &UpstreamNotice) -> bool {
        let at = now.saturating_sub(notice.age);
        let known = self
            .upstreams
            .entry(notice.upstream.clone())
            .or_insert_with(|| Statements {
                service: notice.service.clone(),
                rate: None,
                leaving_at: None,
                back_offs: HashMap::new(),
            });
        match notice.kind {
            NoticeKind::RateLimited { requests_per_s } => {
                known.apply_rate(at, Some(requests_per_s))
            }
            NoticeKind::RateUnlimited => known.apply_rate(at, None),
            NoticeKind::Leaving => known.leaving_at.replace(at).is_none(),
            NoticeKind::BackOff { node, duration } => {
                known.apply_rest(now, node, Rest { at, duration })
            }
        }
    }

    /// Requests a second that an upstream takes, if it named a limit.
    pub(crate) fn rate_limit(&self, upstream: &UpstreamId) -> Option<f64> {
        self.upstreams.get(upstream)?.rate_limit()
    }

    /// Whether an upstream said that it leaves.
    pub(crate) fn is_leaving(&self, upstream: &UpstreamId) -> bool {
        let known = self.upstreams.get(upstream);
        known.is_some_and(|known| known.leaving_at.is_some())
    }

    /// Until when an upstream wants no requests of which nodes.
    pub(crate) fn back_offs(
        &self,
        upstream: &UpstreamId,
    ) -> impl Iterator<Item = (NodeIncarnation, MonotonicTime)> {
        let known = self.upstreams.get(upstream).into_iter();
        known
            .flat_map(|known| &known.back_offs)
            .map(|(node, rest)| (*node, rest.until()))
    }

    /// Until when an upstream wants no requests of a node.
    pub(crate) fn back_off_until(
        &self,
        upstream: &UpstreamId,
        node: NodeIncarnation,
    ) -> MonotonicTime {
        let mut back_offs = self.back_offs(upstream);
        back_offs
            .find(|(resting, _)| *resting == node)
            .map_or(Duration::ZERO, |(_, until)| until)
    }

    /// Forgets what was said long ago by upstreams that are not listed any more, or no longer holds.
    ///
    /// An entry may lapse and return while its upstream runs on.
    pub(crate) fn forget_old(
        &mut self,
        now: MonotonicTime,
        is_listed: impl Fn(&UpstreamId) -> bool,
    ) {
        self.upstreams.retain(|upstream, known| {
            let is_recent = now.saturating_sub(known.last_at()) < NOTICE_MEMORY;
            is_recent || (known.holds(now) && is_listed(upstream))
        });
    }

    /// What another node has to know, the latest first.
    pub(crate) fn to_share(&self, now: MonotonicTime) -> Vec<UpstreamNotice> {
        let mut notices: Vec<_> = self
            .upstreams
            .iter()
            .flat_map(|(upstream, known)| known.notices(now, upstream))
            .collect();
        notices.sort_by_key(|notice| notice.age);
        notices.truncate(MAX_NOTICES_SHARED);
        notices
    }
}

impl Statements {
    /// Applies a rate limit, or the end of one, unless a later one is known.
    fn apply_rate(&mut self, at: MonotonicTime, requests_per_s: Option<f64>) -> bool {
        if self.rate.as_ref().is_some_and(|known| at < known.at) {
            return false;
        }
        let before = self.rate_limit();
        self.rate = Some(StatedRate { requests_per_s, at });
        before != requests_per_s
    }

    /// Applies a time of rest, unless a longer one is known; those that are over are forgotten.
    fn apply_rest(&mut self, now: MonotonicTime, node: NodeIncarnation, rest: Rest) -> bool {
        self.back_offs.retain(|_, known| known.until() > now);
        let known = self.back_offs.get(&node).map(|known| known.until());
        if rest.until() <= known.unwrap_or(now) {
            return false;
        }
        self.back_offs.insert(node, rest);
        true
    }

    fn rate_limit(&self) -> Option<f64> {
        self.rate.as_ref()?.requests_per_s
    }

    /// Whether anything of it still binds.
    fn holds(&self, now: MonotonicTime) -> bool {
        let mut back_offs = self.back_offs.values();
        self.rate_limit().is_some()
            || self.leaving_at.is_some()
            || back_offs.any(|rest| rest.until() > now)
    }

    fn last_at(&self) -> MonotonicTime {
        let rate_at = self.rate.as_ref().map(|rate| rate.at);
        let rest_at = self.back_offs.values().map(|rest| rest.at).max();
        let last = rate_at.max(self.leaving_at).max(rest_at);
        last.unwrap_or_default()
    }

    fn notices(&self, now: MonotonicTime, upstream: &UpstreamId) -> Vec<UpstreamNotice> {
        let notice = |kind, at| UpstreamNotice {
            service: self.service.clone(),
            upstream: upstream.clone(),
            kind,
            age: now.saturating_sub(at),
        };
        let rate = self.rate.as_ref().map(|rate| {
            let kind = rate
                .requests_per_s
                .map_or(NoticeKind::RateUnlimited, |requests_per_s| {
                    NoticeKind::RateLimited { requests_per_s }
                });
            notice(kind, rate.at)
        });
        let leaving = self.leaving_at.map(|at| notice(NoticeKind::Leaving, at));
        let back_offs = self.back_offs.iter().filter(|(_, rest)| rest.until() > now);
        let back_offs = back_offs.map(|(node, rest)| {
            let (node, duration) = (*node, rest.duration);
            notice(NoticeKind::BackOff { node, duration }, rest.at)
        });
        rate.into_iter().chain(leaving).chain(back_offs).collect()
    }
}
