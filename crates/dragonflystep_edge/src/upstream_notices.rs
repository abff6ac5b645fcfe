//! What upstreams say of themselves in the heads of their answers.

use {
    crate::{
        dialect::{AnswerFacts, Stated},
        node::Node,
    },
    dragonflystep_dispatch::UpstreamId,
};

/// Logs and counts what an answer says of its upstream.
pub(crate) fn observe_notices(
    node: &Node,
    upstream: &UpstreamId,
    request_id: &str,
    facts: &AnswerFacts,
) {
    match &facts.rate_limit_per_s {
        Stated::Absent => {}
        Stated::Unreadable(text) => {
            log::warn!(request = request_id, upstream:%, text:%; "upstream states a rate limit that is not understood; it is ignored");
            node.metrics.count("upstream_notices_total", "unreadable");
        }
        Stated::Value(requests_per_s) => {
            log::info!(request = request_id, upstream:%, requests_per_s; "upstream limits its rate");
            node.metrics.count("upstream_notices_total", "rate_limit");
        }
    }
}
