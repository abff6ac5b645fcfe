//! What upstreams say of themselves in their answers, and from when it is.
//!
//! The load it answers: an upstream in trouble names the rate that it takes from all nodes together. Any node may be the first
//! to hear it, and any may own the services next, so each keeps what was said with its time: the later statement holds, in
//! whatever order they arrive.

use {
    crate::{
        ids::{MonotonicTime, ServiceName, UpstreamId},
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
    /// Time since it was said; where that is not known, time since it can't have been said yet.
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
}

/// What upstreams said of themselves, by upstream.
#[derive(Debug, Default)]
pub(crate) struct UpstreamNotices {
    upstreams: HashMap<UpstreamId, Statements>,
}

#[derive(Debug)]
struct Statements {
    service: ServiceName,
    requests_per_s: Option<f64>,
    stated_at: MonotonicTime,
}

impl UpstreamNotices {
    /// Applies a notice, unless a later one is known; says whether another limit holds now.
    pub(crate) fn apply(&mut self, now: MonotonicTime, notice: &UpstreamNotice) -> bool {
        let stated_at = now.saturating_sub(notice.age);
        let requests_per_s = match notice.kind {
            NoticeKind::RateLimited { requests_per_s } => Some(requests_per_s),
            NoticeKind::RateUnlimited => None,
        };
        let Some(known) = self.upstreams.get_mut(&notice.upstream) else {
            let statements = Statements {
                service: notice.service.clone(),
                requests_per_s,
                stated_at,
            };
            self.upstreams.insert(notice.upstream.clone(), statements);
            return requests_per_s.is_some();
        };
        if stated_at < known.stated_at {
            return false;
        }
        known.stated_at = stated_at;
        let before = std::mem::replace(&mut known.requests_per_s, requests_per_s);
        before != requests_per_s
    }

    /// Requests a second that an upstream takes, if it named a limit.
    pub(crate) fn rate_limit(&self, upstream: &UpstreamId) -> Option<f64> {
        self.upstreams.get(upstream)?.requests_per_s
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
            let holds = known.requests_per_s.is_some() && is_listed(upstream);
            holds || now.saturating_sub(known.stated_at) < NOTICE_MEMORY
        });
    }

    /// What another node has to know, the latest first.
    pub(crate) fn to_share(&self, now: MonotonicTime) -> Vec<UpstreamNotice> {
        let mut notices: Vec<_> = self
            .upstreams
            .iter()
            .map(|(upstream, known)| known.notice(now, upstream))
            .collect();
        notices.sort_by_key(|notice| notice.age);
        notices.truncate(MAX_NOTICES_SHARED);
        notices
    }
}

impl Statements {
    fn notice(&self, now: MonotonicTime, upstream: &UpstreamId) -> UpstreamNotice {
        let kind = self
            .requests_per_s
            .map_or(NoticeKind::RateUnlimited, |requests_per_s| {
                NoticeKind::RateLimited { requests_per_s }
            });
        UpstreamNotice {
            service: self.service.clone(),
            upstream: upstream.clone(),
            kind,
            age: now.saturating_sub(self.stated_at),
        }
    }
}
