//! The calls to the table service; each handles many claims.

use {
    super::{
        Claims,
        claim::{Batch, Stage},
        row::ClaimRow,
    },
    crate::{
        context::Context,
        effect::Effect,
        table::{Condition, TableCall, TableOperation, Write},
    },
};

impl Claims {
    /// Writes claims, each on the condition that its row is absent or is the abandoned row that it replaces.
    pub(super) fn commit_claims(&mut self, context: &mut Context<'_>, batch: Batch) {
        if batch.is_empty() {
            return;
        }
        let mut conditions = Vec::new();
        let mut writes = Vec::new();
        for key in batch.keys() {
            let Some(claim) = self.claims.get_mut(key) else {
                continue;
            };
            claim.stage = Stage::Writing;
            conditions.push(Condition {
                key: key.clone(),
                version: claim.replaces,
            });
            writes.push(Write {
                key: key.clone(),
                value: Some(claim.row.value()),
            });
        }
        let operation = TableOperation::Commit { conditions, writes };
        self.call(context, TableCall::ClaimCommit, operation, batch);
    }

    /// Reads back the rows of claims whose answer was lost.
    pub(super) fn read_claims(&mut self, context: &mut Context<'_>, batch: Batch) {
        if batch.is_empty() {
            return;
        }
        let keys = batch.keys().cloned().collect();
        let operation = TableOperation::Read { keys };
        self.call(context, TableCall::ClaimRead, operation, batch);
    }

    /// Records outcomes, and removes the rows of requests that were never dispatched.
    pub(super) fn commit_outcomes(&mut self, context: &mut Context<'_>, batch: Batch) {
        if batch.is_empty() {
            return;
        }
        let mut conditions = Vec::new();
        let mut writes = Vec::new();
        for key in batch.keys() {
            let Some(claim) = self.claims.get(key) else {
                continue;
            };
            let Stage::Ending { version, outcome } = claim.stage else {
                continue;
            };
            conditions.push(Condition {
                key: key.clone(),
                version: Some(version),
            });
            let ended = outcome.map(|_| ClaimRow::of(context.view, claim.request, outcome));
            writes.push(Write {
                key: key.clone(),
                value: ended.map(|row| row.value()),
            });
        }
        let operation = TableOperation::Commit { conditions, writes };
        self.call(context, TableCall::ClaimOutcome, operation, batch);
    }

    fn call(
        &mut self,
        context: &mut Context<'_>,
        name: impl FnOnce(u64) -> TableCall,
        operation: TableOperation,
        batch: Batch,
    ) {
        self.last_call += 1;
        self.batches.insert(self.last_call, batch);
        context.effect(Effect::CallTable {
            call: name(self.last_call),
            operation,
        });
    }
}
