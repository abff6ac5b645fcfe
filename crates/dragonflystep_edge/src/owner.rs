//! The owner role of a node: runs the dispatcher, supplies it with events and the time, and delivers its decisions to
//! the slot requests that wait for them.

use {
    crate::{
        kept_streams::Restoration,
        limits::{BUSY_TICK, IDLE_TICK, SUMMARY_LOG_INTERVAL},
        metrics::Metrics,
        rollouts::Rollouts,
    },
    dragonflystep_dispatch::{
        ActiveRun, ContentChange, ContentKey, CrashEvidence, Dispatcher, Effect, Event, Grant,
        MonotonicTime, NodeIncarnation, PoolSummary, RefusalReason, RunId, RunOutcome, RunReport,
        ServiceName, SharedLimits, SlotDecision, SlotRequest, StreamId, StreamVersion, UpstreamId,
        UpstreamNotice, UpstreamVersion, VersionHistory, Visibility, node_incarnation_of,
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        fmt::Write,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::{Notify, oneshot},
        time::{Instant, sleep},
    },
};

/// The owner role of a node: decides slot requests of this node and of others.
pub(crate) struct Owner {
    /// Start of the dispatcher's clock.
    started: Instant,
    dispatcher: RefCell<Dispatcher>,
    /// Slot requests without a decision, by their run.
    pending: RefCell<HashMap<RunId, oneshot::Sender<SlotDecision>>>,
    /// How many of the nodes this one sees.
    visibility: Cell<Visibility>,
    /// How many of the nodes this one has heard from recently.
    recent_contacts: Cell<Visibility>,
    /// Wakes the loop that ticks the dispatcher when a slot request has to wait.
    request_queued: Notify,
    rollouts: Rc<Rollouts>,
    metrics: Rc<Metrics>,
    /// Notified when the content changed that this node refuses as the owner.
    pub(crate) refused_content_changed: Notify,
    /// Notified when slots were granted to streams that other nodes have to know of.
    pub(crate) streams_granted: Notify,
    /// Notified when the platform has to keep streams.
    pub(crate) streams_unkept: Notify,
    /// Notified when the platform keeps a stream at another version than the one at which it was granted last.
    pub(crate) streams_replaced: Notify,
    /// Notified when the software versions of a service changed.
    pub(crate) versions_changed: Notify,
    pub(crate) restoration: Restoration,
    is_registry_fresh: Cell<bool>,
}

impl Owner {
    pub(crate) fn new(limits: SharedLimits, rollouts: Rc<Rollouts>, metrics: Rc<Metrics>) -> Self {
        Self {
            started: Instant::now(),
            dispatcher: RefCell::new(Dispatcher::new(limits)),
            pending: RefCell::default(),
            visibility: Cell::new(Visibility {
                visible: 1,
                known: 1,
                refusing: 0,
            }),
            recent_contacts: Cell::new(Visibility {
                visible: 1,
                known: 1,
                refusing: 0,
            }),
            request_queued: Notify::new(),
            rollouts,
            metrics,
            refused_content_changed: Notify::new(),
            streams_granted: Notify::new(),
            streams_unkept: Notify::new(),
            streams_replaced: Notify::new(),
            versions_changed: Notify::new(),
            restoration: Restoration::default(),
            is_registry_fresh: Cell::new(true),
        }
    }

    /// Time since the node started, which is the dispatcher's clock.
    pub(crate) fn now(&self) -> MonotonicTime {
        self.started.elapsed()
    }

    /// Number of slot requests that wait for a decision of this node.
    pub(crate) fn waiting_count(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Number of services that the dispatcher has state for.
    pub(crate) fn service_count(&self) -> usize {
        self.dispatcher.borrow().service_count()
    }

    /// Applies an event to the dispatcher and delivers the decisions that follow from it.
    pub(crate) fn apply(&self, event: Event) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        let effects = dispatcher.reduce(self.now(), event);
        let rollout_steps = dispatcher.take_rollout_steps();
        let back_offs = dispatcher.take_back_offs();
        let content_changes = dispatcher.take_content_changes();
        let share_changes = dispatcher.take_share_changes();
        let share_refusals = dispatcher.take_share_refusals();
        if dispatcher.has_granted_streams() {
            self.streams_granted.notify_one();
        }
        if dispatcher.has_unstored_streams() {
            self.streams_unkept.notify_one();
        }
        if dispatcher.has_replaced_streams() {
            self.streams_replaced.notify_one();
        }
        if dispatcher.take_versions_changed() {
            self.versions_changed.notify_one();
        }
        drop(dispatcher);
        for back_off in back_offs {
            let node_start = node_incarnation_of(back_off.run);
            log::info!(upstream:% = back_off.upstream, node_start, outcome = back_off.outcome.name(), back_off_ms = back_off.duration.as_millis() as u64; "upstream is backed off");
        }
        for share_class in share_refusals {
            self.metrics
                .count("share_refusals_total", share_class.name());
        }
        for (service, change) in share_changes {
            log::info!(service:%, account = change.account.as_deref().unwrap_or(""), tier = change.tier, is_held_back = change.is_held_back, received_ms = change.received_ms as u64, waiting_ms = change.waiting_ms as u64, owed_ms = change.owed_ms.min(1e12) as u64; "an account's share changed");
        }
        if !content_changes.is_empty() {
            self.refused_content_changed.notify_one();
        }
        for change in content_changes {
            log_content_change(&change);
        }
        self.rollouts.push_steps(rollout_steps);
        for effect in effects {
            self.deliver_decision(effect);
        }
    }

