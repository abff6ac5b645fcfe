//! Types of the names and numbers that identify parts of the system.

use std::sync::Arc;

/// Name of one node, the process on one entry VM.
pub type NodeId = Arc<str>;
/// Number drawn at each start of a node, which distinguishes a restarted node from its earlier process.
pub type Incarnation = u64;
/// Name of one upstream: one instance of a service, which answers requests.
pub type UpstreamId = Arc<str>;
/// Name of a service: a set of upstreams that can answer the same requests.
pub type ServiceId = Arc<str>;
/// Name of a group: a few upstreams of one service for which one broker makes the grants.
pub type GroupId = Arc<str>;
/// Name of a client account.
pub type AccountId = Arc<str>;
/// Name of a data centre.
pub type DataCentreId = Arc<str>;
/// Rank of a tier; 0 is the most urgent.
pub type Tier = u8;
/// Number of a request, unique within the node that received it.
pub type RequestId = u64;
/// Number of a grant, unique within one group and epoch.
pub type GrantId = u64;
/// Number of a lease term; increases by one with every change of holder.
pub type Epoch = u64;
/// Number of a catalogue version; increases by one with every accepted change.
pub type CatalogueVersion = u64;
/// Number of a call to the administration API, unique within one node.
pub type AdminCallId = u64;
/// Hash of a prompt's prefix up to the end of one block.
pub type BlockHash = u64;
/// Hash of a client account and the content of its request.
pub type Fingerprint = u64;
/// Version of a row in the table service.
pub type RowVersion = u64;
