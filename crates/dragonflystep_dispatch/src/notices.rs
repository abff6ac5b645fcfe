//! Notices: statements that upstreams make about themselves in their answers, with the time at which they were made.
//!
//! An upstream in trouble states the rate that it takes from all nodes together, or refuses requests and states a
//! back-off. An upstream that is leaving announces it long before the registry shows it. Any node may be the first to
//! receive a notice, and any node may own the services next. So each node keeps the notices with their times, which
//! makes the result independent of the order in which they arrive: the latest rate statement and the back-off that ends
//! last apply.

use {
    crate::{
        ids::{MonotonicTime, NodeIncarnation, ServiceName, UpstreamId},
        limits::{MAX_NOTICES_SHARED, NOTICE_MEMORY},
    },
    std::{collections::HashMap, time::Duration},
};

/// A statement that an upstream made about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamNotice {
    /// Service of the upstream.
    pub service: ServiceName,
    /// The upstream that made the statement.
    pub upstream: UpstreamId,
    /// Content of the statement.
    pub kind: NoticeKind,
    /// Time since the statement was made. For [`NoticeKind::RateUnlimited`] and [`NoticeKind::RejectionsUnlimited`] it is
    /// the time since the request was sent, which is the earliest moment at which the answer can have been made.
    pub age: Duration,
}

/// Content of an upstream's statement about itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoticeKind {
    /// The upstream limits the rate of requests from all nodes together.
    RateLimited {
        /// The limit, in requests per second.
        requests_per_s: f64,
    },
    /// The upstream no longer states a rate limit.
    RateUnlimited,
    /// The upstream fails if it has to reject too many requests of all nodes together.
    RejectionsLimited {
        /// The largest number of requests per second that it may have to reject.
        rejections_per_s: f64,
    },
    /// The upstream no longer states how many rejections it bears.
    RejectionsUnlimited,
    /// The upstream is about to leave and takes no new requests. This is never revoked.
    Leaving,
    /// The upstream refused a request of a node and asks this node to send no requests for a while.
    BackOff {
        /// Incarnation of the node whose request was refused.
        node: NodeIncarnation,
        /// Length of the back-off, from the time of the statement.
        duration: Duration,
    },
    /// The upstream is cold and bears only a few requests per second.
    WarmingUp {
        /// How long it stays cold, from the time of the statement; zero if it is warm.
        left: Duration,
    },
}

/// The known notices of all upstreams.
#[derive(Debug, Default)]
pub(crate) struct UpstreamNotices {
    upstreams: HashMap<UpstreamId, KnownNotices>,
}

/// The notices of one upstream that are known.
#[derive(Debug)]
struct KnownNotices {
    service: ServiceName,
    rate: Option<StatedLimit>,
    rejections: Option<StatedLimit>,
    leaving_at: Option<MonotonicTime>,
    warm_up: Option<StatedWarmUp>,
    back_offs: HashMap<NodeIncarnation, BackOffPeriod>,
}

/// A back-off that an upstream requested from one node.
#[derive(Clone, Copy, Debug)]
struct BackOffPeriod {
    at: MonotonicTime,
    duration: Duration,
}

impl BackOffPeriod {
    fn until(self) -> MonotonicTime {
        self.at.saturating_add(self.duration)
    }
}

/// What an upstream stated about its warm-up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StatedWarmUp {
    /// Time of the statement.
    pub(crate) at: MonotonicTime,
    /// End of the warm-up.
    pub(crate) until: MonotonicTime,
}

/// A limit of requests or rejections that an upstream stated.
#[derive(Debug)]
struct StatedLimit {
    /// The limit, per second; absent once the upstream no longer states one.
    per_s: Option<f64>,
    at: MonotonicTime,
}