    /// How many of the nodes this one sees.
    pub(crate) fn visibility(&self) -> Visibility {
        self.visibility.get()
    }

    /// Stores how many of the nodes this one sees; returns the former value if it changed.
    ///
    /// Only gaining or losing sight of the majority is logged, not every change: when a network partition between
    /// hundreds of nodes heals, the number changes several times a second at each of them.
    pub(crate) fn set_visibility(&self, visibility: Visibility) -> Option<Visibility> {
        let before = self.visibility.replace(visibility);
        if before == visibility {
            return None;
        }
        if before.is_majority() != visibility.is_majority() {
            log::info!(visible = visibility.visible, known = visibility.known, is_majority = visibility.is_majority(); "majority changed");
        }
        self.apply(Event::VisibilityChanged(visibility));
        Some(before)
    }

    /// Stores how many of the nodes this one has heard from recently.
    pub(crate) fn set_recent_contacts(&self, recent_contacts: Visibility) {
        if self.recent_contacts.replace(recent_contacts) != recent_contacts {
            self.apply(Event::RecentContactsChanged(recent_contacts));
        }
    }

    /// Stores whether this node learns of changes of the registry.
    pub(crate) fn set_registry_fresh(&self, is_fresh: bool) {
        if self.is_registry_fresh.replace(is_fresh) != is_fresh {
            self.apply(Event::RegistryFreshnessChanged(is_fresh));
            if is_fresh && self.needs_version_history() {
                self.restoration.invalidate();
            }
        }
    }

    /// Whether this node does not know which software versions the upstreams had lately.
    fn needs_version_history(&self) -> bool {
        self.dispatcher.borrow().needs_version_history(self.now())
    }

    /// The software versions that the upstreams of each service had lately.
    pub(crate) fn version_history(&self) -> VersionHistory {
        self.dispatcher.borrow().version_history(self.now())
    }

    /// The version at which all streams of a service began that may still be resumed; none if there are several or if this node
    /// can't know of all.
    pub(crate) fn only_version(&self, service: &str) -> Option<UpstreamVersion> {
        let dispatcher = self.dispatcher.borrow();
        dispatcher.only_version(self.now(), service).cloned()
    }

    /// Up to `limit` of the streams that the platform has to keep and does not keep yet.
    pub(crate) fn take_unkept_streams(&self, limit: usize) -> Vec<StreamVersion> {
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.take_unstored_streams(self.now(), limit)
    }

    /// Marks streams that could not be written as not kept.
    pub(crate) fn mark_streams_unkept(&self, streams: impl Iterator<Item = StreamId>) {
        self.dispatcher.borrow_mut().mark_unstored(streams);
        self.streams_unkept.notify_one();
    }

    /// Marks all streams for which this node granted slots as not kept.
    pub(crate) fn mark_all_streams_unkept(&self) {
        self.dispatcher.borrow_mut().mark_granted_unstored();
        self.streams_unkept.notify_one();
    }

    /// Lets a request that resumes a stream wait until it is known at which software version that began, if the platform is
    /// being asked. Logs what is known then.
    async fn find_version(&self, request: &SlotRequest) {
        let Some(stream) = request.resumed_stream() else {
            return;
        };
        let evidence = || {
            let dispatcher = self.dispatcher.borrow();
            dispatcher.evidence_of_version(self.now(), request)
        };
        let mut found = evidence();
        if found.is_none() {
            self.restoration.wait().await;
            found = evidence();
        }
        let (version, evidence) = match &found {
            Some((version, evidence)) => (&**version, evidence.name()),
            None => ("", "none"),
        };
        self.metrics.count("resumed_versions_total", evidence);
        log::info!(run = request.run, service:% = request.service, stream, version, evidence; "the version of a resumed stream");
    }

    /// The software version at which a stream began; none if this node does not know it.
    pub(crate) fn stream_version(&self, stream: StreamId) -> Option<UpstreamVersion> {
        let dispatcher = self.dispatcher.borrow();
        dispatcher.stream_version(self.now(), stream).cloned()
    }

