//! An engine stand-in in real time, shared by its handlers.

use {
    super::{
        faults::{CrashMark, EngineFault, FaultsInForce, PieceFaults},
        records::EngineRecords,
        settings::EngineFakeSettings,
        state::EngineState,
        stream::{CrashOrder, Dispatch, RefusalReason, StreamProgress},
    },
    crate::{
        connection::ConnectionControl,
        engine_model::{CacheEvent, LoadReport},
    },
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{Notify, watch},
        time::{Instant, sleep_until},
    },
};

/// Longest time between two looks for streams that nobody takes up.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time that a crashed engine is away at least, so that its connections are gone first.
const SHORTEST_DOWN: Duration = Duration::from_millis(1);

pub(super) struct Engine {
    began: Instant,
    settings: EngineFakeSettings,
    control: ConnectionControl,
    state: Mutex<EngineState>,
    changed: Notify,
}

impl Engine {
    pub(super) fn new(settings: EngineFakeSettings, control: ConnectionControl) -> Self {
        Self {
            began: Instant::now(),
            state: Mutex::new(EngineState::new(&settings)),
            settings,
            control,
            changed: Notify::new(),
        }
    }

    pub(super) fn settings(&self) -> &EngineFakeSettings {
        &self.settings
    }

    /// Runs the model in real time until it is dropped.
    pub(super) async fn run(self: Arc<Self>) {
        loop {
            let next = self.advance();
            tokio::select! {
                () = sleep_until(next) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    pub(super) fn dispatch(
        self: &Arc<Self>,
        dispatch: Dispatch,
    ) -> Result<Attachment, RefusalReason> {
        let id = {
            let mut state = self.lock();
            state.dispatch(self.now(), dispatch)?
        };
        self.changed.notify_one();
        self.attach(id).ok_or(RefusalReason::Full)
    }

    pub(super) fn resume(self: &Arc<Self>, name: &str) -> Option<Attachment> {
        let id = self.lock().id_of(name)?;
        let attachment = self.attach(id)?;
        self.lock().records.resumed += 1;
        Some(attachment)
    }

    pub(super) fn cancel(
        &self,
        name: &str,
        fencing_number: Option<u64>,
    ) -> Result<Option<bool>, RefusalReason> {
        let mut state = self.lock();
        state.check_fencing(fencing_number)?;
        let was_running = state.cancel(self.now(), name);
        drop(state);
        self.changed.notify_one();
        Ok(was_running)
    }

    pub(super) fn load(&self) -> LoadReport {
        self.advance();
        self.lock().model.load(self.now())
    }

    pub(super) fn cache_events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        self.advance();
        self.lock().cache_feed.after(self.now(), sequence)
    }

    pub(super) fn records(&self) -> EngineRecords {
        self.advance();
        self.lock().records.clone()
    }

    pub(super) fn close_after_tokens(&self) -> Option<u32> {
        self.lock().faults.close_after_tokens
    }

    pub(super) fn piece_faults(&self) -> PieceFaults {
        self.lock().faults.pieces
    }

    pub(super) fn apply(&self, fault: EngineFault) {
        self.advance();
        let now = self.now();
        let mut state = self.lock();
        match fault {
            EngineFault::Slow { factor } => state.model.set_slowdown(now, factor),
            EngineFault::SilenceExisting => self.control.silence_existing(),
            EngineFault::SilenceNew { on } => self.control.silence_new(on),
            EngineFault::CloseAfter { tokens } => state.faults.close_after_tokens = tokens,
            EngineFault::DropStreams => state.drop_streams(now),
            EngineFault::Crash { down_ms } => {
                state.lose_all(now);
                self.go_down(CrashOrder {
                    down: Duration::from_millis(down_ms),
                });
            }
            EngineFault::CrashOn { text, down_ms } => {
                let mark = CrashMark {
                    text,
                    down: Duration::from_millis(down_ms),
                };
                state.faults.crash_on = Some(mark).filter(|mark| !mark.text.is_empty());
            }
            EngineFault::Pieces {
                duplicate,
                reorder,
                lose,
            } => {
                state.faults.pieces = PieceFaults {
                    duplicate,
                    reorder,
                    lose,
                };
            }
            EngineFault::CacheEvents { late_ms, lose } => {
                state
                    .cache_feed
                    .set_faults(Duration::from_millis(late_ms), lose);
            }
            EngineFault::LoadLag { lag_ms } => {
                state.model.set_load_lag(Duration::from_millis(lag_ms))
            }
            EngineFault::Fencing { on } => state.checks_fencing = on,
            EngineFault::Refuse { status, count } => state.faults.refuse = Some((status, count)),
            EngineFault::Clear => {
                state.faults = FaultsInForce::default();
                state.cache_feed.set_faults(Duration::ZERO, 0.0);
                state.checks_fencing = self.settings.checks_fencing;
                state.model.set_slowdown(now, 1.0);
                state.model.set_load_lag(self.settings.shape.load_lag);
                self.control.silence_new(false);
            }
        }
        drop(state);
        self.changed.notify_one();
    }

    fn attach(self: &Arc<Self>, id: u64) -> Option<Attachment> {
        let mut state = self.lock();
        let stream = state.attach(id)?;
        Some(Attachment {
            prompt: Arc::clone(&stream.prompt),
            prompt_tokens: stream.prompt_tokens,
            output_tokens: stream.output_tokens,
            progress: stream.progress.subscribe(),
            id,
            engine: Arc::clone(self),
        })
    }

    /// Lets the model run to the present, and says when to look again.
    fn advance(&self) -> Instant {
        let mut state = self.lock();
        let now = self.now();
        if let Some(crash) = state.advance(now) {
            self.go_down(crash);
        }
        let latest = now + EXPIRY_INTERVAL;
        let next = state
            .model
            .next_change()
            .map_or(latest, |next| next.min(latest));
        self.began + next
    }

    fn go_down(&self, crash: CrashOrder) {
        self.control.refuse_for(crash.down.max(SHORTEST_DOWN));
        self.control.break_all();
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection that reads a stream; the stream is kept for a while after the last one is dropped.
pub(super) struct Attachment {
    pub(super) prompt: Arc<str>,
    pub(super) prompt_tokens: u32,
    pub(super) output_tokens: u32,
    pub(super) progress: watch::Receiver<StreamProgress>,
    id: u64,
    engine: Arc<Engine>,
}

impl Attachment {
    pub(super) fn id(&self) -> u64 {
        self.id
    }
}

impl Drop for Attachment {
    fn drop(&mut self) {
        let now = self.engine.now();
        self.engine.lock().detach(now, self.id);
    }
}
