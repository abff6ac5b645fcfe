//! Claims: durable records of non-idempotent requests, written before the dispatch.
//!
//! All waiting claims are written in one transaction, each on the condition that its row is absent. If the
//! answer is lost, the rows are read back, and the token in each row tells which request wrote it. The row of
//! an abandoned claim is removed, even if it is not known yet whether it was written. Until that is settled,
//! a request with the same key is refused here as in progress.
//!
//! An entry dispatches only after [`Signal::ClaimGranted`], which is sent only once the row with this
//! request's own token is known to exist. A token contains the node's incarnation, so that a restarted node
//! never mistakes an older claim for its own.

mod claim;
mod row;
mod settle;
mod writing;

use {
    self::{
        claim::{Batch, Claim, Stage},
        row::row_key,
    },
    crate::{
        context::{Context, Signal},
        ids::RequestId,
        request::{Outcome, Ran, Refusal, RefusalCode, RequestKey},
        table::{TableCall, TableOutcome},
        timer::Timer,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// How long a claim waits for others to share its transaction.
const COMMIT_DELAY: Duration = Duration::from_millis(20);
/// Delay before a failed call is repeated; doubled for each further failure up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest delay between two calls for the same claim.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Most rows in one transaction.
const MAX_ROWS: usize = 100;

/// The claims of this node and the calls to the table service that are in progress.
#[derive(Debug, Default)]
pub struct Claims {
    claims: BTreeMap<Arc<str>, Claim>,
    /// Claims that need a call, ordered by the time at which it is due.
    due: BTreeSet<(Duration, Arc<str>)>,
    batches: BTreeMap<u64, Batch>,
    last_call: u64,
    /// When the next round is due; `None` when no timer runs.
    round_at: Option<Duration>,
}

impl Claims {
    /// Makes the calls that are due: one group call each for claims, rows to read back and outcomes.
    pub fn round_due(&mut self, context: &mut Context<'_>) {
        if self.round_at.is_some_and(|at| at <= context.now) {
            self.round_at = None;
        }
        let mut due = Batch::default();
        let (mut commits, mut reads, mut outcomes) = (due.clone(), due.clone(), due.clone());
        while due.len() < MAX_ROWS {
            let Some(key) = self.next_due(context.now) else {
                break;
            };
            due.add(&key);
            match self.claims.get(&key).map(|claim| &claim.stage) {
                Some(Stage::Waiting) => commits.add(&key),
                Some(Stage::Unsettled) => reads.add(&key),
                Some(Stage::Ending { .. }) => outcomes.add(&key),
                Some(Stage::Writing | Stage::Written { .. }) | None => (),
            }
        }
        self.commit_claims(context, commits);
        self.read_claims(context, reads);
        self.commit_outcomes(context, outcomes);
        self.schedule_round(context);
    }

    /// Handles an answer of the table service.
    pub fn table_answered(
        &mut self,
        context: &mut Context<'_>,
        call: &TableCall,
        outcome: &TableOutcome,
    ) {
        let (TableCall::ClaimCommit(number)
        | TableCall::ClaimRead(number)
        | TableCall::ClaimOutcome(number)) = call
        else {
            return;
        };
        let Some(batch) = self.batches.remove(number) else {
            return;
        };
        match call {
            TableCall::ClaimCommit(_) => self.committed(context, &batch, outcome),
            TableCall::ClaimRead(_) => self.rows_read(context, &batch, outcome),
            _ => self.outcomes_written(context, &batch, outcome),
        }
        self.schedule_round(context);
    }

    /// Handles a signal from another part of the core.
    pub fn signal(&mut self, context: &mut Context<'_>, signal: &Signal) {
        match signal {
            Signal::ClaimWanted { request, key } => self.wanted(context, *request, key),
            Signal::ClaimEnded {
                request,
                key,
                outcome,
            } => self.ended(context, *request, key, *outcome),
            _ => (),
        }
    }

    /// Number of claims that this node still keeps, including those of running requests.
    pub fn unsettled(&self) -> usize {
        self.claims.len()
    }

    fn wanted(&mut self, context: &mut Context<'_>, request: RequestId, key: &RequestKey) {
        let row_key = row_key(key);
        match self.claims.get(&row_key) {
            Some(claim) if claim.request == request => return,
            Some(_) => {
                let refusal = Refusal::with_ran(RefusalCode::InProgress, Ran::Unknown);
                return context.signal(Signal::ClaimDenied { request, refusal });
            }
            None => (),
        }
        let claim = Claim::new(context.view, request);
        self.claims.insert(row_key.clone(), claim);
        self.due.insert((context.now + COMMIT_DELAY, row_key));
        self.schedule_round(context);
    }

    fn ended(
        &mut self,
        context: &mut Context<'_>,
        request: RequestId,
        key: &RequestKey,
        outcome: Option<Outcome>,
    ) {
        let row_key = row_key(key);
        let Some(claim) = self.claims.get_mut(&row_key) else {
            return;
        };
        if claim.request != request || !claim.wanted {
            return;
        }
        claim.wanted = false;
        match claim.stage {
            Stage::Waiting if claim.lost_answer => claim.stage = Stage::Unsettled,
            Stage::Waiting => self.remove(&row_key),
            Stage::Written { version } => {
                claim.stage = Stage::Ending { version, outcome };
                self.schedule(context.now, &row_key, COMMIT_DELAY);
            }
            // The other stages remove the row once it is known whether it exists.
            _ => (),
        }
        self.schedule_round(context);
    }

    /// The next claim that is due now or soon enough to share the calls of this round.
    fn next_due(&mut self, now: Duration) -> Option<Arc<str>> {
        let (at, _) = self.due.first()?;
        if *at > now + COMMIT_DELAY {
            return None;
        }
        self.due.pop_first().map(|(_, key)| key)
    }

    fn schedule(&mut self, now: Duration, key: &Arc<str>, delay: Duration) {
        self.due.insert((now + delay, key.clone()));
    }

    fn remove(&mut self, key: &Arc<str>) {
        self.claims.remove(key);
        self.due.retain(|(_, due)| due != key);
    }

    /// Starts the timer of the next round, unless a running timer is early enough.
    fn schedule_round(&mut self, context: &mut Context<'_>) {
        let Some((at, _)) = self.due.first() else {
            return;
        };
        let at = (*at).max(context.now);
        if self.round_at.is_some_and(|round_at| round_at <= at) {
            return;
        }
        self.round_at = Some(at);
        context.start_timer(at.saturating_sub(context.now), Timer::ClaimRound);
    }
}
