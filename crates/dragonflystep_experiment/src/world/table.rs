//! The table service in memory: transactions over rows whose versions never repeat.

use {
    dragonflystep_core::table::{Condition, Row, TableOperation, TableOutcome, Write},
    std::{collections::BTreeMap, sync::Arc},
};

/// Rows and the last version that was given out.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: BTreeMap<Arc<str>, Row>,
    last_version: u64,
    /// Operations that took effect.
    pub operations: u64,
}

impl Table {
    /// Carries out an operation.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_core::table::{TableOperation, TableOutcome, Write};
    /// use dragonflystep_experiment::world::table::Table;
    /// let mut table = Table::default();
    /// let write = Write { key: "a".into(), value: Some("1".into()) };
    /// let commit = TableOperation::Commit { conditions: Vec::new(), writes: vec![write] };
    /// assert!(matches!(table.apply(&commit), TableOutcome::Committed(rows) if rows[0].version == 1));
    /// ```
    pub fn apply(&mut self, operation: &TableOperation) -> TableOutcome {
        self.operations += 1;
        match operation {
            TableOperation::Read { keys } => {
                let rows = keys.iter().filter_map(|key| self.rows.get(key));
                TableOutcome::Rows(rows.cloned().collect())
            }
            TableOperation::Scan { prefix } => {
                let from = self.rows.range(prefix.clone()..);
                let rows = from.take_while(|(key, _)| key.starts_with(prefix.as_ref()));
                TableOutcome::Rows(rows.map(|(_, row)| row.clone()).collect())
            }
            TableOperation::Commit { conditions, writes } => self.commit(conditions, writes),
        }
    }

    fn commit(&mut self, conditions: &[Condition], writes: &[Write]) -> TableOutcome {
        let holds = |condition: &Condition| {
            self.rows.get(&condition.key).map(|row| row.version) == condition.version
        };
        if !conditions.iter().all(holds) {
            let present = conditions.iter().filter_map(|it| self.rows.get(&it.key));
            return TableOutcome::Conflicted(present.cloned().collect());
        }
        let mut written = Vec::new();
        for write in writes {
            let Some(value) = &write.value else {
                self.rows.remove(&write.key);
                continue;
            };
            self.last_version += 1;
            let row = Row {
                key: write.key.clone(),
                value: value.clone(),
                version: self.last_version,
            };
            self.rows.insert(write.key.clone(), row.clone());
            written.push(row);
        }
        TableOutcome::Committed(written)
    }
}
