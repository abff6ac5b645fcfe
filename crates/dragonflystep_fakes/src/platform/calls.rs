//! The calls of the protocol as data: what is asked, and what is answered.

use {
    super::{
        faults::CallKind,
        state::Platform,
        table::{Condition, Operation, Row, TableAnswer, Write},
    },
    bytes::Bytes,
    salvo::http::StatusCode,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::sync::Arc,
};

/// Which call of the protocol.
#[derive(Clone, Copy, Debug)]
pub(super) enum CallName {
    Read,
    Scan,
    Commit,
    PutObject,
    GetObject,
    Vms,
}

impl CallName {
    pub(super) fn kind(self) -> CallKind {
        match self {
            Self::Commit | Self::PutObject => CallKind::Write,
            Self::Read | Self::Scan | Self::GetObject | Self::Vms => CallKind::Read,
        }
    }
}

/// One call.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) name: CallName,
    /// Name of the object, for calls of the object store.
    pub(super) object: Arc<str>,
    pub(super) body: Bytes,
}

/// What is answered to a call.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) body: Bytes,
}

impl Reply {
    pub(super) fn status(status: StatusCode) -> Self {
        Self {
            status,
            body: Bytes::new(),
        }
    }

    fn json(status: StatusCode, body: &impl Serialize) -> Self {
        let text = serde_json::to_vec(body).expect("texts and numbers always have a JSON form");
        Self {
            status,
            body: text.into(),
        }
    }

    pub(super) fn bad_body(fault: &serde_json::Error) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            body: fault.to_string().into(),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ReadBody {
    keys: Vec<Arc<str>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ScanBody {
    prefix: Arc<str>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CommitBody {
    conditions: Vec<Condition>,
    writes: Vec<Write>,
}

#[derive(Serialize)]
struct RowsBody {
    rows: Vec<Row>,
}

impl From<ReadBody> for Operation {
    fn from(body: ReadBody) -> Self {
        Self::Read { keys: body.keys }
    }
}

impl From<ScanBody> for Operation {
    fn from(body: ScanBody) -> Self {
        Self::Scan {
            prefix: body.prefix,
        }
    }
}

impl From<CommitBody> for Operation {
    fn from(body: CommitBody) -> Self {
        Self::Commit {
            conditions: body.conditions,
            writes: body.writes,
        }
    }
}

/// Carries out a call.
pub(super) fn carry_out(platform: &Platform, call: &Call) -> Reply {
    match call.name {
        CallName::Read => table::<ReadBody>(platform, &call.body),
        CallName::Scan => table::<ScanBody>(platform, &call.body),
        CallName::Commit => table::<CommitBody>(platform, &call.body),
        CallName::PutObject => {
            platform.put_object(call.object.clone(), call.body.clone());
            Reply::status(StatusCode::OK)
        }
        CallName::GetObject => match platform.object(&call.object) {
            Some(body) => Reply {
                status: StatusCode::OK,
                body,
            },
            None => Reply::status(StatusCode::NOT_FOUND),
        },
        CallName::Vms => Reply::json(StatusCode::OK, &platform.vms()),
    }
}

fn table<T: DeserializeOwned + Into<Operation>>(platform: &Platform, body: &Bytes) -> Reply {
    let operation: T = match serde_json::from_slice(body) {
        Ok(operation) => operation,
        Err(fault) => return Reply::bad_body(&fault),
    };
    match platform.apply(operation.into()) {
        TableAnswer::Rows(rows) | TableAnswer::Committed(rows) => {
            Reply::json(StatusCode::OK, &RowsBody { rows })
        }
        TableAnswer::Conflicted(rows) => Reply::json(StatusCode::CONFLICT, &RowsBody { rows }),
    }
}
