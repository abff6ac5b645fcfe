//! A stand-in for a plain service, such as a workshop ledger.
//!
//! - `POST /orders...` takes effect each time it runs; the records count how often each body and each request id ran.
//! - `GET /stock/<n>` answers [`stock_of`] the item.
//! - Any other call is answered with its own method, path, body and headers.
//! - `GET /v1/load`, where the service reports its load.
//! - `GET /records` and `POST /faults`, also on an address of their own, which no fault touches.

mod faults;
mod http;
mod records;
mod state;

pub use {
    faults::ServiceFault,
    records::{CallRecord, ServiceRecords},
};

use {
    crate::{connection::ConnectionControl, server::FakeServer},
    state::Service,
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
};

/// Settings of a plain-service stand-in.
#[derive(Debug, Clone, Default)]
pub struct ServiceFakeSettings {
    /// Time between the effect of a call and its answer.
    pub latency: Duration,
    /// Whether it refuses calls with a lower fencing number than it has seen.
    pub checks_fencing: bool,
    /// Whether it reports its load.
    pub reports_load: bool,
}

/// Stock of an item, a fixed function of its number.
///
/// # Examples
///
/// ```
/// use dragonflystep_fakes::service::stock_of;
///
/// assert_eq!(stock_of(7), stock_of(7));
/// ```
pub fn stock_of(item: u64) -> u64 {
    item.wrapping_mul(7_919) % 1_000
}

/// A running plain-service stand-in; it ends when dropped.
///
/// # Examples
///
/// ```
/// use dragonflystep_fakes::service::{ServiceFake, ServiceFakeSettings, ServiceFault};
///
/// # tokio::runtime::Runtime::new()?.block_on(async {
/// let service = ServiceFake::start(([127, 0, 0, 1], 0).into(), ServiceFakeSettings::default()).await?;
/// service.fault(ServiceFault::CloseBeforeAnswer { count: 1 });
/// assert_eq!(service.records().runs_of(b"2 kg of copper"), 0);
/// service.stop().await;
/// # Ok::<(), std::io::Error>(())
/// # })?;
/// # Ok::<(), std::io::Error>(())
/// ```
pub struct ServiceFake {
    server: FakeServer,
    service: Arc<Service>,
}

impl ServiceFake {
    /// Listens on `address` (port 0 takes a free one) and on a control address of the same host.
    ///
    /// # Errors
    ///
    /// When an address can't be listened on.
    pub async fn start(address: SocketAddr, settings: ServiceFakeSettings) -> io::Result<Self> {
        let control = ConnectionControl::default();
        let service = Arc::new(Service::new(settings, control.clone()));
        let server = FakeServer::start(address, control, || http::router(&service)).await?;
        Ok(Self { server, service })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Where `GET /records` and `POST /faults` work whatever faults are in force.
    pub fn control_address(&self) -> SocketAddr {
        self.server.control_address()
    }

    /// What it saw and did so far.
    pub fn records(&self) -> ServiceRecords {
        self.service.records()
    }

    /// Puts a fault in force.
    pub fn fault(&self, fault: ServiceFault) {
        self.service.apply(fault);
    }

    /// The connections, for faults below HTTP.
    pub fn connections(&self) -> &ConnectionControl {
        self.server.connections()
    }

    /// Breaks all connections and stops listening; returns when the addresses are free.
    pub async fn stop(mut self) {
        self.server.stop().await;
    }
}
