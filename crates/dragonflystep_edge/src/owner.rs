//! The owner's side of a node: the dispatcher, those who wait for its verdicts, and its clock.

use {
    crate::{
        limits::{BELIEF_LOG_INTERVAL, BUSY_TICK, IDLE_TICK},
        rollouts::Rollouts,
    },
    dragonflystep_dispatch::{
        ActiveRun, Dispatcher, Effect, Event, Grant, MonotonicTime, NodeIncarnation, PoolSummary,
        RefusalReason, RunId, RunOutcome, RunReport, ServiceName, SharedLimits, SlotDecision,
        SlotRequest, UpstreamId, UpstreamNotice, Visibility,
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

/// The owner's side of a node.
pub(crate) struct Owner {
    started: Instant,
    dispatcher: RefCell<Dispatcher>,
    waiting: RefCell<HashMap<RunId, oneshot::Sender<SlotDecision>>>,
    visibility: Cell<Visibility>,
    /// The nodes that were heard lately.
    heard: Cell<Visibility>,
    something_waits: Notify,
    rollouts: Rc<Rollouts>,
}

impl Owner {
    pub(crate) fn new(limits: SharedLimits, rollouts: Rc<Rollouts>) -> Self {
        Self {
            started: Instant::now(),
            dispatcher: RefCell::new(Dispatcher::new(limits)),
            waiting: RefCell::default(),
            visibility: Cell::new(Visibility {
                visible: 1,
                known: 1,
            }),
            heard: Cell::new(Visibility {
                visible: 1,
                known: 1,
            }),
            something_waits: Notify::new(),
            rollouts,
        }
    }

    pub(crate) fn now(&self) -> MonotonicTime {
        self.started.elapsed()
    }

    /// Requests that wait for a place here.
    pub(crate) fn waiting_count(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Services that something is known of here.
    pub(crate) fn service_count(&self) -> usize {
        self.dispatcher.borrow().service_count()
    }

    /// Hands an event to the dispatcher and its verdicts to those who wait for them.
    pub(crate) fn apply(&self, event: Event) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        let effects = dispatcher.reduce(self.now(), event);
        let steps = dispatcher.take_rollout_steps();
        drop(dispatcher);
        self.rollouts.push_steps(steps);
        for effect in effects {
            self.deliver(effect);
        }
    }

    pub(crate) fn visibility(&self) -> Visibility {
        self.visibility.get()
    }

    /// Notes how much of the system this node sees; says what it saw before if that changed.
    ///
    /// A line is logged where it comes to see most of the nodes, or no longer does: when a cut between hundreds of nodes
    /// ends, each of them sees another number of them several times a second.
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

    /// Notes how many of the nodes were heard lately.
    pub(crate) fn set_heard(&self, heard: Visibility) {
        if self.heard.replace(heard) != heard {
            self.apply(Event::RecentContactsChanged(heard));
        }
    }

    /// Whether most nodes were heard lately.
    pub(crate) fn hears_majority(&self) -> bool {
        self.heard.get().is_majority()
    }

    /// What upstreams said of themselves and another node has to know.
    pub(crate) fn notices(&self) -> Vec<UpstreamNotice> {
        self.dispatcher.borrow().notices(self.now())
    }

    /// Requests a second that an upstream takes from all nodes together, if it names a limit.
    pub(crate) fn rate_limit(&self, upstream: &UpstreamId) -> Option<f64> {
        self.dispatcher.borrow().rate_limit(upstream)
    }

    /// Whether an upstream said that it leaves.
    pub(crate) fn is_leaving(&self, upstream: &UpstreamId) -> bool {
        self.dispatcher.borrow().is_leaving(upstream)
    }

    /// Whether an upstream wants no requests of a node now.
    pub(crate) fn wants_back_off_from(&self, upstream: &UpstreamId, node: NodeIncarnation) -> bool {
        let dispatcher = self.dispatcher.borrow();
        dispatcher.wants_back_off_from(self.now(), upstream, node)
    }

    /// Asks for a place and waits for the verdict; dropping the future withdraws the request.
    pub(crate) async fn ask(self: Rc<Self>, request: SlotRequest) -> SlotDecision {
        let (sender, receiver) = oneshot::channel();
        let mut guard = AskGuard {
            owner: self.clone(),
            service: request.service.clone(),
            run: request.run,
            is_armed: true,
        };
        self.waiting.borrow_mut().insert(request.run, sender);
        self.apply(Event::SlotRequested(request));
        if self.waiting_count() > 0 {
            self.something_waits.notify_one();
        }
        let decision = receiver.await;
        guard.is_armed = false;
        // The sender lives in the map until a verdict is sent.
        decision.unwrap_or(SlotDecision::Refused(dragonflystep_dispatch::Refusal {
            reason: RefusalReason::NoUpstream,
            retry_after: Duration::from_millis(200),
        }))
    }

    /// Notes the end of a run, or of the wait for a place.
    pub(crate) fn ended(&self, ended: RunReport) {
        if self.waiting.borrow_mut().remove(&ended.run).is_some() {
            self.apply(Event::RequestWithdrawn(ended.service.clone(), ended.run));
        }
        self.apply(Event::RunEnded(ended));
    }

    pub(crate) fn adopt(&self, run: ActiveRun) {
        self.apply(Event::RunAdopted(run));
    }

    /// Lets time pass for the dispatcher for as long as the node runs.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            if self.waiting_count() > 0 {
                sleep(BUSY_TICK).await;
            } else {
                tokio::select! {
                    () = sleep(IDLE_TICK) => {}
                    () = self.something_waits.notified() => continue,
                }
            }
            self.apply(Event::Ticked);
        }
    }

    /// Logs from time to time what the owner believes, for as long as the node runs.
    pub(crate) async fn log_beliefs(self: Rc<Self>) {
        loop {
            sleep(BELIEF_LOG_INTERVAL).await;
            let summaries = self.dispatcher.borrow_mut().summaries(self.now());
            for summary in summaries {
                log::info!(service:% = summary.service, granted = summary.granted, waiting = summary.waiting, upstreams:% = describe(&summary); "owner's beliefs");
            }
        }
    }

    fn deliver(&self, effect: Effect) {
        let Some(sender) = self.waiting.borrow_mut().remove(&effect.run) else {
            return;
        };
        if let Err(SlotDecision::Granted(grant)) = sender.send(effect.decision) {
            // The one who asked is dropped at this moment; its guard frees the place.
            let Grant { upstream, .. } = grant;
            log::debug!(run = effect.run, upstream:%; "a place came too late");
        }
    }
}

