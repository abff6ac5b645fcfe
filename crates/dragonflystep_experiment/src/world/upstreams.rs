//! What happens at the upstreams: streams run, end, are cancelled and taken up; loads and caches are told.

use {
    super::{
        World,
        heap::{Happening, NodeInput},
    },
    crate::record::{LimitExcess, StreamEnd},
    dragonflystep_core::{
        Event, catalogue::ServiceKind, event::UpstreamEvent, ids::RequestId, message::GrantName,
    },
    dragonflystep_fakes::engine_model::{EngineOutput, StreamSpec},
    rand::Rng,
    std::{sync::Arc, time::Duration},
};

/// How often a node reads the reports of an upstream.
pub const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Share of the cache events that never arrive.
const LOST_CACHE_EVENTS: f64 = 0.05;

impl World {
    /// Lets an engine run up to now and passes on what it has to tell.
    pub(super) fn run_engine(&mut self, upstream: usize) {
        let outputs = self.fleet[upstream].model.advance(self.now);
        self.fleet[upstream].collect_cache_events();
        for output in outputs {
            self.output(upstream, output);
        }
    }

    /// Plans the next look at an engine.
    pub(super) fn schedule_engine(&mut self, upstream: usize) {
        let member = &mut self.fleet[upstream];
        let Some(next) = member.model.next_change() else {
            return;
        };
        if member
            .wake_at
            .is_some_and(|at| at <= next && at >= self.now)
        {
            return;
        }
        member.wake_at = Some(next);
        self.heap.push(next, Happening::EngineDue { upstream });
    }

    pub(super) fn engine_due(&mut self, upstream: usize) {
        if self.fleet[upstream].wake_at != Some(self.now) || !self.fleet[upstream].alive {
            return;
        }
        self.fleet[upstream].wake_at = None;
        self.run_engine(upstream);
        self.schedule_engine(upstream);
    }

    fn output(&mut self, upstream: usize, output: EngineOutput) {
        let stream = output.id as usize;
        let record = &mut self.record.streams[stream];
        if record.cached_tokens.is_none() {
            record.cached_tokens = Some(output.cached_tokens);
        }
        if output.finished {
            record.ended = Some((output.at, StreamEnd::Finished));
            let member = &mut self.fleet[upstream];
            member.running.remove(&output.id);
            member
                .finished
                .insert(output.id, (output.tokens, output.cached_tokens));
        }
        self.tell(
            upstream,
            stream,
            output.tokens,
            output.cached_tokens,
            output.finished,
        );
    }

    /// Sends progress of a stream to whoever reads it.
    fn tell(
        &mut self,
        upstream: usize,
        stream: usize,
        tokens: u32,
        cached_tokens: u32,
        finished: bool,
    ) {
        let Some(listener) = self.listeners[stream].clone().filter(|it| !it.silent) else {
            return;
        };
        let centres = (
            self.nodes[listener.node].data_centre,
            self.fleet[upstream].data_centre,
        );
        let arrival = self.now + self.delay(centres.0, centres.1);
        let arrival = arrival.max(listener.last_arrival);
        if let Some(kept) = &mut self.listeners[stream] {
            kept.last_arrival = arrival;
        }
        self.note_progress(stream, arrival, tokens);
        let input = NodeInput::Progress {
            request: listener.request,
            connection: listener.connection,
            tokens,
            cached_tokens,
            finished,
        };
        self.push_node(arrival, listener.node, listener.incarnation, input);
    }

    fn note_progress(&mut self, stream: usize, arrival: Duration, tokens: u32) {
        let request = self.record.streams[stream].request;
        let record = &mut self.record.requests[request];
        let Some((last_at, last_tokens)) = record.last_progress else {
            record.first_token_at = Some(arrival);
            record.last_progress = Some((arrival, tokens));
            return;
        };
        if tokens > last_tokens {
            let new_tokens = tokens - last_tokens;
            record
                .gaps
                .push(((arrival.saturating_sub(last_at)) / new_tokens, new_tokens));
            record.last_progress = Some((arrival, tokens));
        }
    }

