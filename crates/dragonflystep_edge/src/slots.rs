//! The entry node's handling of slots. The entry node is the node that received the caller's request. It finds the
//! owner of the services, requests a slot from it, and reports to it how the run ended.

use {
    crate::{
        dialect::AnswerFacts,
        entry_runs::EntryRun,
        limits::{MAX_OWNERS_ASKED, OWNER_PROBE_DELAY, OWNER_PROBE_TIMEOUT},
        node::Node,
        owner::cancelled_report,
        upstream_notices::ObservedAnswer,
    },
    dragonflystep_dispatch::{
        CrashEvidence, Event, Grant, NodeName, RunCopy, RunId, RunOutcome, RunReport, SlotDecision,
        SlotRequest, UpstreamLoad, UpstreamNotice, UpstreamVersion,
    },
    dragonflystep_peer::{PeerError, PeerLink},
    std::{rc::Rc, time::Duration},
    tokio::{
        task::spawn_local,
        time::{Instant, sleep},
    },
};

/// A slot at an upstream that the owner granted to a request. It is held until the end of the run is reported.
///
/// Dropping it without a call of [`Slot::end`] reports the run as cancelled.
pub struct Slot {
    node: Rc<Node>,
    run: RunId,
    service: dragonflystep_dispatch::ServiceName,
    started: Instant,
    is_ended: bool,
    /// The upstream that the request is to be sent to, and its address.
    pub grant: Grant,
}

/// Event count and timings of one run, as the entry node observed them.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunStats {
    /// Time from the grant of the slot to the first event; none before that, and for plain calls.
    pub time_to_first_event: Option<Duration>,
    /// Events of the stream that have arrived.
    pub events: u32,
    /// Longest pause between two consecutive events.
    pub longest_pause: Duration,
}

impl Slot {
    /// Time since this node was granted the slot.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Applies the notices that the answer to `request_id` carries about the upstream, here and at the owner that
    /// granted the slot. The request was sent `sent_ago` before.
    pub fn observe_notices(&self, request_id: &str, facts: &AnswerFacts, sent_ago: Duration) {
        let notices = self.node.observe_notices(&ObservedAnswer {
            service: &self.service,
            upstream: &self.grant.upstream,
            request_id,
            facts,
            sent_ago,
        });
        self.share_notices(notices);
    }

    /// Sends upstream notices to the owner that granted the slot, if it is another node.
    fn share_notices(&self, notices: Vec<UpstreamNotice>) {
        if notices.is_empty() {
            return;
        }
        let owner = self.owner();
        if let Some(link) = owner.and_then(|owner| self.node.members.link(&owner)) {
            spawn_local(send_notices(link, notices, CrashEvidence::default()));
        }
    }

    /// Whether the upstream accepts requests from this node. By the notices known here, it has not asked the node to
    /// back off and is not leaving, and this node has not read itself that it leaves.
    pub(crate) fn accepts_requests(&self) -> bool {
        let (node, upstream) = (&self.node, &self.grant.upstream);
        let must_back_off = node.owner.is_backed_off(upstream, node.node_incarnation());
        let has_left = node.views.left_upstreams().contains(upstream);
        !must_back_off && !has_left && !node.owner.is_leaving(upstream)
    }

    /// Whether the request may be sent to the upstream's data centre: it is not evacuated, and the request may be
    /// processed there.
    pub(crate) fn permits_data_centre(&self) -> bool {
        let runs = self.node.entry_runs.runs.borrow();
        let allowed = runs
            .get(&self.run)
            .and_then(|run| run.request.allowed_data_centres.as_deref());
        self.node
            .permits_data_centre_of(&self.grant.upstream, allowed)
    }