impl StatedLimit {
    /// Replaces `known` by a limit, or by the end of one, unless a later statement is known; returns whether the limit
    /// changed.
    fn update(known: &mut Option<Self>, at: MonotonicTime, per_s: Option<f64>) -> bool {
        if known.as_ref().is_some_and(|known| at < known.at) {
            return false;
        }
        let before = known.as_ref().and_then(|known| known.per_s);
        *known = Some(Self { per_s, at });
        before != per_s
    }
}

impl UpstreamNotices {
    /// Applies a notice; returns whether this changed what applies. A rate statement older than the known one, and a
    /// back-off that ends before the known one, are ignored.
    pub(crate) fn apply(&mut self, now: MonotonicTime, notice: &UpstreamNotice) -> bool {
        let at = now.saturating_sub(notice.age);
        let known = self
            .upstreams
            .entry(notice.upstream.clone())
            .or_insert_with(|| KnownNotices {
                service: notice.service.clone(),
                rate: None,
                rejections: None,
                leaving_at: None,
                warm_up: None,
                back_offs: HashMap::new(),
            });
        match notice.kind {
            NoticeKind::RateLimited { requests_per_s } => {
                StatedLimit::update(&mut known.rate, at, Some(requests_per_s))
            }
            NoticeKind::RateUnlimited => StatedLimit::update(&mut known.rate, at, None),
            NoticeKind::RejectionsLimited { rejections_per_s } => {
                StatedLimit::update(&mut known.rejections, at, Some(rejections_per_s))
            }
            NoticeKind::RejectionsUnlimited => StatedLimit::update(&mut known.rejections, at, None),
            NoticeKind::Leaving => {
                let was_known = known.leaving_at.is_some();
                known.leaving_at = known.leaving_at.max(Some(at));
                !was_known
            }
            NoticeKind::BackOff { node, duration } => {
                known.apply_back_off(now, node, BackOffPeriod { at, duration })
            }
            NoticeKind::WarmingUp { left } => known.apply_warm_up(at, left),
        }
    }

    /// Returns the rate limit of an upstream, in requests per second, if it stated one.
    pub(crate) fn rate_limit(&self, upstream: &UpstreamId) -> Option<f64> {
        self.upstreams.get(upstream)?.rate_limit()
    }

    /// Returns the number of rejections per second that an upstream bears, if it stated one.
    pub(crate) fn rejection_limit(&self, upstream: &UpstreamId) -> Option<f64> {
        self.upstreams.get(upstream)?.rejection_limit()
    }

    /// Returns what an upstream last stated about its warm-up.
    pub(crate) fn warm_up(&self, upstream: &UpstreamId) -> Option<StatedWarmUp> {
        self.upstreams.get(upstream)?.warm_up
    }

    /// Whether an upstream announced that it is leaving.
    pub(crate) fn is_leaving(&self, upstream: &UpstreamId) -> bool {
        let known = self.upstreams.get(upstream);
        known.is_some_and(|known| known.leaving_at.is_some())
    }

    /// Returns the nodes from which an upstream requested a back-off, with the end of each.
    pub(crate) fn back_offs(
        &self,
        upstream: &UpstreamId,
    ) -> impl Iterator<Item = (NodeIncarnation, MonotonicTime)> {
        let known = self.upstreams.get(upstream).into_iter();
        known
            .flat_map(|known| &known.back_offs)
            .map(|(node, back_off)| (*node, back_off.until()))
    }

    /// Returns the end of the back-off that an upstream requested from a node, or zero if there is none.
    pub(crate) fn back_off_until(
        &self,
        upstream: &UpstreamId,
        node: NodeIncarnation,
    ) -> MonotonicTime {
        let mut back_offs = self.back_offs(upstream);
        back_offs
            .find(|(backed_off, _)| *backed_off == node)
            .map_or(Duration::ZERO, |(_, until)| until)
    }

