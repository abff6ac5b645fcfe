//! What operators send and are told, as JSON.

use {
    dragonflystep_core::{
        admin::{AdminAnswer, AdminCommand, GroupStatus, NodeStatus, SystemStatus},
        catalogue::{Catalogue, CatalogueChange, ChangeFault, Edit},
        ids::{CatalogueVersion, NodeId},
    },
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::sync::Arc,
};

/// A change of the catalogue as an operator sends it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChangeDocument {
    based_on: CatalogueVersion,
    author: Arc<str>,
    reason: Arc<str>,
    token: Arc<str>,
    edits: Vec<Edit>,
}

/// Status and body of an answer to an operator.
#[derive(Debug)]
pub(crate) struct Reply {
    /// HTTP status.
    pub(crate) status: u16,
    /// Body.
    pub(crate) body: Value,
}

#[derive(Serialize)]
struct Accepted {
    version: CatalogueVersion,
    unconfirmed_nodes: Vec<NodeId>,
}

#[derive(Serialize)]
struct Rejected {
    current: CatalogueVersion,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    unsettled: bool,
    faults: Vec<ChangeFault>,
}

#[derive(Serialize)]
struct History {
    changes: Vec<CatalogueChange>,
}

#[derive(Serialize)]
struct Status {
    nodes: Vec<Node>,
    groups: Vec<Group>,
}

#[derive(Serialize)]
struct Node {
    node: NodeId,
    catalogue_version: CatalogueVersion,
    leaving: bool,
    silent_ms: u64,
}

#[derive(Serialize)]
struct Group {
    group: Arc<str>,
    holder: Option<NodeId>,
    epoch: u64,
}

#[derive(Serialize)]
struct Fault<'a> {
    error: FaultBody<'a>,
}

#[derive(Serialize)]
struct FaultBody<'a> {
    code: &'a str,
    message: &'a str,
}

/// Reads a change; a fault names the path of the field that is wrong.
pub(crate) fn read_change(body: &[u8]) -> Result<AdminCommand, Reply> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let document: ChangeDocument =
        serde_path_to_error::deserialize(&mut json).map_err(|error| unreadable(&error))?;
    json.end().map_err(|error| {
        fault(
            400,
            "bad_request",
            &format!("text after the change: {error}"),
        )
    })?;
    Ok(AdminCommand::ChangeCatalogue {
        based_on: document.based_on,
        author: document.author,
        reason: document.reason,
        token: document.token,
        edits: document.edits,
    })
}

fn unreadable(error: &serde_path_to_error::Error<serde_json::Error>) -> Reply {
    let inner = error.inner();
    if inner.is_syntax() || inner.is_eof() {
        return fault(400, "bad_request", &format!("the body is no JSON: {inner}"));
    }
    let invalid = ChangeFault::Invalid {
        path: error.path().to_string(),
        reason: inner.to_string(),
    };
    reply(422, &serde_json::json!({ "faults": [invalid] }))
}

/// An error of the call itself.
pub(crate) fn fault(status: u16, code: &str, message: &str) -> Reply {
    let error = FaultBody { code, message };
    reply(status, &Fault { error })
}

/// What an operator is told.
pub(crate) fn write(answer: AdminAnswer) -> Reply {
    match answer {
        AdminAnswer::Catalogue(catalogue) => reply::<Catalogue>(200, &catalogue),
        AdminAnswer::Accepted {
            version,
            unconfirmed_nodes,
        } => reply(
            200,
            &Accepted {
                version,
                unconfirmed_nodes,
            },
        ),
        AdminAnswer::Rejected { current, faults } => rejected(current, faults),
        AdminAnswer::History(changes) => reply(200, &History { changes }),
        AdminAnswer::Status(status) => reply(200, &Status::from(status)),
    }
}

fn rejected(current: CatalogueVersion, faults: Vec<ChangeFault>) -> Reply {
    let unsettled = faults.contains(&ChangeFault::Unsettled);
    let is_invalid = |fault: &ChangeFault| matches!(fault, ChangeFault::Invalid { .. });
    let status = if unsettled || faults.contains(&ChangeFault::StoreUnavailable) {
        503
    } else if faults.iter().any(is_invalid) {
        422
    } else {
        409
    };
    reply(
        status,
        &Rejected {
            current,
            unsettled,
            faults,
        },
    )
}

fn reply<T: Serialize>(status: u16, body: &T) -> Reply {
    match serde_json::to_value(body) {
        Ok(body) => Reply { status, body },
        Err(error) => Reply {
            status: 500,
            body: Value::String(format!("the answer can't be written: {error}")),
        },
    }
}

impl From<SystemStatus> for Status {
    fn from(status: SystemStatus) -> Self {
        Self {
            nodes: status.nodes.into_iter().map(Node::from).collect(),
            groups: status.groups.into_iter().map(Group::from).collect(),
        }
    }
}

impl From<NodeStatus> for Node {
    fn from(status: NodeStatus) -> Self {
        Self {
            node: status.node,
            catalogue_version: status.catalogue_version,
            leaving: status.leaving,
            silent_ms: status.silent_ms,
        }
    }
}

impl From<GroupStatus> for Group {
    fn from(status: GroupStatus) -> Self {
        Self {
            group: status.group,
            holder: status.holder,
            epoch: status.epoch,
        }
    }
}