    /// Whether streams of a service that callers may still resume may have begun at several software versions.
    pub(crate) fn has_several_versions(&self, service: &str) -> bool {
        let dispatcher = self.dispatcher.borrow();
        dispatcher.has_several_versions(self.now(), service)
    }

    /// Whether other nodes need copies of what this one knows of streams.
    pub(crate) fn shares_streams(&self) -> bool {
        self.dispatcher.borrow().shares_streams()
    }

    /// The streams for which this node granted slots since the last call.
    pub(crate) fn take_granted_streams(&self) -> Vec<StreamVersion> {
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.take_granted_streams(self.now())
    }

    /// All streams whose software versions this node knows.
    pub(crate) fn streams(&self) -> Vec<StreamVersion> {
        self.dispatcher.borrow().streams(self.now())
    }

    /// The streams among them whose requests this node received from their callers.
    pub(crate) fn own_streams(&self) -> Vec<StreamVersion> {
        self.dispatcher.borrow().own_streams(self.now())
    }

    /// Number of streams whose software versions this node knows.
    pub(crate) fn stream_count(&self) -> usize {
        self.dispatcher.borrow().stream_count()
    }

    /// Whether this node has heard from most of the nodes recently.
    pub(crate) fn has_majority_contact(&self) -> bool {
        self.recent_contacts.get().is_majority()
    }

    /// What other nodes need to know of content that crashes upstreams.
    pub(crate) fn crash_evidence(&self) -> CrashEvidence {
        self.dispatcher.borrow().crash_evidence(self.now())
    }

    /// A number that differs between nodes which know different things of such content.
    pub(crate) fn crash_evidence_version(&self) -> u64 {
        self.dispatcher.borrow().crash_evidence_version()
    }

    /// The crashes of the content that this node refuses as the owner.
    pub(crate) fn refused_content(&self) -> CrashEvidence {
        self.dispatcher.borrow().refused_content(self.now())
    }

    /// Number of contents that this node refuses as the owner, and of crashes that it knows of.
    pub(crate) fn crash_counts(&self) -> (usize, usize) {
        let dispatcher = self.dispatcher.borrow();
        (dispatcher.refused_content_count(), dispatcher.crash_count())
    }

    /// Number of accounts whose requests go behind those of others, counted in each service and tier.
    pub(crate) fn held_back_accounts(&self) -> usize {
        self.dispatcher.borrow().held_back_accounts()
    }

    /// The content of a request that is suspected of a crash.
    pub(crate) fn suspected_content(&self, request: &SlotRequest) -> Vec<ContentKey> {
        self.dispatcher.borrow().suspected_content(request)
    }

    /// Whether a request holds content that crashes upstreams, by crashes of which all nodes have heard.
    pub(crate) fn holds_crashing_content(&self, request: &SlotRequest) -> bool {
        let dispatcher = self.dispatcher.borrow();
        dispatcher.holds_crashing_content(self.now(), request)
    }

    /// Notices by upstreams that other nodes need to know.
    pub(crate) fn notices(&self) -> Vec<UpstreamNotice> {
        self.dispatcher.borrow().notices(self.now())
    }

    /// The rate limit that an upstream stated, in requests per second from all nodes together; none without a limit.
    pub(crate) fn rate_limit(&self, upstream: &UpstreamId) -> Option<f64> {
        self.dispatcher.borrow().rate_limit(upstream)
    }

    /// The rejections per second, of requests of all nodes together, that an upstream stated to bear; none without a
    /// limit.
    pub(crate) fn rejection_limit(&self, upstream: &UpstreamId) -> Option<f64> {
        self.dispatcher.borrow().rejection_limit(upstream)
    }

    /// Whether an upstream has announced that it is leaving.
    pub(crate) fn is_leaving(&self, upstream: &UpstreamId) -> bool {
        self.dispatcher.borrow().is_leaving(upstream)
    }

    /// Whether an upstream stated that it is cold and that time is not over yet.
    pub(crate) fn is_stated_cold(&self, upstream: &UpstreamId) -> bool {
        self.dispatcher
            .borrow()
            .is_stated_cold(self.now(), upstream)
    }

    /// Whether an upstream has asked a node to back off for a time that is not over yet.
    pub(crate) fn is_backed_off(&self, upstream: &UpstreamId, node: NodeIncarnation) -> bool {
        let dispatcher = self.dispatcher.borrow();
        dispatcher.is_backed_off(self.now(), upstream, node)
    }

