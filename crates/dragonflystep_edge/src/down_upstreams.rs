//! Asks another node whether it reaches an upstream that refuses connections of this one, and the upstream with the copy of a
//! run, so that its own path is not what fails.
//!
//! An upstream that crashes breaks many streams at once; one answer serves all of them.

use {
    crate::{
        limits::{DOWN_PROOF_TIME, MAX_FORWARDERS_TRIED, TUNNEL_TIMEOUT},
        node::Node,
        upstream_dialer::{Dialed, Forwarder},
    },
    dragonflystep_dispatch::{MonotonicTime, UpstreamId},
    dragonflystep_peer::{TunnelError, TunnelRefusal, open_tunnel},
    std::{cell::RefCell, collections::HashMap, rc::Rc},
    tokio::sync::Mutex,
};

/// When another node confirmed that an upstream can't be reached; the lock is held while one is asked.
type Confirmation = Rc<Mutex<Option<MonotonicTime>>>;

/// What other nodes said of upstreams that refuse connections.
#[derive(Default)]
pub(crate) struct DownUpstreams(RefCell<HashMap<UpstreamId, Confirmation>>);

impl DownUpstreams {
    fn confirmation(&self, now: MonotonicTime, upstream: &UpstreamId) -> Confirmation {
        let mut confirmations = self.0.borrow_mut();
        confirmations.retain(|_, confirmation| {
            let confirmed_at = confirmation.try_lock();
            confirmed_at.map_or(true, |at| is_recent(now, *at))
        });
        confirmations.entry(upstream.clone()).or_default().clone()
    }
}

fn is_recent(now: MonotonicTime, confirmed_at: Option<MonotonicTime>) -> bool {
    confirmed_at.is_some_and(|at| now.saturating_sub(at) <= DOWN_PROOF_TIME)
}

impl Node {
    /// Whether another node does not reach an upstream, while the one at `other_address` answers through it; `is_answered`
    /// sends a call there. False if there is no other node.
    pub(crate) async fn is_down_for_another(
        &self,
        upstream: &UpstreamId,
        address: &str,
        other_address: &str,
        is_answered: impl AsyncFn(Dialed) -> bool,
    ) -> bool {
        let confirmation = self.down_upstreams.confirmation(self.owner.now(), upstream);
        let mut confirmed_at = confirmation.lock().await;
        let now = self.owner.now();
        if is_recent(now, *confirmed_at) {
            return true;
        }
        // One that recently could not open a tunnel is asked too, as it may have failed because of this upstream.
        let forwarders = {
            let mut random = self.random.borrow_mut();
            self.members
                .choose_forwarders(now, MAX_FORWARDERS_TRIED, &mut random, |_| true)
        };
        for forwarder in forwarders {
            match self.open_tunnel_to(&forwarder, address).await {
                Ok(_) => return false,
                Err(TunnelError::Refused(TunnelRefusal::Unreachable | TunnelRefusal::NoPath)) => {}
                Err(error) => {
                    log::info!(forwarder:% = forwarder.node, address, error:%; "another node does not say whether it reaches an upstream");
                    continue;
                }
            }
            match self.open_tunnel_to(&forwarder, other_address).await {
                Ok(dialed) => {
                    if is_answered(dialed).await {
                        *confirmed_at = Some(now);
                        return true;
                    }
                }
                Err(error) => {
                    log::info!(forwarder:% = forwarder.node, address = other_address, error:%; "another node does not reach an upstream with a copy");
                }
            }
        }
        false
    }

    async fn open_tunnel_to(
        &self,
        forwarder: &Forwarder,
        address: &str,
    ) -> Result<Dialed, TunnelError> {
        let (network, name) = (&*self.network, &self.settings.node);
        let opening = open_tunnel(network, &forwarder.address, name, address, TUNNEL_TIMEOUT);
        Ok(Dialed {
            stream: opening.await?,
            forwarder: Some(forwarder.clone()),
            opened_at: self.owner.now(),
        })
    }
}
