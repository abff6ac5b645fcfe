//! The streams of an engine stand-in over its model.

use {
    super::{
        cache_feed::CacheFeed,
        faults::FaultsInForce,
        records::{DispatchOutcome, DispatchRecord, EngineRecords},
        settings::EngineFakeSettings,
        stream::{CrashOrder, Dispatch, RefusalReason, Stream, StreamProgress, StreamState},
        text::{content_hash, prefix_blocks, prompt_tokens},
    },
    crate::{
        clock::{millis, unix_millis},
        engine_model::{EngineModel, EngineOutput, StreamSpec},
    },
    std::{collections::HashMap, time::Duration},
    tokio::sync::watch,
};

pub(super) struct EngineState {
    pub(super) model: EngineModel,
    pub(super) faults: FaultsInForce,
    pub(super) checks_fencing: bool,
    pub(super) records: EngineRecords,
    pub(super) cache_feed: CacheFeed,
    settings: EngineFakeSettings,
    streams: HashMap<u64, Stream>,
    names: HashMap<String, u64>,
    next_id: u64,
}

impl EngineState {
    pub(super) fn new(settings: &EngineFakeSettings) -> Self {
        Self {
            model: EngineModel::with_progress_interval(
                settings.shape.clone(),
                settings.progress_interval,
            ),
            faults: FaultsInForce::default(),
            checks_fencing: settings.checks_fencing,
            records: EngineRecords::default(),
            cache_feed: CacheFeed::new(settings.seed),
            settings: settings.clone(),
            streams: HashMap::new(),
            names: HashMap::new(),
            next_id: 1,
        }
    }

    /// Takes a call in; every call is recorded, also one that is refused.
    pub(super) fn dispatch(
        &mut self,
        now: Duration,
        dispatch: Dispatch,
    ) -> Result<u64, RefusalReason> {
        let record = self.record(now, &dispatch);
        if let Err(reason) = self.check(&dispatch) {
            self.records.dispatches[record].outcome = match reason {
                RefusalReason::Fenced { .. } => DispatchOutcome::Fenced,
                RefusalReason::Duplicate => DispatchOutcome::Duplicate,
                _ => DispatchOutcome::Refused,
            };
            self.records.dispatches[record].ended_ms = Some(millis(now));
            return Err(reason);
        }
        let id = self.next_id;
        self.next_id += 1;
        let stream = Stream {
            name: dispatch.stream.clone(),
            prompt_tokens: prompt_tokens(&dispatch.prompt),
            output_tokens: self.output_tokens(dispatch.max_tokens),
            prompt: dispatch.prompt.into(),
            progress: watch::Sender::new(StreamProgress {
                tokens: 0,
                cached_tokens: 0,
                state: StreamState::Running,
            }),
            record,
            connections: 0,
            detached_at: now,
        };
        let spec = StreamSpec {
            id,
            prefix_blocks: prefix_blocks(&stream.prompt).into(),
            prompt_tokens: stream.prompt_tokens,
            output_tokens: stream.output_tokens,
        };
        self.streams.insert(id, stream);
        self.names.insert(dispatch.stream, id);
        self.model.admit(now, spec);
        let streams = u32::try_from(self.model.streams()).unwrap_or(u32::MAX);
        self.records.most_streams = self.records.most_streams.max(streams);
        Ok(id)
    }

    /// Refuses an order with a lower fencing number than the highest seen, where the engine checks.
    pub(super) fn check_fencing(
        &mut self,
        fencing_number: Option<u64>,
    ) -> Result<(), RefusalReason> {
        let Some(number) = fencing_number else {
            return Ok(());
        };
        let highest = self.records.highest_fencing_number;
        if self.checks_fencing && number < highest {
            return Err(RefusalReason::Fenced { highest });
        }
        self.records.highest_fencing_number = highest.max(number);
        Ok(())
    }

    /// Lets the model run to `now` and tells the streams; a marked prompt may crash the engine.
    pub(super) fn advance(&mut self, now: Duration) -> Option<CrashOrder> {
        let mut crash = None;
        for output in self.model.advance(now) {
            if let Some(order) = self.crash_by(&output) {
                self.lose_all(now);
                crash = Some(order);
                break;
            }
            self.apply(&output);
        }
        self.records.most_running = self.records.most_running.max(self.model.most_running());
        self.records.prefilled_tokens = self.model.prefilled_tokens();
        self.cache_feed.add(now, self.model.take_cache_events());
        self.expire(now);
        crash
    }

    /// Ends a stream; `None` when the engine does not have it, else whether it was running.
    pub(super) fn cancel(&mut self, now: Duration, name: &str) -> Option<bool> {
        let id = self.id_of(name)?;
        let was_running = self.model.cancel(now, id);
        if was_running {
            self.end(now, id, StreamState::Cancelled, DispatchOutcome::Cancelled);
        }
        Some(was_running)
    }

    /// Loses all streams, the ended ones too, and the cache.
    pub(super) fn lose_all(&mut self, now: Duration) {
        self.model.crash(now);
        self.records.crashes += 1;
        self.lose_streams(now);
    }

