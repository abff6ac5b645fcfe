//! Format of the node rows and group rows in the table service.

use {
    crate::{
        ids::{CatalogueVersion, DataCentreId, Epoch, Incarnation, NodeId},
        table::Row,
    },
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Key prefix of the node rows.
pub const NODE_PREFIX: &str = "node/";
/// Key prefix of the group rows.
pub const GROUP_PREFIX: &str = "group/";
/// Incarnation in the row of a released group; no process ever has it.
const RELEASED_INCARNATION: Incarnation = 0;

/// Row of a node: its entry in the member list, and the renewal of all leases that it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// Incarnation that wrote the row.
    pub incarnation: Incarnation,
    /// Data centre in which the node runs.
    pub data_centre: DataCentreId,
    /// Address at which other nodes reach the node.
    pub mesh_address: Arc<str>,
    /// Address at which callers reach the node.
    pub caller_address: Arc<str>,
    /// Name of the node's VM in the platform's VM list; absent when the node's settings name none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vm: Option<Arc<str>>,
    /// Whether the node is stopping.
    pub leaving: bool,
    /// How long the renewal is valid, in milliseconds; the node counts from before it sent the renewal.
    pub lease_duration_ms: u64,
    /// Number of the renewal within the incarnation. After a lost answer it shows whether the renewal took
    /// effect.
    pub renewal: u64,
    /// Catalogue version in force at the node.
    pub catalogue_version: CatalogueVersion,
    /// Whether the row is fenced, by a candidate that took over or by the stopping node itself. All leases of
    /// the incarnation are void then.
    pub fenced: bool,
}

impl NodeRow {
    /// Whether this row is `before` with `fenced` set and no other change.
    pub fn is_fence_of(&self, before: &Self) -> bool {
        let fenced = Self {
            fenced: true,
            ..before.clone()
        };
        *self == fenced
    }

    /// How long the renewal is valid.
    pub fn lease_duration(&self) -> Duration {
        Duration::from_millis(self.lease_duration_ms)
    }
}

/// Row of a group: who holds its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRow {
    /// Node that holds the lease, or that released it last.
    pub holder: NodeId,
    /// Incarnation of the holder; 0 when the lease was released.
    pub incarnation: Incarnation,
    /// Lease epoch; increases by one with every change of holder.
    pub epoch: Epoch,
    /// Nodes of which a majority can extend the lease while the platform is unavailable, and must agree to a
    /// takeover.
    ///
    /// Empty while the holder knows of no other node and has not been alone for long, and after it released the
    /// lease. Nobody can extend the lease then.
    pub voters: Vec<NodeId>,
}

impl GroupRow {
    /// The row that releases this lease. The holder must have stopped granting before it is written.
    pub fn released(&self) -> Self {
        Self {
            holder: self.holder.clone(),
            incarnation: RELEASED_INCARNATION,
            epoch: self.epoch + 1,
            voters: Vec::new(),
        }
    }

    /// Whether the last holder released the lease.
    pub fn is_released(&self) -> bool {
        self.incarnation == RELEASED_INCARNATION
    }
}

/// Key of a node's row.
///
/// # Examples
/// ```
/// assert_eq!(&*dragonflystep_core::lease::node_key("entry-1"), "node/entry-1");
/// ```
pub fn node_key(node: &str) -> Arc<str> {
    format!("{NODE_PREFIX}{node}").into()
}

/// Key of a group's row.
///
/// # Examples
/// ```
/// assert_eq!(&*dragonflystep_core::lease::group_key("pool-1"), "group/pool-1");
/// ```
pub fn group_key(group: &str) -> Arc<str> {
    format!("{GROUP_PREFIX}{group}").into()
}

/// Node name and content of a node row; `None` for any other row or for content that can't be parsed.
pub fn read_node_row(row: &Row) -> Option<(NodeId, NodeRow)> {
    let node = row.key.strip_prefix(NODE_PREFIX)?;
    let content = serde_json::from_str(&row.value).ok()?;
    Some((node.into(), content))
}

/// Group name and content of a group row; `None` for any other row or for content that can't be parsed.
pub fn read_group_row(row: &Row) -> Option<(Arc<str>, GroupRow)> {
    let group = row.key.strip_prefix(GROUP_PREFIX)?;
    let content = serde_json::from_str(&row.value).ok()?;
    Some((group.into(), content))
}

/// Content of a row as JSON text.
pub fn to_value<T: Serialize>(content: &T) -> Arc<str> {
    serde_json::to_string(content)
        .expect("rows hold only text, numbers and lists, which JSON can always express")
        .into()
}
