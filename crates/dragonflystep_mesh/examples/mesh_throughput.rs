//! Measures one link over loopback: messages a second, and bytes a message.
//!
//! Run it with `cargo run --release -p dragonflystep_mesh --example mesh_throughput`. For each kind of
//! message it prints
//!
//! - `alone_bytes`: the message as it stands alone,
//! - `single_bytes`: what both directions of the link carry for one message in a batch of its own,
//! - `batched_bytes`: the same for one message when the link is busy and batches are full,
//! - `rate`: messages a second through a busy link.

use {
    dragonflystep_core::{
        ids::NodeId,
        message::{Ask, AskName, Finished, GrantName, Granted, Message, Probe},
        request::Outcome,
    },
    dragonflystep_mesh::{Mesh, MeshCounters, MeshEvent, MeshSettings, to_bytes},
    std::{
        error::Error,
        io::{Write, stdout},
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel},
};

/// Messages of a busy link for each kind.
const BUSY_MESSAGES: u32 = 500_000;
/// Messages that wait for the link at most; the measurement sends no more than it can take.
const QUEUED_MESSAGES: u32 = 4096;
/// Messages that are sent one by one for each kind.
const SINGLE_MESSAGES: u32 = 2000;

struct Pair {
    sender: Mesh,
    receiver: NodeId,
    address: Arc<str>,
    events: UnboundedReceiver<MeshEvent>,
    _receiving: Mesh,
}

impl Pair {
    fn start() -> Result<Self, Box<dyn Error>> {
        let (events, _) = unbounded_channel();
        let (sender, _) = Mesh::start(settings("entry-01"), events)?;
        let (events, received) = unbounded_channel();
        let (receiving, address) = Mesh::start(settings("entry-02"), events)?;
        Ok(Self {
            sender,
            receiver: "entry-02".into(),
            address: address.to_string().into(),
            events: received,
            _receiving: receiving,
        })
    }

    /// Sends `count` messages, of which at most `window` are under way, and returns how long it took.
    async fn send(&mut self, message: &Message, count: u32, window: u32) -> Duration {
        let started_at = Instant::now();
        let mut sent = 0;
        for arrived in 0..count {
            while sent < count && sent < arrived + window {
                self.sender
                    .send(&self.receiver, &self.address, message.clone());
                sent += 1;
            }
            self.events.recv().await;
        }
        let took = started_at.elapsed();
        // The last answer may still be on its way, and its bytes are counted too.
        tokio::time::sleep(Duration::from_millis(50)).await;
        took
    }

    fn carried_bytes(&self) -> u64 {
        let MeshCounters {
            sent_bytes,
            received_bytes,
            ..
        } = self.sender.counters();
        sent_bytes + received_bytes
    }
}

fn settings(node: &str) -> MeshSettings {
    MeshSettings {
        node: node.into(),
        listen_address: SocketAddr::from(([127, 0, 0, 1], 0)),
        key: "a key for the measurement".into(),
        call_timeout: Duration::from_secs(30),
        connect_timeout: Duration::from_secs(30),
        max_queued_messages: QUEUED_MESSAGES as usize,
    }
}

fn ask(prefix_blocks: u64) -> Message {
    Message::Ask(Ask {
        name: ask_name(),
        service: "chat-large".into(),
        account: "team-search".into(),
        tier: 1,
        time_left: Duration::from_secs(20),
        cancellable: true,
        prefix_blocks: (0..prefix_blocks).collect(),
        prompt_tokens: 2000,
        output_tokens: 300,
        fingerprint: u64::MAX,
    })
}

fn ask_name() -> AskName {
    AskName {
        group: "chat-large-g017".into(),
        request: 123_456,
        asked_at: Duration::from_secs(86_400),
    }
}

fn grant_name() -> GrantName {
    GrantName {
        group: "chat-large-g017".into(),
        epoch: 12,
        grant: 123_456,
    }
}

fn kinds() -> Vec<(&'static str, Message)> {
    vec![
        ("ask_no_blocks", ask(0)),
        ("ask_32_blocks", ask(32)),
        (
            "granted",
            Message::Granted(Granted {
                ask: ask_name(),
                grant: grant_name(),
                upstream: "chat-large-w0071".into(),
                valid_for: Duration::from_secs(2),
                queued_for: Duration::from_millis(40),
                cached_tokens: 512,
            }),
        ),
        (
            "finished",
            Message::Finished(Finished {
                grant: grant_name(),
                outcome: Outcome::Completed,
                first_token_after: Some(Duration::from_millis(300)),
                streamed_for: Duration::from_secs(6),
                tokens: 300,
                cached_tokens: Some(512),
            }),
        ),
        (
            "probe",
            Message::Probe(Probe {
                incarnation: u64::MAX,
                data_centre: "north".into(),
                catalogue_version: 1234,
                catalogue_age: Some(Duration::from_secs(1)),
                change_in_flight: false,
                leaving: false,
                sent_at: Duration::from_secs(86_400),
            }),
        ),
    ]
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut output = stdout();
    for (name, message) in kinds() {
        let mut pair = Pair::start()?;
        // The connection is opened before anything is counted.
        pair.send(&message, 1, 1).await;

        let before_bytes = pair.carried_bytes();
        pair.send(&message, SINGLE_MESSAGES, 1).await;
        let single_bytes = pair.carried_bytes() - before_bytes;

        let before_bytes = pair.carried_bytes();
        let took = pair.send(&message, BUSY_MESSAGES, QUEUED_MESSAGES).await;
        let rate = f64::from(BUSY_MESSAGES) / took.as_secs_f64();
        let busy_bytes = pair.carried_bytes() - before_bytes;

        writeln!(
            output,
            "{name}: alone_bytes {} single_bytes {} batched_bytes {} rate {rate:.0}",
            to_bytes(&message)?.len(),
            single_bytes / u64::from(SINGLE_MESSAGES),
            busy_bytes / u64::from(BUSY_MESSAGES),
        )?;
        let counters = pair.sender.counters();
        if counters.messages_lost + counters.messages_dropped > 0 {
            writeln!(output, "{name}: not all messages arrived: {counters:?}")?;
        }
    }
    Ok(())
}
