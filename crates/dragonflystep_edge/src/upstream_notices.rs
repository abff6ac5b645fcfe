//! Reads the notices in the heads of upstreams' answers (rate limit, rejection limit, leaving, back-off, warm-up) and passes them to the
//! dispatcher and to other nodes.
//!
//! Each node keeps both the notices that it read and those that other nodes sent, since any node may become the
//! owner of the services.

use {
    crate::{
        dialect::{AnswerFacts, Stated},
        node::Node,
    },
    dragonflystep_dispatch::{Event, NoticeKind, ServiceName, UpstreamId, UpstreamNotice},
    std::time::Duration,
};

/// Source, in the log, of notices that this node read from an answer.
const OWN_ANSWER: &str = "answer";

/// Source, in the log, of notices that the registry holds.
const REGISTRY: &str = "registry";

/// The head of an upstream's answer, with the request that it belongs to.
pub(crate) struct ObservedAnswer<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) upstream: &'a UpstreamId,
    /// Id of the answered request; empty for a health check by this node.
    pub(crate) request_id: &'a str,
    pub(crate) facts: &'a AnswerFacts,
    /// Time since the request was sent.
    pub(crate) sent_ago: Duration,
}

impl Node {
    /// Applies the notices in an answer and returns them, so that they can be sent to the owner of the service.
    pub(crate) fn observe_notices(&self, answer: &ObservedAnswer<'_>) -> Vec<UpstreamNotice> {
        let notices: Vec<_> = self.read_notices(answer).collect();
        for notice in &notices {
            self.apply_notice(notice, OWN_ANSWER, answer.request_id);
        }
        notices
    }

    /// Applies notices that another node received from upstreams.
    pub(crate) fn apply_notices(&self, notices: Vec<UpstreamNotice>, source: &str) {
        for notice in notices {
            self.apply_notice(&notice, source, "");
        }
    }

    fn read_notices(&self, answer: &ObservedAnswer<'_>) -> impl Iterator<Item = UpstreamNotice> {
        let statements = [
            self.read_rate_limit(answer),
            self.read_rejection_limit(answer),
            self.read_leaving(answer),
            self.read_back_off(answer),
            self.read_warm_up(answer),
        ];
        statements
            .into_iter()
            .flatten()
            .map(|(kind, age)| UpstreamNotice {
                service: answer.service.clone(),
                upstream: answer.upstream.clone(),
                kind,
                age,
            })
    }

    fn read_rate_limit(&self, answer: &ObservedAnswer<'_>) -> Option<(NoticeKind, Duration)> {
        match &answer.facts.rate_limit_per_s {
            Stated::Value(requests_per_s) => {
                self.metrics.count("upstream_notices_total", "rate_limit");
                let requests_per_s = *requests_per_s;
                Some((NoticeKind::RateLimited { requests_per_s }, Duration::ZERO))
            }
            Stated::Unreadable(text) => {
                self.note_unreadable(answer, "rate limit", text);
                None
            }
            Stated::Absent => {
                self.owner.rate_limit(answer.upstream)?;
                ends_limits(answer.facts).then_some((NoticeKind::RateUnlimited, answer.sent_ago))
            }
        }
    }

    fn read_rejection_limit(&self, answer: &ObservedAnswer<'_>) -> Option<(NoticeKind, Duration)> {
        match &answer.facts.rejection_limit_per_s {
            Stated::Value(rejections_per_s) => {
                self.metrics
                    .count("upstream_notices_total", "rejection_limit");
                let rejections_per_s = *rejections_per_s;
                let kind = NoticeKind::RejectionsLimited { rejections_per_s };
                Some((kind, Duration::ZERO))
            }
            Stated::Unreadable(text) => {
                self.note_unreadable(answer, "rejection limit", text);
                None
            }
            Stated::Absent => {
                self.owner.rejection_limit(answer.upstream)?;
                let kind = NoticeKind::RejectionsUnlimited;
                ends_limits(answer.facts).then_some((kind, answer.sent_ago))
            }
        }
    }

    fn note_unreadable(&self, answer: &ObservedAnswer<'_>, statement: &'static str, text: &str) {
        log::warn!(request = answer.request_id, upstream:% = answer.upstream, statement, text; "a statement of an upstream is not understood; it is ignored");
        self.metrics.count("upstream_notices_total", "unreadable");
    }