/// Takes a request back whose asker is gone.
struct AskGuard {
    owner: Rc<Owner>,
    service: ServiceName,
    run: RunId,
    is_armed: bool,
}

impl Drop for AskGuard {
    fn drop(&mut self) {
        if self.is_armed {
            self.owner.ended(cancelled(self.service.clone(), self.run));
        }
    }
}

/// Upstreams as ID:RUNNING/PREFILL_US/EVENT_MS/FAILURES, those at rest with an exclamation mark, those that limit their rate
/// with the requests a second that this owner may send, as ID~RATE.
fn describe(summary: &PoolSummary) -> String {
    let mut text = String::new();
    for upstream in &summary.upstreams {
        let rests = if upstream.is_usable { "" } else { "!" };
        let limit = upstream
            .limited_per_s
            .map_or(String::new(), |rate| format!("~{rate:.2}"));
        let _ = write!(
            text,
            "{}{rests}{limit}:{}/{:.0}/{:.1}/{:.2} ",
            upstream.id,
            upstream.running,
            upstream.prefill_us_per_token,
            upstream.ms_per_event,
            upstream.failure_rate
        );
    }
    text
}

/// The end of a run that says nothing about its upstream.
pub(crate) fn cancelled(service: ServiceName, run: RunId) -> RunReport {
    RunReport {
        run,
        service,
        outcome: RunOutcome::Cancelled,
        to_first_event: None,
        to_end: Duration::ZERO,
        events: 0,
    }
}