    /// Requests a slot and waits for the decision; dropping the future withdraws the request.
    pub(crate) async fn request_slot(self: Rc<Self>, request: SlotRequest) -> SlotDecision {
        self.find_version(&request).await;
        let (sender, receiver) = oneshot::channel();
        let mut guard = WithdrawGuard {
            owner: self.clone(),
            service: request.service.clone(),
            run: request.run,
            is_armed: true,
        };
        self.pending.borrow_mut().insert(request.run, sender);
        self.apply(Event::SlotRequested(request));
        if self.waiting_count() > 0 {
            self.request_queued.notify_one();
        }
        let decision = receiver.await;
        guard.is_armed = false;
        // The default never applies in practice: the sender stays in the map until the decision is sent.
        decision.unwrap_or(SlotDecision::Refused(dragonflystep_dispatch::Refusal {
            reason: RefusalReason::NoUpstream,
            retry_after: Duration::from_millis(200),
        }))
    }

    /// Applies the end of a run. If its slot request still waits for a decision, the slot request is withdrawn.
    pub(crate) fn report_run_end(&self, report: RunReport) {
        if self.pending.borrow_mut().remove(&report.run).is_some() {
            self.apply(Event::RequestWithdrawn(report.service.clone(), report.run));
        }
        self.apply(Event::RunEnded(report));
    }

    /// Counts a run that another owner counted before.
    pub(crate) fn adopt_run(&self, run: ActiveRun) {
        self.apply(Event::ActiveRunReported(run));
    }

    /// Applies clock ticks to the dispatcher for as long as the node runs, more often while slot requests wait.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            if self.waiting_count() > 0 {
                sleep(BUSY_TICK).await;
            } else {
                tokio::select! {
                    () = sleep(IDLE_TICK) => {}
                    () = self.request_queued.notified() => continue,
                }
            }
            self.apply(Event::Ticked);
        }
    }

    /// Periodically logs the dispatcher's view of each service and its upstreams, for as long as the node runs.
    pub(crate) async fn log_summaries(self: Rc<Self>) {
        loop {
            sleep(SUMMARY_LOG_INTERVAL).await;
            let summaries = self.dispatcher.borrow_mut().summaries(self.now());
            for summary in summaries {
                log::info!(service:% = summary.service, granted = summary.granted_slots, waiting = summary.waiting, examined = summary.examined, listed = summary.upstream_count, break_probability_per_s = summary.break_probability_per_s, copied_runs = summary.copied_runs, copies = summary.copies, upstreams:% = format_upstreams(&summary); "owner's beliefs");
            }
        }
    }

    fn deliver_decision(&self, effect: Effect) {
        let Some(sender) = self.pending.borrow_mut().remove(&effect.run) else {
            return;
        };
        if let Err(SlotDecision::Granted(grant)) = sender.send(effect.decision) {
            // The requester is being dropped right now; its guard frees the slot.
            let Grant { upstream, .. } = grant;
            log::debug!(run = effect.run, upstream:%; "a slot was granted to a request that is gone");
        }
    }
}

/// Withdraws a slot request if its future is dropped before the decision.
struct WithdrawGuard {
    owner: Rc<Owner>,
    service: ServiceName,
    run: RunId,
    is_armed: bool,
}

impl Drop for WithdrawGuard {
    fn drop(&mut self) {
        if self.is_armed {
            self.owner
                .report_run_end(cancelled_report(self.service.clone(), self.run));
        }
    }
}

/// Formats the upstreams of a service as `ID:RUNNING/PREFILL_US/EVENT_MS/FAILURES`: active runs, prefill time per
/// token in microseconds, time between events in milliseconds, and failure rate. `ID!` marks an upstream that is not
/// usable now; `ID~RATE` is rate limited, and this owner may send it RATE requests per second.
fn format_upstreams(summary: &PoolSummary) -> String {
    let mut text = String::new();
    for upstream in &summary.upstreams {
        let unusable_mark = if upstream.is_usable { "" } else { "!" };
        let rate_limit = upstream
            .rate_limit_per_s
            .map_or(String::new(), |rate| format!("~{rate:.2}"));
        let _ = write!(
            text,
            "{}{unusable_mark}{rate_limit}:{}/{:.0}/{:.1}/{:.2} ",
            upstream.id,
            upstream.running,
            upstream.prefill_us_per_token,
            upstream.ms_per_event,
            upstream.failure_rate
        );
    }
    text
}

fn log_content_change(change: &ContentChange) {
    let keys = change.content.iter().map(|key| format!("{key:016x}"));
    let content = keys.collect::<Vec<_>>().join(",");
    let crashes = change.crashes;
    if change.is_refused {
        log::warn!(content, crashes; "requests with content that crashed upstreams are refused");
    } else {
        log::info!(content, crashes; "requests with content that crashed upstreams are no longer refused");
    }
}

/// The report of a cancelled run. It counts neither for nor against the upstream.
pub(crate) fn cancelled_report(service: ServiceName, run: RunId) -> RunReport {
    RunReport {
        run,
        service,
        outcome: RunOutcome::Cancelled,
        to_first_event: None,
        to_end: Duration::ZERO,
        events: 0,
    }
}