    /// Loses all streams, but not the cache.
    pub(super) fn drop_streams(&mut self, now: Duration) {
        let ids: Vec<u64> = self.streams.keys().copied().collect();
        for id in ids {
            self.model.cancel(now, id);
        }
        self.lose_streams(now);
    }

    pub(super) fn id_of(&self, name: &str) -> Option<u64> {
        self.names.get(name).copied()
    }

    pub(super) fn attach(&mut self, id: u64) -> Option<&Stream> {
        let stream = self.streams.get_mut(&id)?;
        stream.connections += 1;
        Some(stream)
    }

    pub(super) fn detach(&mut self, now: Duration, id: u64) {
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.connections -= 1;
            stream.detached_at = now;
        }
    }

    fn check(&mut self, dispatch: &Dispatch) -> Result<(), RefusalReason> {
        self.check_fencing(dispatch.fencing_number)?;
        if self.names.contains_key(&dispatch.stream) {
            return Err(RefusalReason::Duplicate);
        }
        if let Some((status, count)) = &mut self.faults.refuse
            && *count > 0
        {
            *count -= 1;
            return Err(RefusalReason::Told { status: *status });
        }
        if prompt_tokens(&dispatch.prompt) > self.settings.limits.max_prompt_tokens {
            return Err(RefusalReason::TooLong);
        }
        if self.model.streams() >= self.settings.limits.max_streams {
            return Err(RefusalReason::Full);
        }
        Ok(())
    }

    fn output_tokens(&self, max_tokens: u32) -> u32 {
        max_tokens.clamp(1, self.settings.limits.max_output_tokens.max(1))
    }

    fn record(&mut self, now: Duration, dispatch: &Dispatch) -> usize {
        self.records.dispatches.push(DispatchRecord {
            stream: dispatch.stream.clone(),
            fencing_number: dispatch.fencing_number,
            body_hash: dispatch.body_hash.clone(),
            prompt_hash: content_hash(dispatch.prompt.as_bytes()),
            prompt_tokens: prompt_tokens(&dispatch.prompt),
            output_tokens: self.output_tokens(dispatch.max_tokens),
            cached_tokens: 0,
            idempotency_key: dispatch.idempotency_key.clone(),
            idempotent: dispatch.idempotent.clone(),
            arrived_ms: millis(now),
            arrived_unix_ms: unix_millis(),
            first_token_ms: None,
            ended_ms: None,
            outcome: DispatchOutcome::Open,
        });
        self.records.dispatches.len() - 1
    }

    fn crash_by(&self, output: &EngineOutput) -> Option<CrashOrder> {
        let mark = self.faults.crash_on.as_ref()?;
        let stream = self.streams.get(&output.id)?;
        stream
            .prompt
            .contains(&mark.text)
            .then_some(CrashOrder { down: mark.down })
    }

    fn apply(&mut self, output: &EngineOutput) {
        let Some(stream) = self.streams.get(&output.id) else {
            return;
        };
        let record = &mut self.records.dispatches[stream.record];
        if record.first_token_ms.is_none() {
            record.first_token_ms = Some(millis(output.at));
            record.cached_tokens = output.cached_tokens;
            self.records.cached_tokens += u64::from(output.cached_tokens);
        }
        if stream.progress.borrow().state != StreamState::Running {
            return;
        }
        stream.progress.send_modify(|progress| {
            progress.tokens = output.tokens;
            progress.cached_tokens = output.cached_tokens;
        });
        if output.finished {
            self.end(
                output.at,
                output.id,
                StreamState::Finished,
                DispatchOutcome::Finished,
            );
        }
    }

    fn end(&mut self, now: Duration, id: u64, state: StreamState, outcome: DispatchOutcome) {
        let Some(stream) = self.streams.get(&id) else {
            return;
        };
        let record = &mut self.records.dispatches[stream.record];
        if record.outcome == DispatchOutcome::Open {
            record.outcome = outcome;
            record.ended_ms = Some(millis(now));
        }
        stream
            .progress
            .send_modify(|progress| progress.state = state);
    }

    fn lose_streams(&mut self, now: Duration) {
        let ids: Vec<u64> = self.streams.keys().copied().collect();
        for id in ids {
            self.end(now, id, StreamState::Lost, DispatchOutcome::Lost);
        }
        self.streams.clear();
        self.names.clear();
    }

    fn expire(&mut self, now: Duration) {
        let keep = self.settings.keep_streams;
        let expired = |stream: &Stream| stream.connections == 0 && now >= stream.detached_at + keep;
        let ids: Vec<u64> = self
            .streams
            .iter()
            .filter(|(_, stream)| expired(stream))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            if self.model.cancel(now, id) {
                self.end(now, id, StreamState::Lost, DispatchOutcome::Expired);
            }
            if let Some(stream) = self.streams.remove(&id) {
                self.names.remove(&stream.name);
            }
        }
    }
}
