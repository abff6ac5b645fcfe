//! The running stand-in.

use {
    super::{
        connections::ListedAcceptor, faults::FaultOrder, records::Records, server::router,
        state::Platform, table::TableModel, vms::VmNames,
    },
    salvo::{Server, conn::tcp::TcpAcceptor},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    thiserror::Error,
    tokio::{net::TcpListener, task::JoinHandle},
};

/// Why the stand-in could not start.
#[derive(Debug, Error)]
pub enum PlatformFakeError {
    /// The address can't be listened on.
    #[error("can't listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

/// A running stand-in for the platform; it ends with [`PlatformFake::stop`] or when it is dropped.
#[derive(Debug)]
pub struct PlatformFake {
    address: SocketAddr,
    platform: Arc<Platform>,
    serving: JoinHandle<()>,
}

impl PlatformFake {
    /// Starts on an address, where port 0 takes a free one; callers need `key`.
    ///
    /// # Errors
    /// When the address can't be listened on.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_fakes::platform::PlatformFake;
    /// # tokio::runtime::Runtime::new().expect("a runtime starts").block_on(async {
    /// let any_port = "127.0.0.1:0".parse().expect("an address");
    /// let fake = PlatformFake::start(any_port, "platform-key-0001").await.expect("it starts");
    /// assert_ne!(fake.address().port(), 0);
    /// fake.stop().await;
    /// # });
    /// ```
    pub async fn start(address: SocketAddr, key: &str) -> Result<Self, PlatformFakeError> {
        let refused = |source| PlatformFakeError::Listen { address, source };
        let listener = TcpListener::bind(address).await.map_err(refused)?;
        let acceptor = TcpAcceptor::try_from(listener).map_err(refused)?;
        let address = acceptor.local_addr().map_err(refused)?;
        let platform = Arc::new(Platform::new(key));
        let counting = platform.clone();
        let acceptor = ListedAcceptor::new(acceptor, platform.connections.clone(), move || {
            counting.record(|records| records.connections += 1);
        });
        let serving = tokio::spawn(Server::new(acceptor).serve(router(&platform)));
        Ok(Self {
            address,
            platform,
            serving,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counts since the start.
    pub fn records(&self) -> Records {
        self.platform.records()
    }

    /// Changes the faults.
    pub fn order(&self, order: &FaultOrder) {
        self.platform.order(order);
    }

    /// Takes every fault back.
    pub fn clear_faults(&self) {
        self.order(&FaultOrder {
            clear: true,
            ..FaultOrder::default()
        });
    }

    /// Changes the VM list; readers see it after the lag.
    pub fn set_vms(&self, names: VmNames) {
        self.platform.change_vms(names);
    }

    /// Sets how long later changes of the VM list take to show.
    pub fn set_vm_lag(&self, lag: Duration) {
        self.platform.set_vm_lag(lag);
    }

    /// A copy of the table as it is now.
    pub fn table(&self) -> TableModel {
        self.platform.table()
    }

    /// Stops listening and closes every connection without an answer.
    pub async fn stop(mut self) {
        self.serving.abort();
        // The listener is gone once the task has ended, so that the port is free afterwards.
        let _ended = (&mut self.serving).await;
        self.platform.connections.close_all();
    }
}

impl Drop for PlatformFake {
    fn drop(&mut self) {
        self.serving.abort();
        self.platform.connections.close_all();
    }
}
