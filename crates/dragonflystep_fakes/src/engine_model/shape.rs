//! What an engine is, what it is asked, and what it tells.

use std::{sync::Arc, time::Duration};

/// Speeds and sizes of an engine.
#[derive(Debug, Clone)]
pub struct EngineShape {
    /// Prompt tokens computed in a second when nothing decodes.
    pub prefill_tokens_per_s: f64,
    /// Time of a decode step with one stream.
    pub decode_step: Duration,
    /// Added to a decode step for each further stream.
    pub decode_step_per_stream: Duration,
    /// Streams that run at once.
    pub max_batch: u32,
    /// Size of the prefix cache in blocks of [`BLOCK_TOKENS`](super::BLOCK_TOKENS).
    pub cache_blocks: u32,
    /// Age of the load that the engine reports.
    pub load_lag: Duration,
}

/// One stream that an engine is asked to run.
#[derive(Debug, Clone)]
pub struct StreamSpec {
    /// Name of the stream, chosen by the caller; unique among the streams that the engine has.
    pub id: u64,
    /// Hashes of the prompt's whole blocks, each over all that comes before.
    pub prefix_blocks: Arc<[u64]>,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Length of the answer; 0 counts as 1.
    pub output_tokens: u32,
}

/// Progress of one stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineOutput {
    /// The stream.
    pub id: u64,
    /// When it got this far; exact for the first token and the end.
    pub at: Duration,
    /// Tokens of the answer so far, in all.
    pub tokens: u32,
    /// Whether this is the end of the answer.
    pub finished: bool,
    /// Prompt tokens that came from the prefix cache.
    pub cached_tokens: u32,
}
