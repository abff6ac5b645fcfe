//! Chooses the voters of a group, with a special rule for a node that knows of no other node.
//!
//! A holder that is the only voter of its lease can extend the lease by itself, and no other node can take the
//! group over before the longest extension has passed. A system of a single node needs this to keep running
//! through an outage of the platform. It is harmful while a system starts: the first node would hold groups in
//! this way before it has seen the others, and if it died then, its groups would be unavailable for minutes. So
//! a group has no voters until its holder has been alone for a while: the lease then can't be extended, and a
//! takeover needs no votes.

use {
    super::{
        Leases,
        placement::{choose_voters, live_nodes},
    },
    crate::{
        context::Context,
        ids::{GroupId, NodeId},
    },
    std::time::Duration,
};

/// How long a node must have known of no other before it may be the only voter. Nodes that start together have
/// discovered each other by then.
const ALONE_AFTER: Duration = Duration::from_secs(10);

impl Leases {
    /// Updates since when this node has known of no other live node.
    pub(super) fn update_alone_since(&mut self, context: &Context<'_>) {
        let own = &context.view.node.id;
        let is_alone =
            self.has_seen_members && live_nodes(context.view).iter().all(|node| node == own);
        self.alone_since = match is_alone {
            true => self.alone_since.or(Some(context.now)),
            false => None,
        };
    }

    /// Voters of a lease held by `holder`. Empty if the holder would be the only voter and may not vote alone
    /// yet.
    pub(super) fn voters_for(
        &self,
        context: &Context<'_>,
        group: &GroupId,
        holder: &NodeId,
    ) -> Vec<NodeId> {
        let voters = choose_voters(context.view, group, holder);
        let is_lone = voters.iter().all(|voter| voter == holder);
        if is_lone && !self.may_vote_alone(context, holder) {
            return Vec::new();
        }
        voters
    }

    fn may_vote_alone(&self, context: &Context<'_>, holder: &NodeId) -> bool {
        let is_settled = self
            .alone_since
            .is_some_and(|since| context.now.saturating_sub(since) >= ALONE_AFTER);
        is_settled && *holder == context.view.node.id
    }
}