    /// Drops the copy of the run if its upstream takes no requests or may not hold the request, by what this node knows.
    pub(crate) fn drop_unusable_copy(&mut self) {
        let Some(copy) = &self.grant.copy else {
            return;
        };
        let runs = self.node.entry_runs.runs.borrow();
        let run = runs.get(&self.run);
        let allowed = run.and_then(|run| run.request.allowed_data_centres.as_deref());
        let is_usable = self.node.permits_data_centre_of(&copy.upstream, allowed)
            && !self.node.owner.is_leaving(&copy.upstream);
        let kind = if is_usable { "kept" } else { "dropped" };
        self.node.metrics.count("run_copies_total", kind);
        if !is_usable {
            log::info!(run = self.run, upstream:% = copy.upstream; "the run is not copied: the upstream may not hold it");
            self.grant.copy = None;
        }
    }

    /// Whether the upstream has the software version that the request needs, if it needs one.
    pub(crate) fn has_required_version(&self) -> bool {
        let runs = self.node.entry_runs.runs.borrow();
        let required = runs
            .get(&self.run)
            .and_then(|run| run.request.required_version());
        required.is_none_or(|required| *required == self.version())
    }

    /// The software version of the upstream, as the owner stated it or else by this node's registry; empty if neither
    /// knows it.
    pub(crate) fn version(&self) -> UpstreamVersion {
        if !self.grant.version.is_empty() {
            return self.grant.version.clone();
        }
        let version = self.node.upstream_version(&self.grant.upstream);
        version.unwrap_or_default()
    }

    /// Returns the slot unused and sends the owner the notices by which the upstream accepts no requests.
    pub(crate) fn return_unused(self) {
        self.share_notices(self.node.owner.notices());
        self.end(RunOutcome::Withheld, RunStats::default());
    }

    /// Reports to the owner that requests are queued at the upstream.
    pub(crate) fn report_load(&self, running: u32, waiting: u32) {
        let load = UpstreamLoad {
            service: self.service.clone(),
            upstream: self.grant.upstream.clone(),
            running,
            waiting,
        };
        let Some(owner) = self.owner() else {
            return;
        };
        if owner == self.node.settings.node {
            self.node.owner.apply(Event::LoadObserved(load));
            return;
        }
        let Some(link) = self.node.members.link(&owner) else {
            return;
        };
        spawn_local(async move {
            if let Err(error) = link.report_load(&load).await {
                log::debug!(error:%; "could not report the load of an upstream to its owner");
            }
        });
    }

    /// The owner that counts this run; none once the end of the run is reported.
    fn owner(&self) -> Option<NodeName> {
        let runs = self.node.entry_runs.runs.borrow();
        Some(runs.get(&self.run)?.owner.0.clone())
    }

    /// Whether the request holds content that crashes upstreams, by what this node knows.
    pub(crate) fn holds_crashing_content(&self) -> bool {
        let runs = self.node.entry_runs.runs.borrow();
        let run = runs.get(&self.run);
        run.is_some_and(|run| self.node.owner.holds_crashing_content(&run.request))
    }

    /// Records that the upstream has begun to answer, so that the content of the request is sound.
    pub(crate) fn note_begun(&self) {
        let runs = self.node.entry_runs.runs.borrow();
        if let Some(run) = runs.get(&self.run) {
            self.node.report_begun(run, self.grant.reports_begin);
        }
    }

    /// Reports to the owner how the run ended.
    pub fn end(mut self, outcome: RunOutcome, stats: RunStats) {
        self.report_end(outcome, stats);
    }

    fn report_end(&mut self, outcome: RunOutcome, stats: RunStats) {
        self.is_ended = true;
        let metrics = &self.node.metrics;
        metrics.count("upstream_outcomes_total", outcome.name());
        let runs = &self.node.entry_runs;
        let Some(run) = runs.runs.borrow_mut().remove(&self.run) else {
            return;
        };
        match outcome {
            RunOutcome::Broken => self.node.report_crash(&run, &self.grant, stats.events),
            RunOutcome::Completed => self.node.note_completed(&run),
            _ => {}
        }
        if !outcome.may_have_run() {
            runs.record_usage(self.node.owner.now(), &run, -1.0);
        }
        let report = RunReport {
            run: self.run,
            service: self.service.clone(),
            outcome,
            to_first_event: stats.time_to_first_event,
            to_end: self.elapsed(),
            events: stats.events,
        };
        report_run_end(&self.node, &run.owner.0, report);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.is_ended {
            self.report_end(RunOutcome::Cancelled, RunStats::default());
        }
    }
}

