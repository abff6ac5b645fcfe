//! The transactional table, as a pure model.

use {
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// One row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: Arc<str>,
    /// Content.
    pub value: Arc<str>,
    /// Version; every write makes one that the table never had before.
    pub version: u64,
}

/// What a row must be like for a transaction to take place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Condition {
    /// Key of the row.
    pub key: Arc<str>,
    /// Version that the row must have; none when the row must be absent.
    // The explicit function makes the field mandatory, so that a forgotten version is refused.
    #[serde(deserialize_with = "Option::deserialize")]
    pub version: Option<u64>,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Write {
    /// Key of the row.
    pub key: Arc<str>,
    /// New content; none removes the row.
    #[serde(deserialize_with = "Option::deserialize")]
    pub value: Option<Arc<str>>,
}

/// An operation on the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Reads rows by key.
    Read {
        /// The keys.
        keys: Vec<Arc<str>>,
    },
    /// Reads the rows whose key starts with a prefix, in the order of their keys.
    Scan {
        /// The prefix.
        prefix: Arc<str>,
    },
    /// Makes all writes, or none when any condition does not hold.
    Commit {
        /// What must hold.
        conditions: Vec<Condition>,
        /// What is written.
        writes: Vec<Write>,
    },
}

/// What became of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableAnswer {
    /// Rows that were read.
    Rows(Vec<Row>),
    /// The written rows; removed rows are missing.
    Committed(Vec<Row>),
    /// The present rows among those that the conditions name; nothing was written.
    Conflicted(Vec<Row>),
}

/// The table: rows by key, and the last version that was given out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableModel {
    rows: BTreeMap<Arc<str>, Row>,
    last_version: u64,
}

impl TableModel {
    /// Carries out one operation as a whole.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_fakes::platform::{Operation, TableAnswer, TableModel, Write};
    /// let mut table = TableModel::default();
    /// let write = Write { key: "node/a".into(), value: Some("{}".into()) };
    /// let commit = Operation::Commit { conditions: Vec::new(), writes: vec![write] };
    /// let TableAnswer::Committed(rows) = table.apply(commit) else {
    ///     panic!("a commit without conditions takes place");
    /// };
    /// assert_eq!(rows[0].version, 1);
    /// ```
    pub fn apply(&mut self, operation: Operation) -> TableAnswer {
        match operation {
            Operation::Read { keys } => TableAnswer::Rows(self.present(keys.iter())),
            Operation::Scan { prefix } => TableAnswer::Rows(self.scan(&prefix)),
            Operation::Commit { conditions, writes } => self.commit(&conditions, writes),
        }
    }

    /// The row of this key.
    pub fn row(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// The version that was given out last; 0 before the first write.
    pub fn last_version(&self) -> u64 {
        self.last_version
    }

    fn present<'a>(&self, keys: impl Iterator<Item = &'a Arc<str>>) -> Vec<Row> {
        keys.filter_map(|key| self.rows.get(key).cloned()).collect()
    }

    fn scan(&self, prefix: &Arc<str>) -> Vec<Row> {
        self.rows
            .range(prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(prefix.as_ref()))
            .map(|(_, row)| row.clone())
            .collect()
    }

    fn commit(&mut self, conditions: &[Condition], writes: Vec<Write>) -> TableAnswer {
        if !conditions.iter().all(|condition| self.holds(condition)) {
            let named = conditions.iter().map(|condition| &condition.key);
            return TableAnswer::Conflicted(self.present(named));
        }
        let written = writes
            .into_iter()
            .filter_map(|write| self.write(write))
            .collect();
        TableAnswer::Committed(written)
    }

    fn holds(&self, condition: &Condition) -> bool {
        self.rows.get(&condition.key).map(|row| row.version) == condition.version
    }

    fn write(&mut self, write: Write) -> Option<Row> {
        // A removal takes a version as well, so that a row which comes back never has an old one.
        self.last_version += 1;
        let Some(value) = write.value else {
            self.rows.remove(&write.key);
            return None;
        };
        let row = Row {
            key: write.key.clone(),
            value,
            version: self.last_version,
        };
        self.rows.insert(write.key, row.clone());
        Some(row)
    }
}
