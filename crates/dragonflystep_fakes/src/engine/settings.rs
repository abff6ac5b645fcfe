//! Settings of an engine stand-in.

use {crate::engine_model::EngineShape, std::time::Duration};

/// What an engine refuses by itself.
#[derive(Debug, Clone)]
pub struct EngineLimits {
    /// Longest prompt; a longer one is refused with 400.
    pub max_prompt_tokens: u32,
    /// Longest answer; a request for more gets this many tokens.
    pub max_output_tokens: u32,
    /// Streams that it has at one time, the waiting ones included; one more is refused with 429.
    pub max_streams: usize,
}

impl Default for EngineLimits {
    fn default() -> Self {
        Self {
            max_prompt_tokens: 65_536,
            max_output_tokens: 8_192,
            max_streams: 1_024,
        }
    }
}

/// Settings of an engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineFakeSettings {
    /// Speeds and sizes.
    pub shape: EngineShape,
    /// What it refuses by itself.
    pub limits: EngineLimits,
    /// Seed of the faults that happen by chance.
    pub seed: u64,
    /// Whether it refuses orders with a lower fencing number than it has seen.
    pub checks_fencing: bool,
    /// How long a stream without a connection is kept, running or ended.
    pub keep_streams: Duration,
    /// Time between two looks at the progress of the streams.
    pub progress_interval: Duration,
}

impl EngineFakeSettings {
    /// An engine of this shape with everything else at its default.
    pub fn new(shape: EngineShape) -> Self {
        Self {
            shape,
            limits: EngineLimits::default(),
            seed: 1,
            checks_fencing: true,
            keep_streams: Duration::from_secs(30),
            progress_interval: Duration::from_millis(5),
        }
    }
}
