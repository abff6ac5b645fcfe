//! What a node needs of the platform that it runs on.

use {
    crate::node::Node,
    dragonflystep_dispatch::RolloutStep,
    std::{future::Future, pin::Pin, rc::Rc},
};

/// A call to the platform.
pub type PlatformFuture = Pin<Box<dyn Future<Output = ()>>>;

/// The platform behind an adapter.
///
/// The adapter hands what it learns to the node ([`Node::learn_catalogue`], [`Node::learn_registry`],
/// [`Node::learn_members`]) and lists the node for others.
pub trait Platform {
    /// Follows the platform's documents for as long as the node runs.
    fn follow(self: Rc<Self>, node: Rc<Node>) -> PlatformFuture;

    /// Writes how a roll-out stands, so that the operator sees it and later owners go on with it; returns once it is
    /// written, or something else was decided.
    fn publish_rollout(self: Rc<Self>, node: Rc<Node>, step: RolloutStep) -> PlatformFuture;

    /// Takes the node off the platform's list before it stops.
    fn withdraw(self: Rc<Self>, node: Rc<Node>) -> PlatformFuture;
}