    fn read_leaving(&self, answer: &ObservedAnswer<'_>) -> Option<(NoticeKind, Duration)> {
        match &answer.facts.is_leaving {
            Stated::Value(true) => {
                self.metrics.count("upstream_notices_total", "leaving");
                Some((NoticeKind::Leaving, Duration::ZERO))
            }
            Stated::Unreadable(text) => {
                self.note_unreadable(answer, "leaving", text);
                None
            }
            Stated::Absent | Stated::Value(false) => None,
        }
    }

    fn read_back_off(&self, answer: &ObservedAnswer<'_>) -> Option<(NoticeKind, Duration)> {
        match &answer.facts.back_off {
            Stated::Value(duration) => {
                self.metrics.count("upstream_notices_total", "rest");
                let (node, duration) = (self.node_incarnation(), *duration);
                Some((NoticeKind::BackOff { node, duration }, Duration::ZERO))
            }
            Stated::Unreadable(text) => {
                self.note_unreadable(answer, "rest", text);
                None
            }
            Stated::Absent => None,
        }
    }

    fn read_warm_up(&self, answer: &ObservedAnswer<'_>) -> Option<(NoticeKind, Duration)> {
        match &answer.facts.warm_up_left {
            Stated::Value(left) => {
                self.metrics.count("upstream_notices_total", "warm_up");
                Some((NoticeKind::WarmingUp { left: *left }, Duration::ZERO))
            }
            Stated::Unreadable(text) => {
                self.note_unreadable(answer, "warm-up", text);
                None
            }
            Stated::Absent => None,
        }
    }

    /// Applies what the registry says about the warm-up of an upstream.
    pub fn apply_registered_warm_up(
        &self,
        service: &ServiceName,
        upstream: &UpstreamId,
        left: Duration,
    ) {
        let notice = UpstreamNotice {
            service: service.clone(),
            upstream: upstream.clone(),
            kind: NoticeKind::WarmingUp { left },
            age: Duration::ZERO,
        };
        self.apply_notice(&notice, REGISTRY, "");
    }

    fn apply_notice(&self, notice: &UpstreamNotice, source: &str, request_id: &str) {
        let upstream = &notice.upstream;
        let limit_before = self.owner.rate_limit(upstream);
        let rejection_limit_before = self.owner.rejection_limit(upstream);
        let was_leaving = self.owner.is_leaving(upstream);
        let was_cold = self.owner.is_stated_cold(upstream);
        self.owner.apply(Event::NoticeReceived(notice.clone()));
        if let NoticeKind::BackOff { node, duration } = notice.kind
            && source == OWN_ANSWER
        {
            let back_off_ms = duration.as_millis() as u64;
            log::info!(request = request_id, upstream:%, node_start = node, rest_ms = back_off_ms; "upstream wants rest");
        }
        if !was_leaving && self.owner.is_leaving(upstream) {
            log::info!(request = request_id, upstream:%, source; "upstream leaves");
        }
        if !was_cold && self.owner.is_stated_cold(upstream) {
            log::info!(request = request_id, upstream:%, source; "upstream is cold");
        }
        match self.owner.rejection_limit(upstream) {
            limit if limit == rejection_limit_before => {}
            Some(rejections_per_s) => {
                log::info!(request = request_id, upstream:%, rejections_per_s, source; "upstream limits its rejections");
            }
            None => {
                log::info!(request = request_id, upstream:%, source; "upstream no longer limits its rejections");
            }
        }
        match self.owner.rate_limit(upstream) {
            limit if limit == limit_before => {}
            Some(requests_per_s) => {
                log::info!(request = request_id, upstream:%, requests_per_s, source; "upstream limits its rate");
            }
            None => {
                log::info!(request = request_id, upstream:%, source; "upstream no longer limits its rate");
            }
        }
    }
}

/// Whether an answer that states no limit shows that the upstream has none, with the time since its request was sent as
/// the age of that statement: the upstream may have made the answer at any moment since.
///
/// An answer that is not successful or not signed may lack a limit that the upstream otherwise states.
fn ends_limits(facts: &AnswerFacts) -> bool {
    facts.is_success && facts.is_signed
}
