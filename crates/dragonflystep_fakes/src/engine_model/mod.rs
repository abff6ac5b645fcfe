//! One engine in virtual time: continuous batching, a prefix cache, its own queue, lagged load; no I/O and no clock.
//!
//! The law of the model:
//!
//! - Streams enter the batch in the order of their arrival while it has room; the others wait in the engine's own queue.
//! - Prompts in the batch are computed one after the other. A prompt costs its tokens less the cached prefix.
//! - All decoding streams take a step together. A step takes `decode_step`, and `decode_step_per_stream` more for each
//!   further stream.
//! - While a prompt is computed and streams decode, each of the two gets half of the engine, so both take twice the time
//!   (chunked prefill).
//! - The end of a prefill gives the first token; each step gives one more.
//!
//! The cost is a few operations on ordered sets for each stream, and one output a stream for each progress interval.

mod load;
mod pace;
mod prefix_cache;
mod shape;
mod steps;

pub use {
    load::LoadReport,
    prefix_cache::CacheEvent,
    shape::{EngineOutput, EngineShape, StreamSpec},
};

use {
    load::LoadHistory,
    pace::{Progress, UNITS_PER_ITEM, WorkUnits},
    prefix_cache::PrefixCache,
    std::{
        collections::{BTreeSet, HashMap, HashSet, VecDeque},
        mem,
        time::Duration,
    },
};

/// Tokens in one block of the prefix cache.
pub const BLOCK_TOKENS: u32 = 64;

/// Time between two reports of progress of the decoding streams, unless said otherwise.
pub const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// The prompt that is being computed.
#[derive(Debug, Clone)]
struct Prefill {
    spec: StreamSpec,
    cached_tokens: u32,
    /// Prefill progress at which the prompt is done.
    done_at: WorkUnits,
}

/// A stream that gets a token with each step.
#[derive(Debug, Clone)]
struct Decode {
    output_tokens: u32,
    cached_tokens: u32,
    /// Decode progress at the first token.
    began_at: WorkUnits,
    /// Decode progress at the last token.
    done_at: WorkUnits,
    told_tokens: u32,
}

/// The engine. Times given to its methods must not go back.
///
/// # Examples
///
/// ```
/// use {
///     dragonflystep_fakes::engine_model::{EngineModel, EngineShape, StreamSpec},
///     std::time::Duration,
/// };
///
/// let mut engine = EngineModel::new(EngineShape {
///     prefill_tokens_per_s: 1_000.0,
///     decode_step: Duration::from_millis(10),
///     decode_step_per_stream: Duration::from_millis(1),
///     max_batch: 8,
///     cache_blocks: 100,
///     load_lag: Duration::from_secs(1),
/// });
/// let spec = StreamSpec { id: 1, prefix_blocks: [].into(), prompt_tokens: 100, output_tokens: 11 };
/// engine.admit(Duration::ZERO, spec);
/// let mut outputs = Vec::new();
/// while let Some(at) = engine.next_change() {
///     outputs.extend(engine.advance(at));
/// }
/// // 100 ms of prefill, then ten steps of 10 ms.
/// assert_eq!(outputs[0].at, Duration::from_millis(100));
/// assert_eq!(outputs[1].at, Duration::from_millis(200));
/// assert!(outputs[1].finished);
/// ```
#[derive(Debug, Clone)]
pub struct EngineModel {
    shape: EngineShape,
    progress_interval: Duration,
    slowdown: f64,
    now: Duration,
    /// All streams that the engine has.
    ids: HashSet<u64>,
    /// Streams outside of the batch.
    waiting: VecDeque<StreamSpec>,
    /// Streams in the batch whose prompt is not yet begun.
    prompts: VecDeque<StreamSpec>,
    prefill: Option<Prefill>,
    decodes: HashMap<u64, Decode>,
    decode_ends: BTreeSet<(WorkUnits, u64)>,
    prefill_progress: Progress,
    decode_progress: Progress,
    next_tick: Option<Duration>,
    outputs: Vec<EngineOutput>,
    cache: PrefixCache,
    load: LoadHistory,
    most_running: u32,
}

impl EngineModel {
    /// An idle engine with an empty cache at time 0.
    pub fn new(shape: EngineShape) -> Self {
        Self::with_progress_interval(shape, PROGRESS_INTERVAL)
    }

