//! Votes on leases: the promises and agreements that this node has made as a voter.
//!
//! Votes are soft state. A voter that restarts has lost its promises, so it refuses takeovers until every
//! promise that it may have made has expired. It has also lost its agreements to takeovers, so it supports a
//! holder only after it has seen the holder's row change: see `cleared_from` of
//! [`WatchedNode`]. The safety argument is in the documentation of [`super`].

use {
    super::{rows::GroupRow, timing::drift_margin, watch::WatchedNode},
    crate::{
        ids::{Epoch, GroupId, NodeId},
        message::SupportRequest,
        state::Tuning,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// A promise to support the holder of an epoch until a time on this node's clock.
#[derive(Clone, Debug)]
struct Promise {
    epoch: Epoch,
    until: Duration,
}

/// A takeover that this node agreed to.
#[derive(Clone, Debug)]
struct Agreement {
    epoch: Epoch,
    agreed_at: Duration,
}

/// A lease as the voter has last read it from the table.
#[derive(Clone, Copy, Debug)]
pub struct SeenLease<'a> {
    /// Row of the leased group.
    pub row: &'a GroupRow,
    /// Row of the node that holds the lease.
    pub node: &'a WatchedNode,
}

impl SeenLease<'_> {
    fn is_held_by(&self, node: &NodeId, epoch: Epoch) -> bool {
        let content = &self.node.content;
        self.row.holder == *node
            && self.row.epoch == epoch
            && self.row.incarnation == content.incarnation
            && !content.fenced
    }
}

/// Promises and agreements that this node has made as a voter.
#[derive(Debug, Default)]
pub struct Votes {
    started_at: Duration,
    promises: BTreeMap<GroupId, Promise>,
    agreements: BTreeMap<GroupId, Agreement>,
}

impl Votes {
    /// Records the start time of this process. Promises made before it are lost.
    pub fn started(&mut self, now: Duration) {
        self.started_at = now;
    }

    /// Decides on the request of a holder for support or of a candidate for a takeover; returns whether it is
    /// granted.
    pub fn answer(
        &mut self,
        now: Duration,
        tuning: &Tuning,
        lease: Option<SeenLease<'_>>,
        from: &NodeId,
        request: &SupportRequest,
    ) -> bool {
        if request.takeover {
            return self.agree(now, tuning, request);
        }
        let Some(lease) = lease.filter(|lease| lease.is_held_by(from, request.epoch)) else {
            return false;
        };
        self.promise(now, tuning, lease.node, request)
    }

    fn promise(
        &mut self,
        now: Duration,
        tuning: &Tuning,
        holder: &WatchedNode,
        request: &SupportRequest,
    ) -> bool {
        // A restarted voter refuses takeovers for only `lease_duration` and a margin, so no promise may last
        // longer.
        if request.lasts > tuning.lease_duration {
            return false;
        }
        let Some(cleared_from) = holder.cleared_from else {
            return false;
        };
        if let Some(agreement) = self.agreements.get(&request.group) {
            let is_void = agreement.epoch < request.epoch
                || agreement.epoch == request.epoch && agreement.agreed_at < cleared_from;
            if !is_void {
                return false;
            }
        }
        let until = now + request.lasts;
        match self.promises.get_mut(&request.group) {
            Some(known) if known.epoch > request.epoch => return false,
            Some(known) if known.epoch == request.epoch => known.until = known.until.max(until),
            _ => {
                let promise = Promise {
                    epoch: request.epoch,
                    until,
                };
                self.promises.insert(request.group.clone(), promise);
            }
        }
        true
    }

    fn agree(&mut self, now: Duration, tuning: &Tuning, request: &SupportRequest) -> bool {
        let lease_duration = tuning.lease_duration;
        let promises_expired_at =
            self.started_at + lease_duration + drift_margin(tuning, lease_duration);
        if now < promises_expired_at {
            return false;
        }
        let is_promised = self
            .promises
            .get(&request.group)
            .is_some_and(|promise| promise.epoch >= request.epoch && now < promise.until);
        if is_promised {
            return false;
        }
        let agreement = Agreement {
            epoch: request.epoch,
            agreed_at: now,
        };
        match self.agreements.get(&request.group) {
            Some(known) if known.epoch > request.epoch => return false,
            _ => self.agreements.insert(request.group.clone(), agreement),
        };
        true
    }
}
