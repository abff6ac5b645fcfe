//! `dragonflystep fake`: runs a stand-in as a process of its own, so that tests can kill and freeze it.

use {
    super::{Failure, output},
    argh::FromArgs,
    dragonflystep::fakes::{
        engine::{EngineFake, EngineFakeSettings},
        engine_model::EngineShape,
        platform::PlatformFake,
        service::{ServiceFake, ServiceFakeSettings},
    },
    std::{future, net::SocketAddr, time::Duration},
};

/// Runs a stand-in for an external system; for trials and tests only.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "fake")]
pub struct FakeCommand {
    #[argh(subcommand)]
    kind: Kind,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Kind {
    Engine(Engine),
    Platform(Platform),
    Service(Service),
}

/// Runs a stand-in for a model engine.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "engine")]
struct Engine {
    /// address to listen on; port 0 selects a free port
    #[argh(option, default = "loopback()")]
    listen: SocketAddr,
    /// prompt tokens computed per second
    #[argh(option, default = "20000.0")]
    prefill_tokens_per_s: f64,
    /// duration of a decode step, in milliseconds
    #[argh(option, default = "10")]
    decode_step_ms: u64,
    /// maximum number of streams that run at once
    #[argh(option, default = "16")]
    max_batch: u32,
    /// size of the prefix cache, in blocks of 64 tokens
    #[argh(option, default = "4096")]
    cache_blocks: u32,
    /// accept dispatches with an outdated fencing number
    #[argh(switch)]
    ignores_fencing: bool,
}

/// Runs a stand-in for the platform: table service, object store and VM list.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "platform")]
struct Platform {
    /// address to listen on; port 0 selects a free port
    #[argh(option, default = "loopback()")]
    listen: SocketAddr,
    /// key with which nodes have to authenticate
    #[argh(option)]
    key: String,
}

/// Runs a stand-in for a plain service.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "service")]
struct Service {
    /// address to listen on; port 0 selects a free port
    #[argh(option, default = "loopback()")]
    listen: SocketAddr,
    /// time between the effect of a call and its answer, in milliseconds
    #[argh(option, default = "20")]
    latency_ms: u64,
    /// answer requests for the load with status 404
    #[argh(switch)]
    no_load_reports: bool,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl FakeCommand {
    pub async fn run(self) -> Result<(), Failure> {
        match self.kind {
            Kind::Engine(engine) => engine.run().await,
            Kind::Platform(platform) => platform.run().await,
            Kind::Service(service) => service.run().await,
        }
    }
}

impl Engine {
    async fn run(self) -> Result<(), Failure> {
        let mut settings = EngineFakeSettings::new(EngineShape {
            prefill_tokens_per_s: self.prefill_tokens_per_s,
            decode_step: Duration::from_millis(self.decode_step_ms),
            decode_step_per_stream: Duration::from_micros(200),
            max_batch: self.max_batch,
            cache_blocks: self.cache_blocks,
            load_lag: Duration::from_secs(1),
        });
        settings.checks_fencing = !self.ignores_fencing;
        let engine = EngineFake::start(self.listen, settings).await?;
        serve_until_terminated(engine.address(), engine.control_address()).await
    }
}

impl Platform {
    async fn run(self) -> Result<(), Failure> {
        let platform = PlatformFake::start(self.listen, &self.key).await?;
        serve_until_terminated(platform.address(), platform.address()).await
    }
}

impl Service {
    async fn run(self) -> Result<(), Failure> {
        let settings = ServiceFakeSettings {
            latency: Duration::from_millis(self.latency_ms),
            reports_load: !self.no_load_reports,
            ..ServiceFakeSettings::default()
        };
        let service = ServiceFake::start(self.listen, settings).await?;
        serve_until_terminated(service.address(), service.control_address()).await
    }
}

/// Prints both addresses on standard output, then runs until the process is terminated.
///
/// The control address injects faults and serves the records; injected faults do not affect it.
async fn serve_until_terminated(address: SocketAddr, control: SocketAddr) -> Result<(), Failure> {
    output::text(&format!("listening on {address}\ncontrol on {control}"));
    future::pending().await
}
