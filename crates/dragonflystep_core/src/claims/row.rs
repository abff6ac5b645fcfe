//! The row of a claim in the table service.

use {
    crate::{
        context::View,
        ids::{Incarnation, NodeId, RequestId},
        request::{Outcome, Ran, Refusal, RefusalCode, RequestKey},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_128,
};

/// Content of a claim's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ClaimRow {
    /// Unique text of the claim; after a lost answer it tells who wrote the row.
    pub token: Arc<str>,
    /// Node that received the request.
    pub node: NodeId,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
    /// Whether the request has ended.
    pub state: ClaimState,
    /// Outcome of an ended request; `None` before that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
}

/// Progress of a claimed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ClaimState {
    /// The request may be dispatched, or is running.
    Claimed,
    /// The request ended.
    Ended,
}

impl ClaimRow {
    /// Creates the row of a claim of this node.
    pub fn of(view: &View, request: RequestId, outcome: Option<Outcome>) -> Self {
        let node = &view.node;
        Self {
            token: format!("{}-{}-{request}", node.id, node.incarnation).into(),
            node: node.id.clone(),
            incarnation: node.incarnation,
            state: match outcome {
                Some(_) => ClaimState::Ended,
                None => ClaimState::Claimed,
            },
            outcome,
        }
    }

    /// Parses a row's value; `None` when it is not a claim.
    pub fn read(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// Serializes the row as JSON.
    pub fn value(&self) -> Arc<str> {
        serde_json::to_string(self)
            .expect("serializing a claim row can't fail: it contains no maps")
            .into()
    }

    /// The refusal for another request with the same key.
    pub fn refusal(&self, view: &View) -> Refusal {
        match (self.state, self.outcome) {
            (ClaimState::Ended, None | Some(Outcome::Failed)) => already_ran(Ran::Unknown),
            (ClaimState::Ended, Some(_)) => already_ran(Ran::Yes),
            (ClaimState::Claimed, _) if self.owner_is_alive(view) => {
                Refusal::with_ran(RefusalCode::InProgress, Ran::Unknown)
            }
            (ClaimState::Claimed, _) => already_ran(Ran::Unknown),
        }
    }

    fn owner_is_alive(&self, view: &View) -> bool {
        if self.node == view.node.id {
            return self.incarnation == view.node.incarnation;
        }
        view.members
            .get(&self.node)
            .is_some_and(|member| member.incarnation == self.incarnation)
    }
}

/// The refusal when a row can't be parsed: since somebody wrote it, the request may have run.
pub(super) fn unreadable_row_refusal() -> Refusal {
    already_ran(Ran::Unknown)
}

fn already_ran(ran: Ran) -> Refusal {
    Refusal::with_ran(RefusalCode::AlreadyRan, ran)
}

/// Row key of a claim. The caller's text may contain any character, so it is hashed instead of stored in the
/// key.
pub(super) fn row_key(key: &RequestKey) -> Arc<str> {
    let hash = xxh3_128(key.text.as_bytes());
    format!("claim/{}/{hash:032x}", key.account).into()
}
