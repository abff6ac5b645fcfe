//! Processing of an operator's change: validation, commit to the table, and recovery of a lost commit answer.

use {
    super::{
        CatalogueSync,
        checks::find_faults,
        history::KEPT_CHANGES,
        rows::{HEAD_KEY, change_key, commit_writes},
    },
    crate::{
        admin::{AdminAnswer, AdminCommand},
        catalogue::{CatalogueChange, ChangeFault},
        context::Context,
        effect::Effect,
        ids::{AdminCallId, CatalogueVersion},
        table::{Condition, Row, TableCall, TableOperation, TableOutcome},
    },
    rand::Rng,
    std::{sync::Arc, time::Duration},
};

/// Time after which the operator of an unsettled change gets an answer, even if the outcome is not known.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(5000);
/// Wait before the next attempt to find out whether a commit with a lost answer took effect.
const SETTLE_RETRY: Duration = Duration::from_millis(300);
/// Upper bound of the random wait after a commit conflict, in milliseconds; it grows by this with each attempt.
const RACE_WAIT_MS: u64 = 40;
/// Most unsettled changes that one node holds; further ones are rejected.
const MOST_PENDING: usize = 256;

/// Processing state of a pending change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// To be validated against the newest version, and then committed.
    Ready,
    /// The commit was sent and its answer is awaited.
    Committing { sent_at: Duration },
    /// The answer to the commit was lost; the row of the change has to be read.
    Unsettled,
    /// The read of the change's row was sent and its answer is awaited.
    Settling,
}

/// An operator's change that is neither known to be committed nor rejected yet.
#[derive(Debug)]
pub(super) struct PendingChange {
    number: u64,
    call: AdminCallId,
    based_on: CatalogueVersion,
    change: CatalogueChange,
    received_at: Duration,
    retry_at: Duration,
    attempts: u64,
    step: Step,
    /// Version of a commit whose answer was lost and which may still take effect.
    uncertain_version: Option<CatalogueVersion>,
}

impl CatalogueSync {
    /// Queues an operator's change, or rejects it when too many are pending.
    pub(super) fn change_requested(
        &mut self,
        context: &mut Context<'_>,
        call: AdminCallId,
        command: AdminCommand,
    ) {
        let AdminCommand::ChangeCatalogue {
            based_on,
            author,
            reason,
            token,
            edits,
        } = command
        else {
            return;
        };
        if self.pending.len() >= MOST_PENDING {
            reject(context, call, vec![ChangeFault::StoreUnavailable]);
            return;
        }
        self.next_number += 1;
        let change = CatalogueChange {
            version: 0,
            token,
            author,
            reason,
            edits,
        };
        self.pending.push_back(PendingChange {
            number: self.next_number,
            call,
            based_on,
            change,
            received_at: context.now,
            retry_at: context.now,
            attempts: 0,
            step: Step::Ready,
            uncertain_version: None,
        });
        self.advance_pending_changes(context);
    }

    /// Advances the pending changes in order, until the first of them has to wait.
    pub(super) fn advance_pending_changes(&mut self, context: &mut Context<'_>) {
        while let Some(pending) = self.pending.pop_front() {
            if let Some(pending) = self.step(context, pending) {
                self.pending.push_front(pending);
                return;
            }
        }
    }

    /// Advances a change by one step; returns it unless its operator was answered.
    fn step(
        &mut self,
        context: &mut Context<'_>,
        mut pending: PendingChange,
    ) -> Option<PendingChange> {
        if let Some(known) = self.history.by_token(&pending.change.token) {
            let version = known.version;
            self.accepted(context, pending.call, version);
            return None;
        }
        if pending
            .uncertain_version
            .is_some_and(|version| version <= context.view.catalogue.version)
        {
            // Another change took that version, so this commit can no longer take effect.
            pending.uncertain_version = None;
        }
        if context.now.saturating_sub(pending.received_at) >= SETTLE_TIMEOUT {
            if !pending.is_certainly_uncommitted() {
                let version = pending.uncertain_version.unwrap_or(pending.change.version);
                self.left_unsettled(version.max(pending.change.version));
            }
            pending.give_up(context);
            return None;
        }
        if context.now < pending.retry_at {
            return Some(pending);
        }
        match pending.step {
            Step::Committing { .. } | Step::Settling => Some(pending),
            Step::Unsettled => {
                self.settle(context, &mut pending);
                Some(pending)
            }
            Step::Ready => self.check_and_commit(context, pending),
        }
    }