    pub(super) fn stream_arrives(&mut self, upstream: usize, stream: usize) {
        if !self.fleet[upstream].alive {
            self.record.streams[stream].ended = Some((self.now, StreamEnd::Lost));
            self.break_connection(upstream, stream, false);
            return;
        }
        self.run_engine(upstream);
        let record = &mut self.record.streams[stream];
        if record.ended.is_some() {
            // The order to end it came first.
            return;
        }
        record.began_at = Some(self.now);
        let arrival = self.record.requests[record.request].arrival.clone();
        let member = &mut self.fleet[upstream];
        let facts = &arrival.facts;
        member.model.admit(
            self.now,
            StreamSpec {
                id: stream as u64,
                prefix_blocks: facts.prefix_blocks.clone(),
                prompt_tokens: facts.prompt_tokens,
                output_tokens: arrival.answer_tokens,
            },
        );
        let held = u64::from(facts.prompt_tokens) + u64::from(facts.output_tokens);
        member.running.insert(stream as u64, held);
        let limits = member.entry.limits;
        let running = member.running.len() as u64;
        let held = member.held_tokens();
        self.check_limit(upstream, running, Some(u64::from(limits.running_requests)));
        self.check_limit(upstream, held, limits.held_tokens);
        self.schedule_engine(upstream);
    }

    fn check_limit(&mut self, upstream: usize, had: u64, limit: Option<u64>) {
        let Some(limit) = limit.filter(|limit| had > *limit) else {
            return;
        };
        self.record.limit_excesses.push(LimitExcess {
            at: self.now,
            upstream,
            had,
            limit,
        });
    }

    pub(super) fn cancel_arrives(
        &mut self,
        upstream: usize,
        grant: &GrantName,
        node: usize,
        incarnation: u64,
    ) {
        // A plain service knows no order to end a call; it runs on when its connection closes.
        if !self.fleet[upstream].alive || self.fleet[upstream].kind == ServiceKind::Plain {
            return;
        }
        self.run_engine(upstream);
        if let Some(stream) = self.fleet[upstream].stream_of(grant) {
            self.fleet[upstream].model.cancel(self.now, stream);
            self.fleet[upstream].running.remove(&stream);
            let record = &mut self.record.streams[stream as usize];
            record.ended.get_or_insert((self.now, StreamEnd::Cancelled));
        }
        self.schedule_engine(upstream);
        let event = Event::Upstream(UpstreamEvent::CancelConfirmed {
            upstream: self.fleet[upstream].entry.id.clone(),
            epoch: grant.epoch,
            grant: grant.grant,
        });
        let centres = (
            self.nodes[node].data_centre,
            self.fleet[upstream].data_centre,
        );
        let arrival = self.now + self.delay(centres.0, centres.1);
        self.push_node(arrival, node, incarnation, NodeInput::Event(event));
    }

    pub(super) fn resume_arrives(
        &mut self,
        upstream: usize,
        stream: usize,
        node: usize,
        incarnation: u64,
        request: RequestId,
    ) {
        if self.nodes[node].incarnation != incarnation {
            return;
        }
        self.run_engine(upstream);
        let member = &self.fleet[upstream];
        let finished = member.finished.get(&(stream as u64)).copied();
        let known =
            member.alive && (finished.is_some() || member.running.contains_key(&(stream as u64)));
        let gone = member.alive;
        if !known {
            let centres = (self.nodes[node].data_centre, member.data_centre);
            let arrival = self.now + self.delay(centres.0, centres.1);
            let event = UpstreamEvent::ResumeFailed { request, gone };
            let input = NodeInput::Event(Event::Upstream(event));
            self.push_node(arrival, node, incarnation, input);
            return;
        }
        if !self.take_up(node, request, stream) {
            return;
        }
        if let Some((tokens, cached_tokens)) = finished {
            self.tell(upstream, stream, tokens, cached_tokens, true);
        }
        self.schedule_engine(upstream);
    }

