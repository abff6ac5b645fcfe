//! Commands of operators to the administration API, and their answers.

use {
    crate::{
        catalogue::{Catalogue, CatalogueChange, ChangeFault, Edit},
        ids::{CatalogueVersion, GroupId, NodeId},
    },
    std::sync::Arc,
};

/// A command from an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminCommand {
    /// The catalogue in force on this node.
    ShowCatalogue,
    /// Changes the catalogue, based on a version.
    ChangeCatalogue {
        /// Catalogue version that the edits are based on.
        based_on: CatalogueVersion,
        /// Name of the operator who makes the change.
        author: Arc<str>,
        /// Reason for the change.
        reason: Arc<str>,
        /// Unique text of the call. A repeated call with the same token is treated as the same change.
        token: Arc<str>,
        /// Edits that make up the change.
        edits: Vec<Edit>,
    },
    /// Shows the changes since a version, newest last.
    ShowHistory {
        /// First version to include.
        since: CatalogueVersion,
    },
    /// Shows the catalogue version in force on each node, and the holder of each group.
    ShowStatus,
}

/// Answer to an operator's command.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminAnswer {
    /// The catalogue in force on this node.
    Catalogue(Arc<Catalogue>),
    /// The change was accepted.
    Accepted {
        /// Catalogue version that the change created.
        version: CatalogueVersion,
        /// Live nodes that have not confirmed the version yet.
        unconfirmed_nodes: Vec<NodeId>,
    },
    /// The change was not made, or its outcome could not be determined.
    Rejected {
        /// Catalogue version in force on this node.
        current: CatalogueVersion,
        /// All faults that were found in the change.
        faults: Vec<ChangeFault>,
    },
    /// Changes, newest last. Changes that are older than the kept history are missing.
    History(Vec<CatalogueChange>),
    /// State of the system as known to this node.
    Status(SystemStatus),
}

/// State of the system as known to one node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SystemStatus {
    /// Each node with the catalogue version that is in force there.
    pub nodes: Vec<NodeStatus>,
    /// Each group with its holder.
    pub groups: Vec<GroupStatus>,
}

/// State of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: NodeId,
    /// Newest catalogue version that the node is known to have in force.
    pub catalogue_version: CatalogueVersion,
    /// Whether the node is leaving.
    pub leaving: bool,
    /// Milliseconds since the last message from the node arrived.
    pub silent_ms: u64,
}

/// Holder of one group.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupStatus {
    /// Name of the group.
    pub group: GroupId,
    /// Node that holds the group; `None` when it is not known.
    pub holder: Option<NodeId>,
    /// Epoch of the holder's lease.
    pub epoch: u64,
}