    fn check_and_commit(
        &mut self,
        context: &mut Context<'_>,
        mut pending: PendingChange,
    ) -> Option<PendingChange> {
        let in_force = context.view.catalogue.version;
        if !self.head.is_known || self.head.newest() != in_force {
            if self.head.newest() <= in_force {
                self.head.read_soon();
                self.read_head_when_due(context);
            } else {
                self.fetch_when_due(context);
            }
            return Some(pending);
        }
        let is_kept = self.history.reaches_back_to(pending.based_on, in_force);
        if !is_kept && in_force - pending.based_on <= KEPT_CHANGES as u64 {
            // The changes since `based_on` are needed to detect conflicting edits.
            self.read_older(context, pending.based_on);
            return Some(pending);
        }
        pending.change.version = in_force + 1;
        let faults = self.faults_of(context, &pending);
        if !faults.is_empty() {
            reject(context, pending.call, faults);
            return None;
        }
        if self.may_commit(context) {
            self.commit(context, &mut pending);
        }
        Some(pending)
    }

    fn commit(&mut self, context: &mut Context<'_>, pending: &mut PendingChange) {
        pending.attempts += 1;
        pending.step = Step::Committing {
            sent_at: context.now,
        };
        let conditions = vec![
            Condition {
                key: HEAD_KEY.into(),
                version: self.head.row_version,
            },
            Condition {
                key: change_key(pending.change.version),
                version: None,
            },
        ];
        context.effect(Effect::CallTable {
            call: TableCall::CatalogueCommit(pending.number),
            operation: TableOperation::Commit {
                conditions,
                writes: commit_writes(&pending.change),
            },
        });
    }

    fn faults_of(&self, context: &Context<'_>, pending: &PendingChange) -> Vec<ChangeFault> {
        let current = &context.view.catalogue;
        let based_on = |reason: String| {
            vec![ChangeFault::Invalid {
                path: "based_on".into(),
                reason,
            }]
        };
        if pending.based_on > current.version {
            return based_on(format!("the newest version is {}", current.version));
        }
        if !self
            .history
            .reaches_back_to(pending.based_on, current.version)
        {
            return based_on("older than the kept changes; read the catalogue again".into());
        }
        let conflicts = self
            .history
            .conflicts(pending.based_on, &pending.change.edits);
        if !conflicts.is_empty() {
            return conflicts;
        }
        find_faults(current, &pending.change)
    }

    /// Handles the answer to a commit.
    pub(super) fn commit_answered(
        &mut self,
        context: &mut Context<'_>,
        number: u64,
        outcome: &TableOutcome,
    ) {
        let index = self
            .pending
            .iter()
            .position(|pending| pending.number == number);
        let Some(mut pending) = index.and_then(|index| self.pending.remove(index)) else {
            // The operator was already told that the outcome is unknown; the answer still updates the known rows.
            if let TableOutcome::Committed(rows) | TableOutcome::Conflicted(rows) = outcome {
                self.process_rows(context, rows);
            }
            return;
        };
        let Step::Committing { sent_at } = pending.step else {
            self.pending.push_front(pending);
            return;
        };
        pending.step = Step::Ready;
        match outcome {
            TableOutcome::Committed(rows) => {
                self.committed(context, pending, sent_at, rows);
            }
            TableOutcome::Conflicted(rows) => self.lost_race(context, pending, rows),
            TableOutcome::Unavailable if pending.uncertain_version.is_none() => {
                reject(context, pending.call, vec![ChangeFault::StoreUnavailable]);
            }
            TableOutcome::Unavailable => {
                pending.retry_at = context.now + SETTLE_RETRY;
                self.pending.push_front(pending);
            }
            TableOutcome::Unknown | TableOutcome::Rows(_) => {
                pending.uncertain_version = Some(pending.change.version);
                pending.step = Step::Unsettled;
                self.pending.push_front(pending);
            }
        }
        self.advance_pending_changes(context);
    }

