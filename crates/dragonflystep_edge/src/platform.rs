//! The interface between a node and the adapter of the platform on which it runs.

use {
    crate::node::Node,
    dragonflystep_dispatch::{CrashEvidence, RolloutStep, StreamVersion, VersionHistory},
    std::{future::Future, pin::Pin, rc::Rc},
};

/// A call to the platform's adapter; it reports results to the node instead of returning them.
pub type PlatformFuture = Pin<Box<dyn Future<Output = ()>>>;

/// An adapter of the platform.
///
/// It passes documents to the node ([`Node::apply_catalogue`], [`Node::apply_registry`], [`Node::apply_members`])
/// and keeps the node's entry in the platform's list of nodes.
pub trait Platform {
    /// Follows the platform's documents for as long as the node runs.
    fn follow(self: Rc<Self>, node: Rc<Node>) -> PlatformFuture;

    /// Writes a step of a roll-out, so that the operator sees the phase and later owners continue from it.
    /// Completes once the step is written or is no longer current.
    fn publish_rollout(self: Rc<Self>, node: Rc<Node>, step: RolloutStep) -> PlatformFuture;

    /// Keeps the crashes of the content that the owner refuses, so that nodes know of them that start when no other one runs.
    /// Completes once they are written or are no longer current.
    fn publish_refused_content(
        self: Rc<Self>,
        node: Rc<Node>,
        refused: CrashEvidence,
    ) -> PlatformFuture;

    /// Reads what the platform keeps of streams and passes it to [`Node::restore_streams`]. Completes once it is read; reports
    /// the first failure to [`Node::record_restore_failure`].
    fn restore_streams(self: Rc<Self>, node: Rc<Node>) -> PlatformFuture;

    /// Keeps at which software versions streams began, until they can't be resumed any more. Completes once they are written,
    /// or were passed to [`Node::mark_streams_unkept`] because they could not be.
    fn keep_streams(self: Rc<Self>, node: Rc<Node>, streams: Vec<StreamVersion>) -> PlatformFuture;

    /// Keeps which software versions the upstreams of each service had lately, beside those that are kept already. Completes
    /// once they are written or are no longer current.
    fn keep_version_history(
        self: Rc<Self>,
        node: Rc<Node>,
        history: VersionHistory,
    ) -> PlatformFuture;

    /// Removes the node from the platform's list before it stops.
    fn withdraw(self: Rc<Self>, node: Rc<Node>) -> PlatformFuture;
}
