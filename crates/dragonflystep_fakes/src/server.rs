//! An HTTP server of a stand-in: one address that obeys faults and one for control that does not.

use {
    crate::connection::{ConnectionControl, FaultAcceptor},
    salvo::{Router, Server},
    std::{io, net::SocketAddr},
    tokio::task::JoinHandle,
};

/// Two listeners over the same calls; they end when dropped.
pub(crate) struct FakeServer {
    address: SocketAddr,
    control_address: SocketAddr,
    connections: ConnectionControl,
    control_connections: ConnectionControl,
    tasks: Vec<JoinHandle<()>>,
}

impl FakeServer {
    pub(crate) async fn start(
        address: SocketAddr,
        connections: ConnectionControl,
        router: impl Fn() -> Router,
    ) -> io::Result<Self> {
        let control_connections = ConnectionControl::default();
        let any_port = SocketAddr::new(address.ip(), 0);
        let main = FaultAcceptor::bind(address, connections.clone()).await?;
        let control = FaultAcceptor::bind(any_port, control_connections.clone()).await?;
        let address = main.address();
        let control_address = control.address();
        let tasks = [main, control]
            .map(|acceptor| tokio::spawn(Server::new(acceptor).serve(router())))
            .into();
        Ok(Self {
            address,
            control_address,
            connections,
            control_connections,
            tasks,
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    pub(crate) fn connections(&self) -> &ConnectionControl {
        &self.connections
    }

    /// Breaks all connections and waits until nothing listens any more.
    pub(crate) async fn stop(&mut self) {
        self.end();
        for task in self.tasks.drain(..) {
            // An aborted task ends with an error by design.
            let _ = task.await;
        }
    }

    fn end(&self) {
        self.connections.close();
        self.control_connections.close();
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.end();
    }
}
