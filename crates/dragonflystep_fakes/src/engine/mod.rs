//! A stand-in for a model engine over HTTP, in real time, timed by [`EngineModel`](crate::engine_model::EngineModel).
//!
//! It speaks "A node to an engine" of `docs/PROTOCOLS.md`. Beside that, `GET /records` gives what it saw and did, and
//! `POST /faults` takes an [`EngineFault`]; both are also served on an address of their own, which no fault touches.

mod cache_feed;
mod faults;
mod http;
mod records;
mod settings;
mod shared;
mod sse;
mod state;
mod stream;
mod text;

pub use {
    faults::EngineFault,
    records::{DispatchOutcome, DispatchRecord, EngineRecords},
    settings::{EngineFakeSettings, EngineLimits},
    text::{
        BYTES_PER_BLOCK, BYTES_PER_TOKEN, answer_text, content_hash, prefix_blocks, prompt_tokens,
        token_text,
    },
};

use {
    crate::{connection::ConnectionControl, server::FakeServer},
    shared::Engine,
    std::{io, net::SocketAddr, sync::Arc},
    tokio::task::JoinHandle,
};

/// A running engine stand-in; it ends when dropped.
///
/// # Examples
///
/// ```
/// use {
///     dragonflystep_fakes::{
///         engine::{EngineFake, EngineFakeSettings, EngineFault},
///         engine_model::EngineShape,
///     },
///     std::time::Duration,
/// };
///
/// # tokio::runtime::Runtime::new()?.block_on(async {
/// let shape = EngineShape {
///     prefill_tokens_per_s: 10_000.0,
///     decode_step: Duration::from_millis(5),
///     decode_step_per_stream: Duration::from_micros(100),
///     max_batch: 8,
///     cache_blocks: 1_000,
///     load_lag: Duration::from_millis(200),
/// };
/// let engine = EngineFake::start(([127, 0, 0, 1], 0).into(), EngineFakeSettings::new(shape)).await?;
/// engine.fault(EngineFault::Slow { factor: 4.0 });
/// assert!(engine.records().dispatches.is_empty());
/// engine.stop().await;
/// # Ok::<(), std::io::Error>(())
/// # })?;
/// # Ok::<(), std::io::Error>(())
/// ```
pub struct EngineFake {
    server: FakeServer,
    engine: Arc<Engine>,
    runner: JoinHandle<()>,
}

impl EngineFake {
    /// Listens on `address` (port 0 takes a free one) and on a control address of the same host.
    ///
    /// # Errors
    ///
    /// When an address can't be listened on.
    pub async fn start(address: SocketAddr, settings: EngineFakeSettings) -> io::Result<Self> {
        let control = ConnectionControl::default();
        let engine = Arc::new(Engine::new(settings, control.clone()));
        let server = FakeServer::start(address, control, || http::router(&engine)).await?;
        let runner = tokio::spawn(Arc::clone(&engine).run());
        Ok(Self {
            server,
            engine,
            runner,
        })
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
    pub fn records(&self) -> EngineRecords {
        self.engine.records()
    }

    /// Puts a fault in force.
    pub fn fault(&self, fault: EngineFault) {
        self.engine.apply(fault);
    }

    /// The connections, for faults below HTTP.
    pub fn connections(&self) -> &ConnectionControl {
        self.server.connections()
    }

    /// Breaks all connections and stops listening; returns when the addresses are free.
    pub async fn stop(mut self) {
        self.runner.abort();
        self.server.stop().await;
    }
}

impl Drop for EngineFake {
    fn drop(&mut self) {
        self.runner.abort();
    }
}
