//! The entry's side of a place: finding the owner, and telling it how the run ended.

use {
    crate::{
        limits::{MOST_OWNERS_ASKED, OWNER_SIGN_TIMEOUT, OWNER_SILENCE},
        node::Node,
        owner::cancelled,
    },
    dragonflystep_dispatch::{
        Ask, Ended, Event, Grant, MonotonicTime, NodeName, RunId, RunOutcome, RunningRun,
        UpstreamLoad, Verdict,
    },
    dragonflystep_peer::{PeerError, PeerLink},
    std::{
        cell::RefCell,
        collections::HashMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{task::spawn_local, time::sleep},
};

/// A run of this entry.
struct EntryRun {
    ask: Ask,
    upstream: dragonflystep_dispatch::UpstreamId,
    started_at: MonotonicTime,
    /// The owner that counts it, with the connection over which it was told.
    owner: (NodeName, u64),
}

/// Runs of this entry, to tell a new owner of them.
#[derive(Default)]
pub(crate) struct EntryRuns {
    runs: RefCell<HashMap<RunId, EntryRun>>,
}

impl EntryRuns {
    pub(crate) fn count(&self) -> usize {
        self.runs.borrow().len()
    }

    /// Runs of `service` that another owner, or an earlier connection, counts; they are counted by
    /// `owner` from now on.
    fn move_to(
        &self,
        now: MonotonicTime,
        service: &str,
        owner: &(NodeName, u64),
    ) -> Vec<RunningRun> {
        let mut runs = self.runs.borrow_mut();
        let moved = runs
            .values_mut()
            .filter(|run| &*run.ask.service == service && run.owner != *owner);
        moved
            .map(|run| {
                run.owner = owner.clone();
                RunningRun {
                    ask: run.ask.clone(),
                    upstream: run.upstream.clone(),
                    running_for: now.saturating_sub(run.started_at),
                }
            })
            .collect()
    }
}

/// A place that was given, until its run's end is told.
pub(crate) struct Place {
    node: Rc<Node>,
    run: RunId,
    service: dragonflystep_dispatch::ServiceName,
    started: Instant,
    is_ended: bool,
    /// Where the request goes.
    pub(crate) grant: Grant,
}

/// What a run showed of its upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunFigures {
    pub(crate) to_first_event: Option<Duration>,
    pub(crate) events: u32,
    pub(crate) longest_pause: Duration,
}

impl Place {
    /// Time since the place was given.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Tells the owner that requests wait at the upstream.
    pub(crate) fn tell_load(&self, running: u32, waiting: u32) {
        let load = UpstreamLoad {
            service: self.service.clone(),
            upstream: self.grant.upstream.clone(),
            running,
            waiting,
        };
        let runs = self.node.entry_runs.runs.borrow();
        let Some(run) = runs.get(&self.run) else {
            return;
        };
        if run.owner.0 == self.node.settings.node {
            self.node.owner.apply(Event::LoadObserved(load));
            return;
        }
        let Some(link) = self.node.members.link(&run.owner.0) else {
            return;
        };
        spawn_local(async move {
            if let Err(error) = link.load_observed(&load).await {
                log::debug!(error:%; "an owner was not told of a load");
            }
        });
    }

    /// Tells the owner how the run ended.
    pub(crate) fn end(mut self, outcome: RunOutcome, figures: RunFigures) {
        self.tell(outcome, figures);
    }

    fn tell(&mut self, outcome: RunOutcome, figures: RunFigures) {
        self.is_ended = true;
        let metrics = &self.node.metrics;
        metrics.count("upstream_outcomes_total", outcome.name());
        let Some(run) = self.node.entry_runs.runs.borrow_mut().remove(&self.run) else {
            return;
        };
        let ended = Ended {
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
pub(crate) async fn obtain(
    node: &Rc<Node>,
    mut ask: Ask,
) -> Result<Place, dragonflystep_dispatch::Refusal> {
    let started = Instant::now();
    let (objective_left, time_left) = (ask.objective_left, ask.time_left);
    let ranked = node.ranked_owners();
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
        ask.objective_left = objective_left.saturating_sub(started.elapsed());
        ask.time_left = time_left.saturating_sub(started.elapsed());
        match ask_owner(node, &owner, &link, &ask).await {
            Ok(verdict) => return place(node, ask, (owner, link.generation()), verdict),
            Err(error) => node.members.failed(&owner, &error),
        }
    }
    ask.objective_left = objective_left.saturating_sub(started.elapsed());
    ask.time_left = time_left.saturating_sub(started.elapsed());
    let owner = (node.settings.node.clone(), 0);
    let now = node.owner.now();
    for run in node.entry_runs.move_to(now, &ask.service, &owner) {
        node.owner.adopt(run);
    }
    let verdict = node.owner.clone().ask(ask.clone()).await;
    place(node, ask, owner, verdict)
}

fn place(
    node: &Rc<Node>,
    ask: Ask,
    owner: (NodeName, u64),
    verdict: Verdict,
) -> Result<Place, dragonflystep_dispatch::Refusal> {
    let grant = match verdict {
        Verdict::Granted(grant) => grant,
        Verdict::Refused(refusal) => return Err(refusal),
    };
    let place = Place {
        node: node.clone(),
        run: ask.run,
        service: ask.service.clone(),
        started: Instant::now(),
        is_ended: false,
        grant,
    };
    let run = EntryRun {
        upstream: place.grant.upstream.clone(),
        started_at: node.owner.now(),
        owner,
        ask,
    };
    node.entry_runs.runs.borrow_mut().insert(place.run, run);
    Ok(place)
}

/// Asks another node, and looks for a sign of life as long as it keeps the request waiting.
async fn ask_owner(
    node: &Rc<Node>,
    owner: &NodeName,
    link: &Rc<PeerLink>,
    ask: &Ask,
) -> Result<Verdict, PeerError> {
    link.open().await?;
    let now = node.owner.now();
    let counted_by = (owner.clone(), link.generation());
    let moved = node.entry_runs.move_to(now, &ask.service, &counted_by);
    if !moved.is_empty() {
        let link = link.clone();
        // Messages of one connection arrive in order, so that the owner counts these runs first.
        spawn_local(async move {
            if let Err(error) = link.adopt(&moved).await {
                log::debug!(error:%; "a new owner was not told of runs");
            }
        });
        tokio::task::yield_now().await;
    }
    let mut guard = WithdrawGuard {
        node,
        owner,
        ask,
        is_armed: true,
    };
    let verdict = link.ask(ask);
    tokio::pin!(verdict);
    loop {
        tokio::select! {
            biased;
            verdict = &mut verdict => {
                guard.is_armed = false;
                return verdict;
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

/// Withdraws a request from another owner when its asker is gone.
struct WithdrawGuard<'a> {
    node: &'a Rc<Node>,
    owner: &'a NodeName,
    ask: &'a Ask,
    is_armed: bool,
}

impl Drop for WithdrawGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            let ended = cancelled(self.ask.service.clone(), self.ask.run);
            tell_ended(self.node, self.owner, ended);
        }
    }
}

fn tell_ended(node: &Rc<Node>, owner: &NodeName, ended: Ended) {
    if *owner == node.settings.node {
        node.owner.ended(ended);
        return;
    }
    let Some(link) = node.members.link(owner) else {
        return;
    };
    spawn_local(async move {
        if let Err(error) = link.ended(&ended).await {
            // The owner frees the place when it sees the connection's end.
            log::debug!(run = ended.run, error:%; "an owner was not told of a run's end");
        }
    });
}
