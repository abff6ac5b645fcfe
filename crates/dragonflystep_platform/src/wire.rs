//! JSON forms of the calls, and their translation from and to the reducer's types.

use {
    dragonflystep_core::{
        ids::RowVersion,
        table::{Condition, Row, Write},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Body of `POST /table/read`.
#[derive(Debug, Serialize)]
pub(crate) struct ReadBody<'a> {
    pub(crate) keys: &'a [Arc<str>],
}

/// Body of `POST /table/scan`.
#[derive(Debug, Serialize)]
pub(crate) struct ScanBody<'a> {
    pub(crate) prefix: &'a str,
}

/// Body of `POST /table/commit`.
#[derive(Debug, Serialize)]
pub(crate) struct CommitBody<'a> {
    conditions: Vec<ConditionBody<'a>>,
    writes: Vec<WriteBody<'a>>,
}

#[derive(Debug, Serialize)]
struct ConditionBody<'a> {
    key: &'a str,
    // Present as null when the row must be absent.
    version: Option<RowVersion>,
}

#[derive(Debug, Serialize)]
struct WriteBody<'a> {
    key: &'a str,
    // Present as null when the row is removed.
    value: Option<&'a str>,
}

/// Answer to the calls of the table.
#[derive(Debug, Deserialize)]
pub(crate) struct RowsBody {
    rows: Vec<RowBody>,
}

#[derive(Debug, Deserialize)]
struct RowBody {
    key: Arc<str>,
    value: Arc<str>,
    version: RowVersion,
}

/// Answer to `GET /vms`.
#[derive(Debug, Deserialize)]
pub(crate) struct VmsBody {
    pub(crate) live: Vec<Arc<str>>,
    pub(crate) leaving: Vec<Arc<str>>,
}

impl<'a> CommitBody<'a> {
    pub(crate) fn new(conditions: &'a [Condition], writes: &'a [Write]) -> Self {
        let conditions = conditions.iter().map(|condition| ConditionBody {
            key: &condition.key,
            version: condition.version,
        });
        let writes = writes.iter().map(|write| WriteBody {
            key: &write.key,
            value: write.value.as_deref(),
        });
        Self {
            conditions: conditions.collect(),
            writes: writes.collect(),
        }
    }
}

impl RowsBody {
    pub(crate) fn into_rows(self) -> Vec<Row> {
        self.rows.into_iter().map(RowBody::into_row).collect()
    }
}

impl RowBody {
    fn into_row(self) -> Row {
        Row {
            key: self.key,
            value: self.value,
            version: self.version,
        }
    }
}
