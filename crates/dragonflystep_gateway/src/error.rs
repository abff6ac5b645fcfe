//! What can go wrong in the gateway itself, apart from what callers and operators are told.

/// A fault that keeps the gateway from its work.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The gateway was made outside of a tokio runtime, on which its tasks have to run.
    #[error("the gateway needs a running tokio runtime")]
    NoRuntime(#[from] tokio::runtime::TryCurrentError),
    /// The client towards upstreams can't be made.
    #[error("the client towards upstreams can't be made")]
    Client(#[from] reqwest::Error),
    /// A listener failed for good.
    #[error("a listener failed")]
    Listener(#[from] std::io::Error),
}
