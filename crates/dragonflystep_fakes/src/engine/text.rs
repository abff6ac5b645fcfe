//! What an engine makes of a prompt: its tokens, its prefix blocks, and the answer.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes of a prompt that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Bytes of a prompt in one block of the prefix cache.
pub const BYTES_PER_BLOCK: usize = 256;

/// Text of the answer's token number `index` (from 0), a fixed function of both.
///
/// Event `n` of a stream carries token `n - 1`, so a caller can check an answer token by token.
///
/// # Examples
///
/// ```
/// use dragonflystep_fakes::engine::token_text;
///
/// assert_eq!(token_text("Quote a rewind.", 3), token_text("Quote a rewind.", 3));
/// assert_ne!(token_text("Quote a rewind.", 3), token_text("Quote a rewind.", 4));
/// ```
pub fn token_text(prompt: &str, index: u32) -> String {
    let word = xxh3_64_with_seed(prompt.as_bytes(), u64::from(index) + 1);
    format!(" {:08x}", word >> 32)
}

/// The whole answer of `tokens` tokens.
pub fn answer_text(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token_text(prompt, index)).collect()
}

/// Tokens of a prompt: 4 bytes each, rounded up.
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Hashes of the prompt's whole blocks, each over the hash before and the block's bytes.
///
/// # Examples
///
/// ```
/// use dragonflystep_fakes::engine::prefix_blocks;
///
/// let prompt = "a".repeat(600);
/// assert_eq!(prefix_blocks(&prompt).len(), 2);
/// assert_eq!(prefix_blocks(&prompt)[..1], prefix_blocks(&prompt[..256])[..]);
/// ```
pub fn prefix_blocks(prompt: &str) -> Vec<u64> {
    let mut before = 0_u64;
    let blocks = prompt.as_bytes().chunks_exact(BYTES_PER_BLOCK);
    blocks
        .map(|block| {
            let mut bytes = before.to_le_bytes().to_vec();
            bytes.extend_from_slice(block);
            before = xxh3_64(&bytes);
            before
        })
        .collect()
}

/// Hash by which the records name a body or a prompt.
pub fn content_hash(content: &[u8]) -> String {
    format!("{:016x}", xxh3_64(content))
}
