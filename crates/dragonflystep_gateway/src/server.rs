//! Serving a listener until the gateway is stopped.

use {
    crate::{callers::cut::ConnectionFuse, error::GatewayError, gateway::Shared},
    salvo::{Server, Service, conn::tcp::TcpAcceptor, fuse::FuseInfo},
    std::{sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::watch},
};

/// Smallest head limit that the HTTP library takes.
const MIN_HEADER_BYTES: usize = 8192;
/// Longest time for the last bytes of finished answers to leave after a stop.
const FLUSH_TIME: Duration = Duration::from_secs(10);

/// Tells all servers that the gateway stops.
pub(crate) struct Stop {
    requested: watch::Sender<bool>,
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            requested: watch::Sender::new(false),
        }
    }
}

impl Stop {
    /// Asks all servers to stop.
    pub(crate) fn request(&self) {
        self.requested.send_replace(true);
    }

    /// Waits until a stop is asked for.
    pub(crate) async fn requested(&self) {
        let mut requested = self.requested.subscribe();
        // The sender lives as long as `self`, so waiting can't fail.
        let _ = requested.wait_for(|requested| *requested).await;
    }
}

/// Serves until a stop, then until the answers in flight are written.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    listener: TcpListener,
    service: Service,
) -> Result<(), GatewayError> {
    let acceptor = TcpAcceptor::try_from(listener)?;
    let connections = shared.connections.clone();
    let idle_timeout = shared.timeouts.caller_idle;
    let mut server = Server::new(acceptor).fuse_factory(move |info: FuseInfo| {
        ConnectionFuse::new(&connections, info.remote_addr, idle_timeout)
    });
    // Vectored writes would not show in the fuse how many bytes a caller took.
    server
        .http1_mut()
        .writev(false)
        .max_buf_size(shared.settings.max_header_bytes.max(MIN_HEADER_BYTES));
    let handle = server.handle();
    let stop = async {
        shared.stop.requested().await;
        shared.open_answers.none_left().await;
        handle.stop_graceful(FLUSH_TIME);
        shared.connections.cut_unused();
        std::future::pending::<()>().await;
    };
    tokio::select! {
        result = server.try_serve(service) => Ok(result?),
        () = stop => Ok(()),
    }
}
