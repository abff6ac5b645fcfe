//! Connections from entries to upstreams: dispatch, progress, loss, resume and cancel.

use {
    super::{
        World,
        heap::{Happening, NodeInput},
    },
    crate::record::StreamRecord,
    dragonflystep_core::{Event, event::UpstreamEvent, ids::RequestId, message::GrantName},
    rand::Rng,
    std::{sync::Arc, time::Duration},
};

/// A connection from an entry to an upstream.
#[derive(Debug)]
pub struct Connection {
    /// Its number on the node.
    pub number: u64,
    /// Index of the upstream.
    pub upstream: usize,
    /// The grant.
    pub grant: GrantName,
    /// When the grant is dead.
    pub valid_until: Duration,
    /// Longest time without progress.
    pub progress_timeout: Duration,
    /// Index of the stream, once the first byte is out.
    pub stream: Option<usize>,
    /// Tokens that arrived.
    pub tokens: u32,
}

/// Who reads a stream.
#[derive(Clone, Debug)]
pub struct Listener {
    /// Index of the node.
    pub node: usize,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its request.
    pub request: RequestId,
    /// Number of the connection.
    pub connection: u64,
    /// What was sent last arrives then; nothing overtakes it.
    pub last_arrival: Duration,
    /// Whether the connection went silent.
    pub silent: bool,
    /// Longest time without progress.
    pub progress_timeout: Duration,
}

impl World {
    pub(super) fn upstream_delay(&mut self, node: usize, upstream: usize) -> Duration {
        let centres = (
            self.nodes[node].data_centre,
            self.fleet[upstream].data_centre,
        );
        self.delay(centres.0, centres.1)
    }

    pub(super) fn upstream_event(&mut self, after: Duration, node: usize, event: UpstreamEvent) {
        let incarnation = self.nodes[node].incarnation;
        let input = NodeInput::Event(Event::Upstream(event));
        self.push_node(self.now + after, node, incarnation, input);
    }

    pub(super) fn connect(
        &mut self,
        node: usize,
        request: RequestId,
        upstream: &Arc<str>,
        grant: GrantName,
        valid_until: Duration,
        progress_timeout: Duration,
    ) {
        let upstream = self.fleet_index[upstream];
        let round_trip = self.upstream_delay(node, upstream) * 2;
        let place = &mut self.nodes[node];
        let Some(call) = place.calls.get_mut(&request) else {
            return;
        };
        call.connection = Some(Connection {
            number: place.next_connection,
            upstream,
            grant,
            valid_until,
            progress_timeout,
            stream: None,
            tokens: 0,
        });
        place.next_connection += 1;
        let incarnation = place.incarnation;
        if self.fleet[upstream].alive {
            let input = NodeInput::Connected { request };
            self.push_node(self.now + round_trip, node, incarnation, input);
        } else {
            self.upstream_event(round_trip, node, UpstreamEvent::ConnectFailed { request });
        }
    }

    /// Sends the first byte, if the grant still allows it.
    pub(super) fn send_request(&mut self, node: usize, request: RequestId) {
        let clock = self.now + self.nodes[node].clock_offset;
        let stream = self.record.streams.len();
        let incarnation = self.nodes[node].incarnation;
        let Some(call) = self.nodes[node].calls.get_mut(&request) else {
            return;
        };
        let Some(connection) = call.connection.as_mut().filter(|it| it.stream.is_none()) else {
            return;
        };
        let upstream = connection.upstream;
        if clock >= connection.valid_until {
            call.connection = None;
            self.upstream_event(
                Duration::ZERO,
                node,
                UpstreamEvent::DispatchExpired { request },
            );
            return;
        }
        if !self.fleet[upstream].alive {
            call.connection = None;
            self.upstream_event(
                Duration::ZERO,
                node,
                UpstreamEvent::ConnectFailed { request },
            );
            return;
        }
        connection.stream = Some(stream);
        let grant = (
            connection.grant.group.clone(),
            connection.grant.epoch,
            connection.grant.grant,
        );
        self.fleet[upstream].by_grant.insert(grant, stream as u64);
        self.listeners.push(Some(Listener {
            node,
            incarnation,
            request,
            connection: connection.number,
            last_arrival: Duration::ZERO,
            silent: false,
            progress_timeout: connection.progress_timeout,
        }));
        self.record.streams.push(StreamRecord {
            request: call.request,
            upstream,
            dispatched_at: self.now,
            began_at: None,
            ended: None,
            cached_tokens: None,
        });
        self.record.requests[call.request].streams.push(stream);
        let delay = self.upstream_delay(node, upstream);
        self.heap.push(
            self.now + delay,
            Happening::StreamArrives { upstream, stream },
        );
        self.feed(node, Event::Upstream(UpstreamEvent::Dispatched { request }));
    }