    fn committed(
        &mut self,
        context: &mut Context<'_>,
        pending: PendingChange,
        sent_at: Duration,
        rows: &[Row],
    ) {
        let change = Arc::new(pending.change);
        self.own_change_committed(context, &change);
        self.process_rows(context, rows);
        self.confirm_newest(context, change.version, sent_at);
        self.accepted(context, pending.call, change.version);
    }

    /// Returns to validation against the newest version, after a random wait that spreads out competing nodes.
    fn lost_race(&mut self, context: &mut Context<'_>, mut pending: PendingChange, rows: &[Row]) {
        let longest_ms = RACE_WAIT_MS * pending.attempts;
        let wait_ms = context.random.random_range(0..=longest_ms);
        pending.retry_at = context.now + Duration::from_millis(wait_ms);
        self.pending.push_front(pending);
        self.head.read_soon();
        self.process_rows(context, rows);
        self.fetch_when_due(context);
    }

    fn settle(&mut self, context: &mut Context<'_>, pending: &mut PendingChange) {
        pending.step = Step::Settling;
        context.effect(Effect::CallTable {
            call: TableCall::CatalogueSettle(pending.number),
            operation: TableOperation::Read {
                keys: vec![HEAD_KEY.into(), change_key(pending.change.version)],
            },
        });
    }

    /// Handles the read that follows a lost commit answer; the token in the row identifies the change.
    pub(super) fn settled(
        &mut self,
        context: &mut Context<'_>,
        number: u64,
        outcome: &TableOutcome,
    ) {
        if let Some(pending) = self
            .pending
            .iter_mut()
            .find(|pending| pending.number == number)
        {
            match outcome {
                // If the row is absent, the same commit is sent again; at most one of the two can take effect.
                TableOutcome::Rows(_) => pending.step = Step::Ready,
                _ => {
                    pending.step = Step::Unsettled;
                    pending.retry_at = context.now + SETTLE_RETRY;
                }
            }
        }
        if let TableOutcome::Rows(rows) = outcome {
            self.process_rows(context, rows);
        }
        self.advance_pending_changes(context);
    }

    /// Rejects changes of which no commit can be outstanding, because the table is unavailable.
    pub(super) fn table_unavailable(&mut self, context: &mut Context<'_>) {
        let (failed, kept) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| {
                pending.step == Step::Ready && pending.uncertain_version.is_none()
            });
        self.pending = kept;
        for pending in failed {
            reject(context, pending.call, vec![ChangeFault::StoreUnavailable]);
        }
    }
}

impl PendingChange {
    /// Whether it is certain that no commit of this change took effect.
    fn is_certainly_uncommitted(&self) -> bool {
        self.uncertain_version.is_none() && !matches!(self.step, Step::Committing { .. })
    }

    /// Rejects the change after the timeout: as unsettled if a commit may have taken effect, otherwise as not made.
    fn give_up(&self, context: &mut Context<'_>) {
        let fault = match self.is_certainly_uncommitted() {
            true => ChangeFault::StoreUnavailable,
            false => ChangeFault::Unsettled,
        };
        reject(context, self.call, vec![fault]);
    }
}

fn reject(context: &mut Context<'_>, call: AdminCallId, faults: Vec<ChangeFault>) {
    let answer = AdminAnswer::Rejected {
        current: context.view.catalogue.version,
        faults,
    };
    context.effect(Effect::AnswerAdmin { call, answer });
}
