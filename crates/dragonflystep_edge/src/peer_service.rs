//! Handles the connections and calls of other nodes.

use {
    crate::{
        exchange::exchange_with, list_fetch::fetch_unless_pushed, node::Node,
        owner::cancelled_report, tunnels::serve_tunnel,
    },
    dragonflystep_dispatch::{
        ActiveRun, CrashEvidence, Event, NodeName, RunId, RunReport, ServiceName, SlotDecision,
        SlotRequest, StreamVersion, UpstreamLoad, UpstreamNotice, UsageReport,
    },
    dragonflystep_peer::{
        Digest, ListPiece, ListPieceRequest, NetworkListener, PeerHandler, RequestedTunnel,
        SlotDecisionFuture, TunnelFuture, TunnelTarget, serve_peer,
    },
    std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::sleep},
};

/// Pause after accepting a connection failed, for example because no file descriptor was free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts connections of other nodes for as long as the node runs.
pub(crate) async fn serve_peers(node: Rc<Node>, mut listener: Box<dyn NetworkListener>) {
    loop {
        let stream = match listener.accept().await {
            Ok(stream) => stream,
            Err(error) => {
                log::warn!(error:%; "accepting a connection of another node failed");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let session = Rc::new(PeerSession {
            node: node.clone(),
            peer: RefCell::default(),
            runs: Rc::default(),
        });
        spawn_local(serve_peer(stream, session));
    }
}

/// A connection of another node, with the runs to which slots were granted on it.
struct PeerSession {
    node: Rc<Node>,
    /// The calling node; `None` until it has sent its name.
    peer: RefCell<Option<NodeName>>,
    runs: Rc<RefCell<HashMap<RunId, ServiceName>>>,
}

impl PeerSession {
    fn note_peer(&self, peer: &NodeName) {
        if self.peer.borrow().is_none() {
            self.peer.replace(Some(peer.clone()));
        }
    }

    /// Records a slot request as a contact: like a gossip exchange, it shows that the other node is running.
    fn note_slot_request(&self) {
        let (node, peer) = (&self.node, self.peer.borrow());
        if let Some(peer) = &*peer {
            node.members.record_contact(node.owner.now(), peer);
        }
        if !node.owner.has_majority_contact() {
            node.update_recent_contacts();
        }
    }
}

impl PeerHandler for PeerSession {
    fn request_slot(&self, request: SlotRequest) -> SlotDecisionFuture {
        self.note_slot_request();
        let (run, service) = (request.run, request.service.clone());
        let runs = self.runs.clone();
        let decision = self.node.owner.clone().request_slot(request);
        Box::pin(async move {
            let decision = decision.await;
            if matches!(decision, SlotDecision::Granted(_)) {
                runs.borrow_mut().insert(run, service);
            }
            decision
        })
    }

    fn report_run_end(&self, ended: RunReport) {
        self.runs.borrow_mut().remove(&ended.run);
        self.node.owner.report_run_end(ended);
    }

    fn adopt_runs(&self, runs: Vec<ActiveRun>) {
        for run in runs {
            let service = run.request.service.clone();
            self.runs.borrow_mut().insert(run.request.run, service);
            self.node.owner.adopt_run(run);
        }
    }

    fn report_usage(&self, report: UsageReport) {
        self.note_peer(&report.node);
        self.node.owner.apply(Event::UsageReported(report));
    }

    fn report_load(&self, load: UpstreamLoad) {
        self.node.owner.apply(Event::LoadObserved(load));
    }

    fn share_notices(&self, notices: Vec<UpstreamNotice>) {
        let peer = self.peer.borrow().clone().unwrap_or_default();
        self.node.apply_notices(notices, &peer);
    }

    fn report_crashes(&self, evidence: CrashEvidence) {
        self.node.apply_evidence(evidence);
    }

    fn report_streams(&self, streams: Vec<StreamVersion>) {
        self.node.owner.apply(Event::StreamsReported(streams));
    }

    fn fetch_list_piece(&self, request: ListPieceRequest) -> ListPiece {
        self.node.list_piece(request)
    }

    fn exchange(&self, digest: Digest) -> Digest {
        self.note_peer(&digest.node);
        self.node.handle_exchange_call(&digest);
        // The caller pushes few changes itself once it has the answer.
        spawn_local(fetch_unless_pushed(self.node.clone(), digest.clone()));
        if self.node.members.has_failed(&digest.node) {
            // The caller is running. Whether it can be reached is tried at once, so that both nodes become visible
            // to each other.
            spawn_local(exchange_with(self.node.clone(), digest.node.clone()));
        }
        let unavailable = self.node.members.all_unavailable(self.node.owner.now());
        self.node.digest_for(&digest, unavailable)
    }

    fn serve_tunnel(&self, target: TunnelTarget, tunnel: RequestedTunnel) -> TunnelFuture {
        Box::pin(serve_tunnel(self.node.clone(), target, tunnel))
    }
}

impl Drop for PeerSession {
    fn drop(&mut self) {
        // The node stopped or the connection was lost. A node that is still running reports its runs again.
        for (run, service) in self.runs.borrow_mut().drain() {
            self.node
                .owner
                .report_run_end(cancelled_report(service, run));
        }
    }
}
