//! The entry's side of a place: finding the owner, and telling it how the run ended.

use {
    crate::{
        dialect::AnswerFacts,
        entry_runs::EntryRun,
        limits::{MOST_OWNERS_ASKED, OWNER_SIGN_TIMEOUT, OWNER_SILENCE},
        node::Node,
        owner::cancelled,
        upstream_notices::ObservedAnswer,
    },
    dragonflystep_dispatch::{
        Event, Grant, NodeName, RunId, RunOutcome, RunReport, SlotDecision, SlotRequest,
        UpstreamLoad, UpstreamNotice,
    },
    dragonflystep_peer::{PeerError, PeerLink},
    std::{rc::Rc, time::Duration},
    tokio::{
        task::spawn_local,
        time::{Instant, sleep},
    },
};

/// A place at an upstream that was given to a request, until its run's end is reported.
///
/// Dropped before, it tells the owner that the run was cancelled.
pub struct Place {
    node: Rc<Node>,
    run: RunId,
    service: dragonflystep_dispatch::ServiceName,
    started: Instant,
    is_ended: bool,
    /// Where the request goes.
    pub grant: Grant,
}

/// What a run showed of its upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunFigures {
    /// Time from the place to the first event; none for a plain call.
    pub to_first_event: Option<Duration>,
    /// Events of the stream.
    pub events: u32,
    /// Longest pause between two of them.
    pub longest_pause: Duration,
}

impl Place {
    /// Time since the place was given.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Applies what an answer to `request_id` says of the upstream, also at the owner that gave the place.
    pub fn observe_notices(&self, request_id: &str, facts: &AnswerFacts, sent_ago: Duration) {
        let notices = self.node.observe_notices(&ObservedAnswer {
            service: &self.service,
            upstream: &self.grant.upstream,
            request_id,
            facts,
            sent_ago,
        });
        self.tell_owner(notices);
    }

    /// Tells another owner that gave the place what upstreams said of themselves.
    fn tell_owner(&self, notices: Vec<UpstreamNotice>) {
        if notices.is_empty() {
            return;
        }
        let owner = self.owner();
        if let Some(link) = owner.and_then(|owner| self.node.members.link(&owner)) {
            spawn_local(tell_notices(link, notices));
        }
    }

    /// Whether the upstream takes requests of this node, by what it said of itself.
    pub(crate) fn is_wanted(&self) -> bool {
        let (node, upstream) = (&self.node, &self.grant.upstream);
        let is_resting = node
            .owner
            .wants_back_off_from(upstream, node.node_incarnation());
        !is_resting && !node.owner.is_leaving(upstream)
    }

    /// Gives the place back unused, and tells the owner why.
    pub(crate) fn withhold(self) {
        self.tell_owner(self.node.owner.notices());
        self.end(RunOutcome::Withheld, RunFigures::default());
    }

    /// Tells the owner that requests wait at the upstream.
    pub(crate) fn tell_load(&self, running: u32, waiting: u32) {
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
                log::debug!(error:%; "an owner was not told of a load");
            }
        });
    }

    /// The owner that counts this run.
    fn owner(&self) -> Option<NodeName> {
        let runs = self.node.entry_runs.runs.borrow();
        Some(runs.get(&self.run)?.owner.0.clone())
    }

    /// Tells the owner how the run ended.
    pub fn end(mut self, outcome: RunOutcome, figures: RunFigures) {
        self.tell(outcome, figures);
    }

    fn tell(&mut self, outcome: RunOutcome, figures: RunFigures) {
        self.is_ended = true;
        let metrics = &self.node.metrics;
        metrics.count("upstream_outcomes_total", outcome.name());
        let runs = &self.node.entry_runs;
        let Some(run) = runs.runs.borrow_mut().remove(&self.run) else {
            return;
        };
        if !outcome.has_run() {
            runs.note_spent(self.node.owner.now(), &run, -1.0);
        }
        let ended = RunReport {
            run: self.run,
            service: self.service.clone(),
            outcome,
            to_first_event: figures.to_first_event,
            to_end: self.elapsed(),
            events: figures.events,
        };
        tell_ended(&self.node, &run.owner.0, ended);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.is_ended {
            self.tell(RunOutcome::Cancelled, RunFigures::default());
        }
    }
}

/// Asks the owner of the service for a place, or the next one by rank if it does not answer.
///
/// # Errors
/// When the owner refuses the request; it has not run.
pub async fn obtain(
    node: &Rc<Node>,
    mut request: SlotRequest,
) -> Result<Place, dragonflystep_dispatch::Refusal> {
    let started = Instant::now();
    let (objective_left, time_left) = (request.objective_left, request.time_left);
    let ranked = node.ranked_owners(MOST_OWNERS_ASKED + 1);
    node.note_owner(ranked.first());
    let mut asked = 0;
    for owner in ranked {
        if owner == node.settings.node || asked == MOST_OWNERS_ASKED {
            break;
        }
        let Some(link) = node.members.link(&owner) else {
            continue;
        };
        asked += 1;
        request.objective_left = objective_left.saturating_sub(started.elapsed());
        request.time_left = time_left.saturating_sub(started.elapsed());
        match ask_owner(node, &owner, &link, &request).await {
            Ok(decision) => return place(node, request, (owner, link.generation()), decision),
            Err(error) => node.members.failed(node.owner.now(), &owner, &error),
        }
    }
    request.objective_left = objective_left.saturating_sub(started.elapsed());
    request.time_left = time_left.saturating_sub(started.elapsed());
    let owner = (node.settings.node.clone(), 0);
    node.update_heard();
    let now = node.owner.now();
    for run in node.entry_runs.move_to(now, &request.service, &owner) {
        node.owner.adopt(run);
    }
    if let Some(report) = node
        .entry_runs
        .spending_for(now, &node.settings.node, &owner)
    {
        node.owner.apply(Event::UsageReported(report));
    }
    let decision = node.owner.clone().ask(request.clone()).await;
    place(node, request, owner, decision)
}