    /// Closes or silences the connection of a stream; the upstream itself goes on.
    pub(super) fn break_connection(&mut self, upstream: usize, stream: usize, silent: bool) {
        let Some(listener) = self.listeners[stream].clone() else {
            return;
        };
        let centres = (
            self.nodes[listener.node].data_centre,
            self.fleet[upstream].data_centre,
        );
        let mut arrival = self.now + self.delay(centres.0, centres.1);
        if silent {
            arrival += listener.progress_timeout;
            if let Some(kept) = &mut self.listeners[stream] {
                kept.silent = true;
            }
        } else {
            self.listeners[stream] = None;
        }
        let input = NodeInput::Broken {
            request: listener.request,
            connection: listener.connection,
            silent,
        };
        let arrival = arrival.max(listener.last_arrival);
        self.push_node(arrival, listener.node, listener.incarnation, input);
    }

    pub(super) fn watch(&mut self, node: usize, upstream: &Arc<str>) {
        let upstream = self.fleet_index[upstream];
        if self.nodes[node].watches.contains_key(&upstream) {
            return;
        }
        self.nodes[node].watches.insert(upstream, 0);
        let incarnation = self.nodes[node].incarnation;
        let happening = Happening::WatchDue {
            node,
            incarnation,
            upstream,
        };
        self.heap.push(self.now, happening);
    }

    pub(super) fn watch_due(&mut self, node: usize, incarnation: u64, upstream: usize) {
        if self.nodes[node].incarnation != incarnation || !self.nodes[node].is_up() {
            return;
        }
        let Some(after) = self.nodes[node].watches.get(&upstream).copied() else {
            return;
        };
        let again = Happening::WatchDue {
            node,
            incarnation,
            upstream,
        };
        self.heap.push(self.now + WATCH_INTERVAL, again);
        let centres = (
            self.nodes[node].data_centre,
            self.fleet[upstream].data_centre,
        );
        let there = self.delay(centres.0, centres.1);
        let id = self.fleet[upstream].entry.id.clone();
        if !self.fleet[upstream].alive {
            let event = Event::Upstream(UpstreamEvent::WatchFailed { upstream: id });
            self.push_node(
                self.now + there * 2,
                node,
                incarnation,
                NodeInput::Event(event),
            );
            return;
        }
        self.run_engine(upstream);
        let report = self.fleet[upstream].model.load(self.now);
        let event = Event::Upstream(UpstreamEvent::LoadReported {
            upstream: id,
            running: report.running,
            queued: report.queued,
            age: report.age + there,
        });
        self.push_node(self.now + there, node, incarnation, NodeInput::Event(event));
        self.tell_cache(node, incarnation, upstream, after, there);
        self.schedule_engine(upstream);
    }

    fn tell_cache(
        &mut self,
        node: usize,
        incarnation: u64,
        upstream: usize,
        after: u64,
        delay: Duration,
    ) {
        let member = &self.fleet[upstream];
        let fresh = member
            .cache_events
            .partition_point(|it| it.sequence <= after);
        let events: Vec<Event> = member
            .cache_events
            .iter()
            .skip(fresh)
            .map(|it| {
                Event::Upstream(UpstreamEvent::CacheReported {
                    upstream: member.entry.id.clone(),
                    sequence: it.sequence,
                    stored: it.stored.clone(),
                    evicted: it.evicted.clone(),
                })
            })
            .collect();
        if let Some(last) = member.cache_events.back() {
            self.nodes[node].watches.insert(upstream, last.sequence);
        }
        for event in events {
            if self.random.random::<f64>() >= LOST_CACHE_EVENTS {
                self.push_node(self.now + delay, node, incarnation, NodeInput::Event(event));
            }
        }
    }
}