    /// Drops the notices of an upstream once the latest one is older than [`NOTICE_MEMORY`], if the upstream is no
    /// longer listed or none of them applies any more.
    ///
    /// Recent notices are kept, since a registry entry may expire and return while its upstream keeps running.
    pub(crate) fn forget_old(
        &mut self,
        now: MonotonicTime,
        is_listed: impl Fn(&UpstreamId) -> bool,
    ) {
        self.upstreams.retain(|upstream, known| {
            let is_recent = now.saturating_sub(known.latest_at()) < NOTICE_MEMORY;
            is_recent || (known.is_in_effect(now) && is_listed(upstream))
        });
    }

    /// Returns up to [`MAX_NOTICES_SHARED`] notices that other nodes have to know, the latest first.
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

impl KnownNotices {
    /// Applies a back-off, unless a known one ends later; drops those that are over. Returns whether it applies.
    fn apply_back_off(
        &mut self,
        now: MonotonicTime,
        node: NodeIncarnation,
        back_off: BackOffPeriod,
    ) -> bool {
        self.back_offs.retain(|_, known| known.until() > now);
        let known = self.back_offs.get(&node).map(|known| known.until());
        if back_off.until() <= known.unwrap_or(now) {
            return false;
        }
        self.back_offs.insert(node, back_off);
        true
    }

    /// Applies a statement about the warm-up, unless a later one is known; returns whether it applies.
    fn apply_warm_up(&mut self, at: MonotonicTime, left: Duration) -> bool {
        if self.warm_up.is_some_and(|known| at <= known.at) {
            return false;
        }
        let until = at.saturating_add(left);
        self.warm_up = Some(StatedWarmUp { at, until });
        true
    }

    fn rate_limit(&self) -> Option<f64> {
        self.rate.as_ref()?.per_s
    }

    fn rejection_limit(&self) -> Option<f64> {
        self.rejections.as_ref()?.per_s
    }

    /// Whether any of the notices still applies.
    fn is_in_effect(&self, now: MonotonicTime) -> bool {
        let mut back_offs = self.back_offs.values();
        self.rate_limit().is_some()
            || self.rejection_limit().is_some()
            || self.leaving_at.is_some()
            || self.warm_up.is_some_and(|warm_up| warm_up.until > now)
            || back_offs.any(|back_off| back_off.until() > now)
    }

    fn latest_at(&self) -> MonotonicTime {
        let rate_at = self.rate.as_ref().map(|rate| rate.at);
        let back_off_at = self.back_offs.values().map(|back_off| back_off.at).max();
        let warm_up_at = self.warm_up.map(|warm_up| warm_up.at);
        let rejections_at = self.rejections.as_ref().map(|rejections| rejections.at);
        let latest = rate_at
            .max(rejections_at)
            .max(self.leaving_at)
            .max(back_off_at)
            .max(warm_up_at);
        latest.unwrap_or_default()
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
                .per_s
                .map_or(NoticeKind::RateUnlimited, |requests_per_s| {
                    NoticeKind::RateLimited { requests_per_s }
                });
            notice(kind, rate.at)
        });
        let rejections = self.rejections.as_ref().map(|rejections| {
            let kind = rejections
                .per_s
                .map_or(NoticeKind::RejectionsUnlimited, |rejections_per_s| {
                    NoticeKind::RejectionsLimited { rejections_per_s }
                });
            notice(kind, rejections.at)
        });
        let leaving = self.leaving_at.map(|at| notice(NoticeKind::Leaving, at));
        let back_offs = self
            .back_offs
            .iter()
            .filter(|(_, back_off)| back_off.until() > now);
        let back_offs = back_offs.map(|(node, back_off)| {
            let (node, duration) = (*node, back_off.duration);
            notice(NoticeKind::BackOff { node, duration }, back_off.at)
        });
        let warm_up = self.warm_up.filter(|warm_up| warm_up.until > now);
        let warm_up = warm_up.map(|warm_up| {
            let left = warm_up.until.saturating_sub(warm_up.at);
            notice(NoticeKind::WarmingUp { left }, warm_up.at)
        });
        let stated = rate.into_iter().chain(rejections);
        let stated = stated.chain(leaving).chain(warm_up);
        stated.chain(back_offs).collect()
    }
}