fn place(
    node: &Rc<Node>,
    request: SlotRequest,
    owner: (NodeName, u64),
    decision: SlotDecision,
) -> Result<Place, dragonflystep_dispatch::Refusal> {
    let grant = match decision {
        SlotDecision::Granted(grant) => grant,
        SlotDecision::Refused(refusal) => return Err(refusal),
    };
    let place = Place {
        node: node.clone(),
        run: request.run,
        service: request.service.clone(),
        started: Instant::now(),
        is_ended: false,
        grant,
    };
    let run = EntryRun {
        upstream: place.grant.upstream.clone(),
        started_at: node.owner.now(),
        owner,
        request,
    };
    let runs = &node.entry_runs;
    runs.note_spent(node.owner.now(), &run, 1.0);
    runs.runs.borrow_mut().insert(place.run, run);
    Ok(place)
}

/// Asks another node, and looks for a sign of life as long as it keeps the request waiting.
async fn ask_owner(
    node: &Rc<Node>,
    owner: &NodeName,
    link: &Rc<PeerLink>,
    request: &SlotRequest,
) -> Result<SlotDecision, PeerError> {
    link.open().await?;
    tell_new_owner(node, owner, link, request).await;
    let mut guard = WithdrawGuard {
        node,
        owner,
        request,
        is_armed: true,
    };
    let decision = link.request_slot(request);
    tokio::pin!(decision);
    loop {
        tokio::select! {
            biased;
            decision = &mut decision => {
                guard.is_armed = false;
                return decision;
            }
            () = sleep(OWNER_SILENCE) => {}
        }
        if link.silent_for() >= OWNER_SILENCE {
            let digest = node.empty_digest();
            if let Err(error) = link.exchange(&digest, OWNER_SIGN_TIMEOUT).await {
                guard.is_armed = false;
                return Err(error);
            }
        }
    }
}

/// Reports this entry's runs and what accounts spent through it to an owner, unless it was done.
///
/// Messages of one connection arrive in order, so that the owner counts these before the next request.
async fn tell_new_owner(
    node: &Rc<Node>,
    owner: &NodeName,
    link: &Rc<PeerLink>,
    request: &SlotRequest,
) {
    let now = node.owner.now();
    let counted_by = (owner.clone(), link.generation());
    let moved = node.entry_runs.move_to(now, &request.service, &counted_by);
    let spending = node
        .entry_runs
        .spending_for(now, &node.settings.node, &counted_by);
    if moved.is_empty() && spending.is_none() {
        return;
    }
    if let Some(report) = spending {
        let notices = node.owner.notices();
        if !notices.is_empty() {
            spawn_local(tell_notices(link.clone(), notices));
        }
        let link = link.clone();
        spawn_local(async move {
            if let Err(error) = link.report_usage(&report).await {
                log::debug!(error:%; "a new owner was not told of what accounts spent");
            }
        });
    }
    if !moved.is_empty() {
        let link = link.clone();
        spawn_local(async move {
            if let Err(error) = link.adopt_runs(&moved).await {
                log::debug!(error:%; "a new owner was not told of runs");
            }
        });
    }
    tokio::task::yield_now().await;
}

/// Tells an owner what upstreams said of themselves.
async fn tell_notices(link: Rc<PeerLink>, notices: Vec<UpstreamNotice>) {
    if let Err(error) = link.share_notices(&notices).await {
        log::debug!(error:%; "an owner was not told what upstreams said of themselves");
    }
}

/// Withdraws a request from another owner when its asker is gone.
struct WithdrawGuard<'a> {
    node: &'a Rc<Node>,
    owner: &'a NodeName,
    request: &'a SlotRequest,
    is_armed: bool,
}

impl Drop for WithdrawGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            let ended = cancelled(self.request.service.clone(), self.request.run);
            tell_ended(self.node, self.owner, ended);
        }
    }
}

fn tell_ended(node: &Rc<Node>, owner: &NodeName, ended: RunReport) {
    if *owner == node.settings.node {
        node.owner.ended(ended);
        return;
    }
    let Some(link) = node.members.link(owner) else {
        return;
    };
    spawn_local(async move {
        if let Err(error) = link.report_run_end(&ended).await {
            // The owner frees the place when it sees the connection's end.
            log::debug!(run = ended.run, error:%; "an owner was not told of a run's end");
        }
    });
}
