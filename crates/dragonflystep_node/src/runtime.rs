//! The one task that touches the reducer.

use {
    crate::{
        clock::NodeClock,
        observe::{Observer, write_log},
        table_driver::{call_objects, call_table},
        timers::Timers,
        view::ViewPublisher,
    },
    dragonflystep_core::{Effect, Event, State, ids::NodeId, message::Message},
    dragonflystep_gateway::Gateway,
    dragonflystep_mesh::{Mesh, MeshEvent},
    dragonflystep_platform::PlatformClient,
    std::{collections::VecDeque, time::Duration},
    tokio::{
        sync::mpsc::{UnboundedReceiver, UnboundedSender},
        time::sleep,
    },
};

/// How often the gauges are sent.
const GAUGE_INTERVAL: Duration = Duration::from_secs(5);
/// How often an ending node looks whether its last answers have been written.
const LAST_ANSWERS_INTERVAL: Duration = Duration::from_millis(20);
/// How long an ending node waits for callers to take their last answers.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(10);

/// Everything that carries out effects.
pub struct Drivers {
    /// HTTP towards callers, operators and upstreams.
    pub gateway: Gateway,
    /// Links to other nodes.
    pub mesh: Mesh,
    /// Client of the platform.
    pub platform: PlatformClient,
    /// Counts, metrics and logs.
    pub observer: Observer,
}

/// The reducer with its timers and drivers.
pub struct Runtime {
    /// State of the reducer.
    pub state: State,
    /// The node's clock.
    pub clock: NodeClock,
    /// Drivers.
    pub drivers: Drivers,
    /// Publishes what the HTTP side sees.
    pub publisher: ViewPublisher,
    /// Events of the drivers.
    pub events: UnboundedReceiver<Event>,
    /// Where the drivers send their events.
    pub event_sender: UnboundedSender<Event>,
    /// Events of the links to other nodes.
    pub mesh_events: UnboundedReceiver<MeshEvent>,
    /// Timers.
    pub timers: Timers,
}

/// Whether the node goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Goes,
    Ends,
}

impl Runtime {
    /// Handles events until the reducer says that the node may exit.
    pub async fn run(mut self) {
        let mut next_gauges = GAUGE_INTERVAL;
        let mut life = self.handle(Event::Started);
        while life == Life::Goes {
            let Some(event) = self.next_event().await else {
                break;
            };
            life = self.handle(event);
            self.publisher.publish(&self.state);
            if self.clock.now() >= next_gauges {
                next_gauges = self.clock.now() + GAUGE_INTERVAL;
                self.send_gauges();
            }
        }
        self.finish_answers().await;
        self.drivers.gateway.stop();
        self.drivers.mesh.stop();
    }

    /// Waits for the next event; none when the drivers are gone.
    async fn next_event(&mut self) -> Option<Event> {
        loop {
            let now = self.clock.now();
            // A timer that is due goes first: a flood of other events must not hold back a deadline.
            if let Some(timer) = self.timers.take_due(now) {
                return Some(Event::TimerFired(timer));
            }
            let until_timer = self
                .timers
                .next_at()
                .map_or(GAUGE_INTERVAL, |at| at.saturating_sub(now));
            tokio::select! {
                event = self.events.recv() => return event,
                event = self.mesh_events.recv() => return event.map(from_mesh),
                () = sleep(until_timer) => {}
            }
        }
    }

    /// Reduces one event, and the messages that the node sends to itself on the way.
    fn handle(&mut self, event: Event) -> Life {
        let mut waiting = VecDeque::from([event]);
        let mut life = Life::Goes;
        while let Some(event) = waiting.pop_front() {
            let effects = self.state.reduce(self.clock.now(), event);
            for effect in effects {
                match effect {
                    Effect::Exit => life = Life::Ends,
                    Effect::Send { to, message } if to == self.state.view.node.id => {
                        waiting.push_back(Event::MessageReceived { from: to, message });
                    }
                    effect => self.carry_out(effect),
                }
            }
        }
        life
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::StartTimer { at, timer } => self.timers.start(at, timer),
            Effect::Send { to, message } => self.send(&to, message),
            Effect::CallTable { call, operation } => {
                call_table(&self.drivers.platform, &self.event_sender, call, operation);
            }
            Effect::CallObjects { call, operation } => {
                call_objects(&self.drivers.platform, &self.event_sender, call, operation);
            }
            Effect::Record(record) => self.drivers.observer.record(&self.state.view, &record),
            Effect::Log(line) => write_log(&line),
            effect => self.drivers.gateway.carry_out(effect),
        }
    }

    fn send(&self, to: &NodeId, message: Message) {
        let Some(member) = self.state.view.members.get(to) else {
            log::debug!("no address known for node {to}");
            return;
        };
        self.drivers.mesh.send(to, &member.mesh_address, message);
    }

    fn send_gauges(&self) {
        let open_requests = self.state.entry.open_requests();
        let counters = self.drivers.mesh.counters();
        self.drivers
            .observer
            .gauges(&self.state.view, open_requests, &counters);
    }

    /// Lets callers take the answers that were finished just now.
    async fn finish_answers(&self) {
        let started_at = self.clock.now();
        while self.drivers.gateway.open_answers() > 0 {
            if self.clock.now().saturating_sub(started_at) > LAST_ANSWERS_TIMEOUT {
                log::warn!("callers did not take their last answers");
                return;
            }
            sleep(LAST_ANSWERS_INTERVAL).await;
        }
    }
}

fn from_mesh(event: MeshEvent) -> Event {
    match event {
        MeshEvent::Received { from, message } => Event::MessageReceived { from, message },
        MeshEvent::PeerLost { node } => Event::PeerLost { node },
    }
}