/// Requests a slot from the owner of the service, or from the node of the next rank if the owner does not answer.
///
/// This node decides itself when it is next in rank, or when the permitted number of other nodes did not answer.
///
/// # Errors
/// When the deciding node refuses the request; it has not run.
pub async fn acquire_slot(
    node: &Rc<Node>,
    mut request: SlotRequest,
) -> Result<Slot, dragonflystep_dispatch::Refusal> {
    let started = Instant::now();
    let (objective_left, time_left) = (request.objective_left, request.time_left);
    let ranked = node.ranked_owners(MAX_OWNERS_ASKED + 1);
    node.note_owner(ranked.first());
    let mut owners_asked = 0;
    for owner in ranked {
        if owner == node.settings.node || owners_asked == MAX_OWNERS_ASKED {
            break;
        }
        let Some(link) = node.members.link(&owner) else {
            continue;
        };
        owners_asked += 1;
        request.objective_left = objective_left.saturating_sub(started.elapsed());
        request.time_left = time_left.saturating_sub(started.elapsed());
        match request_from_owner(node, &owner, &link, &request).await {
            Ok(decision) => {
                return accept_decision(node, request, (owner, link.generation()), decision);
            }
            Err(error) => node
                .members
                .record_failure(node.owner.now(), &owner, &error),
        }
    }
    request.objective_left = objective_left.saturating_sub(started.elapsed());
    request.time_left = time_left.saturating_sub(started.elapsed());
    let owner = (node.settings.node.clone(), 0);
    node.update_recent_contacts();
    let now = node.owner.now();
    for run in node.entry_runs.reassign(now, &request.service, &owner) {
        node.owner.adopt_run(run);
    }
    if let Some(report) = node
        .entry_runs
        .usage_report_for(now, &node.settings.node, &owner)
    {
        node.owner.apply(Event::UsageReported(report));
    }
    let decision = node.owner.clone().request_slot(request.clone()).await;
    accept_decision(node, request, owner, decision)
}

/// Records a granted run, with the owner that counts it, and returns its slot.
fn accept_decision(
    node: &Rc<Node>,
    mut request: SlotRequest,
    owner: (NodeName, u64),
    decision: SlotDecision,
) -> Result<Slot, dragonflystep_dispatch::Refusal> {
    let grant = match decision {
        SlotDecision::Granted(grant) => grant,
        SlotDecision::Refused(refusal) => return Err(refusal),
    };
    if let Some(copy) = &grant.copy {
        request.copy = Some(RunCopy::Kept(copy.upstream.clone()));
    }
    let slot = Slot {
        node: node.clone(),
        run: request.run,
        service: request.service.clone(),
        started: Instant::now(),
        is_ended: false,
        grant,
    };
    if let Some(stream) = &request.stream {
        for id in request.stream_ids() {
            node.record_stream(id, slot.version(), stream.caller_time_left);
        }
    }
    let run = EntryRun {
        upstream: slot.grant.upstream.clone(),
        started_at: node.owner.now(),
        owner,
        request,
    };
    let runs = &node.entry_runs;
    runs.record_usage(node.owner.now(), &run, 1.0);
    runs.runs.borrow_mut().insert(slot.run, run);
    Ok(slot)
}