    pub(super) fn progress(
        &mut self,
        node: usize,
        request: RequestId,
        connection: u64,
        tokens: u32,
        cached_tokens: u32,
        finished: bool,
    ) {
        let Some(open) = self.open_connection(node, request, connection) else {
            return;
        };
        let had_tokens = open.tokens;
        open.tokens = tokens;
        if had_tokens == 0 && tokens > 0 {
            self.feed(
                node,
                Event::Upstream(UpstreamEvent::FirstTokenArrived { request }),
            );
        }
        let event = if finished {
            UpstreamEvent::AnswerCompleted {
                request,
                tokens,
                cached_tokens: Some(cached_tokens),
            }
        } else if tokens > had_tokens {
            UpstreamEvent::TokensArrived { request, tokens }
        } else {
            return;
        };
        self.feed(node, Event::Upstream(event));
    }

    pub(super) fn broken(
        &mut self,
        node: usize,
        request: RequestId,
        connection: u64,
        silent: bool,
    ) {
        let Some(open) = self.open_connection(node, request, connection) else {
            return;
        };
        let tokens = open.tokens;
        let event = UpstreamEvent::StreamBroken {
            request,
            tokens,
            silent,
        };
        self.feed(node, Event::Upstream(event));
    }

    fn open_connection(
        &mut self,
        node: usize,
        request: RequestId,
        connection: u64,
    ) -> Option<&mut Connection> {
        let call = self.nodes[node].calls.get_mut(&request)?;
        call.connection
            .as_mut()
            .filter(|it| it.number == connection)
    }

    pub(super) fn resume(&mut self, node: usize, request: RequestId) {
        let place = &mut self.nodes[node];
        let incarnation = place.incarnation;
        let connection = place
            .calls
            .get(&request)
            .and_then(|it| it.connection.as_ref());
        let Some((upstream, stream)) = connection.and_then(|it| Some((it.upstream, it.stream?)))
        else {
            return;
        };
        let delay = self.upstream_delay(node, upstream);
        let happening = Happening::ResumeArrives {
            upstream,
            stream,
            node,
            incarnation,
            request,
        };
        self.heap.push(self.now + delay, happening);
    }

    /// Connects a node to a stream that it takes up again; none when the node has dropped it.
    pub(super) fn take_up(&mut self, node: usize, request: RequestId, stream: usize) -> bool {
        let place = &mut self.nodes[node];
        let number = place.next_connection;
        place.next_connection += 1;
        let incarnation = place.incarnation;
        let connection = place
            .calls
            .get_mut(&request)
            .and_then(|it| it.connection.as_mut());
        let Some(connection) = connection.filter(|it| it.stream == Some(stream)) else {
            return false;
        };
        connection.number = number;
        self.listeners[stream] = Some(Listener {
            node,
            incarnation,
            request,
            connection: number,
            last_arrival: Duration::ZERO,
            silent: false,
            progress_timeout: connection.progress_timeout,
        });
        true
    }

    pub(super) fn cancel_stream(&mut self, node: usize, request: RequestId) {
        let call = self.nodes[node].calls.get_mut(&request);
        let Some(connection) = call.and_then(|it| it.connection.take()) else {
            return;
        };
        let Some(stream) = connection.stream else {
            self.upstream_event(
                Duration::ZERO,
                node,
                UpstreamEvent::DispatchExpired { request },
            );
            return;
        };
        self.listeners[stream] = None;
        self.send_cancel(node, connection.upstream, connection.grant);
    }

    pub(super) fn send_cancel(&mut self, node: usize, upstream: usize, grant: GrantName) {
        let mut delay = self.upstream_delay(node, upstream);
        let faults = self.message_faults;
        if self.random.random::<f64>() < faults.late {
            delay += faults.late_by.mul_f64(self.random.random::<f64>());
        }
        let incarnation = self.nodes[node].incarnation;
        let happening = Happening::CancelArrives {
            upstream,
            grant,
            node,
            incarnation,
        };
        self.heap.push(self.now + delay, happening);
    }
}