    /// As [`EngineModel::new`], with another time between reports of progress (at least a microsecond).
    pub fn with_progress_interval(shape: EngineShape, progress_interval: Duration) -> Self {
        Self {
            cache: PrefixCache::new(shape.cache_blocks),
            load: LoadHistory::new(shape.load_lag),
            shape,
            progress_interval: progress_interval.max(Duration::from_micros(1)),
            slowdown: 1.0,
            now: Duration::ZERO,
            ids: HashSet::new(),
            waiting: VecDeque::new(),
            prompts: VecDeque::new(),
            prefill: None,
            decodes: HashMap::new(),
            decode_ends: BTreeSet::new(),
            prefill_progress: Progress::new(),
            decode_progress: Progress::new(),
            next_tick: None,
            outputs: Vec::new(),
            most_running: 0,
        }
    }

    /// Takes a stream in; `false` (and nothing done) when the engine already has one of this id.
    pub fn admit(&mut self, now: Duration, spec: StreamSpec) -> bool {
        self.run_to(now);
        if !self.ids.insert(spec.id) {
            return false;
        }
        self.waiting.push_back(spec);
        self.settle(now);
        true
    }

    /// When the engine next has something to tell; `None` while nothing will change by itself.
    pub fn next_change(&self) -> Option<Duration> {
        if self.outputs.is_empty() {
            self.next_event()
        } else {
            Some(self.now)
        }
    }

    /// Runs to `now` and gives the progress since the last call, in the order of time.
    pub fn advance(&mut self, now: Duration) -> Vec<EngineOutput> {
        self.run_to(now);
        mem::take(&mut self.outputs)
    }

    /// Ends a stream; `false` when the engine does not have it (any more).
    ///
    /// Outputs up to `now` are still given by the next [`EngineModel::advance`].
    pub fn cancel(&mut self, now: Duration, id: u64) -> bool {
        self.run_to(now);
        if !self.ids.remove(&id) {
            return false;
        }
        self.waiting.retain(|spec| spec.id != id);
        self.prompts.retain(|spec| spec.id != id);
        self.prefill.take_if(|prefill| prefill.spec.id == id);
        if let Some(decode) = self.decodes.remove(&id) {
            self.decode_ends.remove(&(decode.done_at, id));
        }
        self.settle(now);
        true
    }

    /// The load as it was `load_lag` ago. Call [`EngineModel::advance`] up to `now` before.
    pub fn load(&self, now: Duration) -> LoadReport {
        self.load.report(now)
    }

    /// Changes the age of the reported load.
    pub fn set_load_lag(&mut self, load_lag: Duration) {
        self.load.set_lag(load_lag);
    }

    /// Makes all work take `factor` times as long from `now`; an infinite factor stops it.
    pub fn set_slowdown(&mut self, now: Duration, factor: f64) {
        self.run_to(now);
        self.slowdown = factor;
        self.set_paces(now);
        self.set_tick(now);
    }

    /// Changes of the prefix cache since the last call.
    pub fn take_cache_events(&mut self) -> Vec<CacheEvent> {
        self.cache.take_events()
    }

    /// Prompt tokens computed in all, those of cancelled and lost streams included.
    pub fn prefilled_tokens(&self) -> u64 {
        self.prefill_progress.done(self.now) / UNITS_PER_ITEM
    }

    /// Whether the engine has this stream, running or waiting.
    pub fn has(&self, id: u64) -> bool {
        self.ids.contains(&id)
    }

    /// Streams that the engine has, the waiting ones included.
    pub fn streams(&self) -> usize {
        self.ids.len()
    }

    /// Most streams in the batch at one time so far.
    pub fn most_running(&self) -> u32 {
        self.most_running
    }

    /// Loses all streams and the cache; gives the ids of the lost streams in rising order.
    ///
    /// The numbers of the cache events go on with a gap.
    pub fn crash(&mut self, now: Duration) -> Vec<u64> {
        self.run_to(now);
        let mut lost: Vec<u64> = self.ids.drain().collect();
        lost.sort_unstable();
        self.waiting.clear();
        self.prompts.clear();
        self.prefill = None;
        self.decodes.clear();
        self.decode_ends.clear();
        self.cache.clear();
        self.settle(now);
        lost
    }
}