/// Requests a slot from another node. While the decision is pending, the node is probed whenever it has been silent
/// for a while; if it does not answer the probe, the request fails.
async fn request_from_owner(
    node: &Rc<Node>,
    owner: &NodeName,
    link: &Rc<PeerLink>,
    request: &SlotRequest,
) -> Result<SlotDecision, PeerError> {
    link.open().await?;
    hand_over_to(node, owner, link, request).await;
    let mut guard = WithdrawGuard {
        node,
        owner,
        request,
        is_armed: true,
    };
    let mut sent_request = request.clone();
    node.redact_for(owner, &mut sent_request);
    let decision = link.request_slot(&sent_request);
    tokio::pin!(decision);
    loop {
        tokio::select! {
            biased;
            decision = &mut decision => {
                guard.is_armed = false;
                return decision;
            }
            () = sleep(OWNER_PROBE_DELAY) => {}
        }
        if link.silent_for() >= OWNER_PROBE_DELAY {
            let mut digest = node.empty_digest();
            digest.unavailable = node.members.unavailable_for_call(owner);
            if let Err(error) = link.exchange(&digest, OWNER_PROBE_TIMEOUT).await {
                guard.is_armed = false;
                return Err(error);
            }
        }
    }
}

/// Reports this node's active runs and account usage to an owner that has not received them over this connection
/// yet.
///
/// Messages of one connection arrive in order, so the owner counts these before it decides the next slot request.
async fn hand_over_to(
    node: &Rc<Node>,
    owner: &NodeName,
    link: &Rc<PeerLink>,
    request: &SlotRequest,
) {
    let now = node.owner.now();
    let counted_by = (owner.clone(), link.generation());
    let mut moved_runs = node.entry_runs.reassign(now, &request.service, &counted_by);
    for run in &mut moved_runs {
        node.redact_for(owner, &mut run.request);
    }
    let usage_report = node
        .entry_runs
        .usage_report_for(now, &node.settings.node, &counted_by);
    if moved_runs.is_empty() && usage_report.is_none() {
        return;
    }
    if let Some(report) = usage_report {
        // Also while there is one version: the owner may not be able to tell that there is no other.
        node.send_streams(owner, &Rc::new(node.owner.own_streams()));
        let (notices, crashes) = (node.owner.notices(), node.owner.crash_evidence());
        if !notices.is_empty() || !crashes.is_empty() {
            spawn_local(send_notices(link.clone(), notices, crashes));
        }
        let link = link.clone();
        spawn_local(async move {
            if let Err(error) = link.report_usage(&report).await {
                log::debug!(error:%; "could not report account usage to a new owner");
            }
        });
    }
    if !moved_runs.is_empty() {
        let link = link.clone();
        spawn_local(async move {
            if let Err(error) = link.adopt_runs(&moved_runs).await {
                log::debug!(error:%; "could not report active runs to a new owner");
            }
        });
    }
    tokio::task::yield_now().await;
}

/// Sends upstream notices, and what is known of content that crashes upstreams, to an owner.
pub(crate) async fn send_notices(
    link: Rc<PeerLink>,
    notices: Vec<UpstreamNotice>,
    crashes: CrashEvidence,
) {
    if let Err(error) = link.share_notices(&notices, &crashes).await {
        log::debug!(error:%; "could not send notices of upstreams to an owner");
    }
}

/// Withdraws a slot request from another owner if it is dropped before the decision arrives.
struct WithdrawGuard<'a> {
    node: &'a Rc<Node>,
    owner: &'a NodeName,
    request: &'a SlotRequest,
    is_armed: bool,
}

impl Drop for WithdrawGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            let report = cancelled_report(self.request.service.clone(), self.request.run);
            report_run_end(self.node, self.owner, report);
        }
    }
}

/// Reports the end of a run, or of the wait for a slot, to its owner.
fn report_run_end(node: &Rc<Node>, owner: &NodeName, report: RunReport) {
    if *owner == node.settings.node {
        node.owner.report_run_end(report);
        return;
    }
    let Some(link) = node.members.link(owner) else {
        return;
    };
    spawn_local(async move {
        if let Err(error) = link.report_run_end(&report).await {
            // The owner frees the slot when it sees that the connection has ended.
            log::debug!(run = report.run, error:%; "could not report the end of a run to its owner");
        }
    });
}
