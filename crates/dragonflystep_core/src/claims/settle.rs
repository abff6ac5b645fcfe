//! Applies the answers of the table service to the claims.

use {
    super::{
        COMMIT_DELAY, Claims,
        claim::{Batch, Claim, Stage},
        row::{ClaimRow, ClaimState, unreadable_row_refusal},
    },
    crate::{
        context::{Context, Signal},
        effect::LogLevel,
        ids::RowVersion,
        request::{Refusal, RefusalCode},
        table::{Row, TableOutcome},
    },
    std::{sync::Arc, time::Duration},
};

impl Claims {
    /// Handles the answer to a group commit of claims.
    pub(super) fn committed(
        &mut self,
        context: &mut Context<'_>,
        batch: &Batch,
        outcome: &TableOutcome,
    ) {
        for key in batch.keys() {
            match outcome {
                TableOutcome::Committed(rows) => match find(rows, key) {
                    Some(row) => self.row_exists(context, key, row.version),
                    None => self.answer_lost(context, key),
                },
                TableOutcome::Conflicted(rows) => match find(rows, key) {
                    Some(row) => self.settle_from_row(context, key, row),
                    None => self.not_written(context, key, None),
                },
                TableOutcome::Unavailable => self.store_unavailable(context, key),
                TableOutcome::Unknown | TableOutcome::Rows(_) => self.answer_lost(context, key),
            }
        }
    }

    /// Handles the rows that were read back.
    pub(super) fn rows_read(
        &mut self,
        context: &mut Context<'_>,
        batch: &Batch,
        outcome: &TableOutcome,
    ) {
        for key in batch.keys() {
            match outcome {
                TableOutcome::Rows(rows) => match find(rows, key) {
                    Some(row) => self.settle_from_row(context, key, row),
                    None => self.row_absent(context, key),
                },
                _ => self.retry_later(context, key),
            }
        }
    }

    /// Handles the answer to a group commit of outcomes.
    pub(super) fn outcomes_written(
        &mut self,
        context: &mut Context<'_>,
        batch: &Batch,
        outcome: &TableOutcome,
    ) {
        for key in batch.keys() {
            match outcome {
                TableOutcome::Committed(_) => self.remove(key),
                TableOutcome::Conflicted(rows) => {
                    self.outcome_conflicted(context, key, find(rows, key));
                }
                _ => self.retry_later(context, key),
            }
        }
    }

    /// Handles the proof that a row with this claim's token exists at the given version.
    fn row_exists(&mut self, context: &mut Context<'_>, key: &Arc<str>, version: RowVersion) {
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        claim.failures = 0;
        if claim.wanted {
            claim.stage = Stage::Written { version };
            let request = claim.request;
            return context.signal(Signal::ClaimGranted { request });
        }
        claim.stage = Stage::Ending {
            version,
            outcome: None,
        };
        self.schedule(context.now, key, Duration::ZERO);
    }

    /// Settles the claim by the existing row, which may be its own or that of another request.
    fn settle_from_row(&mut self, context: &mut Context<'_>, key: &Arc<str>, row: &Row) {
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        let Some(found) = ClaimRow::read(&row.value) else {
            return self.deny(context, key, unreadable_row_refusal());
        };
        if found.token == claim.row.token {
            return self.row_exists(context, key, row.version);
        }
        if is_abandoned_row(claim, &found) && claim.wanted {
            return self.not_written(context, key, Some(row.version));
        }
        let refusal = found.refusal(context.view);
        self.deny(context, key, refusal);
    }

    /// Handles a commit that did not take place, because of another claim in it or because a row has to be
    /// replaced.
    fn not_written(
        &mut self,
        context: &mut Context<'_>,
        key: &Arc<str>,
        replaces: Option<RowVersion>,
    ) {
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        claim.replaces = replaces;
        claim.stage = match (claim.wanted, claim.lost_answer) {
            (true, _) => Stage::Waiting,
            (false, true) => Stage::Unsettled,
            (false, false) => return self.remove(key),
        };
        self.schedule(context.now, key, Duration::ZERO);
    }

    /// Handles a commit that certainly did not take place: the caller is refused at once.
    fn store_unavailable(&mut self, context: &mut Context<'_>, key: &Arc<str>) {
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        let refusal = Refusal::not_run(RefusalCode::StoreUnavailable);
        if !claim.lost_answer {
            return self.deny(context, key, refusal);
        }
        claim.stage = Stage::Unsettled;
        if claim.wanted {
            claim.wanted = false;
            let request = claim.request;
            context.signal(Signal::ClaimDenied { request, refusal });
        }
        self.retry_later(context, key);
    }

    /// Handles a commit of unknown result by reading the row back.
    fn answer_lost(&mut self, context: &mut Context<'_>, key: &Arc<str>) {
        if let Some(claim) = self.claims.get_mut(key) {
            claim.lost_answer = true;
            claim.stage = Stage::Unsettled;
            self.schedule(context.now, key, Duration::ZERO);
        }
    }

    /// Handles the absence of the row in a read.
    ///
    /// A lost write may still be in flight. If the claim is still wanted, it is written again with the same
    /// token, so it does no harm whichever of the two writes succeeds. If the claim is no longer wanted, its
    /// row may still appear; the incarnation then identifies it as abandoned, and a later claim replaces it.
    fn row_absent(&mut self, context: &mut Context<'_>, key: &Arc<str>) {
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        claim.replaces = None;
        if !claim.wanted {
            return self.remove(key);
        }
        claim.stage = Stage::Waiting;
        self.schedule(context.now, key, COMMIT_DELAY);
    }

    fn retry_later(&mut self, context: &mut Context<'_>, key: &Arc<str>) {
        if let Some(claim) = self.claims.get_mut(key) {
            let delay = claim.next_backoff();
            self.schedule(context.now, key, delay);
        }
    }

    fn deny(&mut self, context: &mut Context<'_>, key: &Arc<str>, refusal: Refusal) {
        let denied = self.claims.get(key).filter(|claim| claim.wanted);
        if let Some(request) = denied.map(|claim| claim.request) {
            context.signal(Signal::ClaimDenied { request, refusal });
        }
        self.remove(key);
    }

    fn outcome_conflicted(&mut self, context: &mut Context<'_>, key: &Arc<str>, row: Option<&Row>) {
        let Some(claim) = self.claims.get(key) else {
            return;
        };
        let Stage::Ending { version, outcome } = claim.stage else {
            return;
        };
        if row.is_some_and(|row| row.version == version) {
            // The condition of another row in the transaction did not hold.
            return self.schedule(context.now, key, Duration::ZERO);
        }
        let found = row.and_then(|row| ClaimRow::read(&row.value));
        let already_applied = match outcome {
            Some(_) => found.is_some_and(|found| found.token == claim.row.token),
            None => found.is_none_or(|found| found.token != claim.row.token),
        };
        if !already_applied {
            let fields = vec![("row", key.to_string())];
            context.log(LogLevel::Warn, "claim row was changed by another", fields);
        }
        self.remove(key);
    }
}

/// Whether the row belongs to a request that this process abandoned before its dispatch.
///
/// This process keeps each claim until its row says that the request ended, or is removed. A row that still
/// says `claimed` without a kept claim therefore belongs to a request that was never dispatched.
fn is_abandoned_row(claim: &Claim, found: &ClaimRow) -> bool {
    let own = &claim.row;
    found.node == own.node
        && found.incarnation == own.incarnation
        && found.state == ClaimState::Claimed
}

fn find<'a>(rows: &'a [Row], key: &Arc<str>) -> Option<&'a Row> {
    rows.iter().find(|row| row.key == *key)
}
