//! What the reducer is told of a request's content.

use {
    super::intake::IntakeError,
    bytes::Bytes,
    dragonflystep_core::ids::{BlockHash, Fingerprint},
    serde_json::{Map, Value},
    std::sync::Arc,
    xxhash_rust::xxh3::{Xxh3, xxh3_64},
};

/// Bytes of a prompt that make one block.
const BLOCK_BYTES: usize = 256;
/// Bytes of a prompt that are counted as one token.
const TOKEN_BYTES: usize = 4;
/// Longest answer of a request that names none.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// What a completion request asks for.
#[derive(Debug, PartialEq)]
pub(crate) struct Completion {
    /// Hashes of the prompt's prefix at each block end.
    pub(crate) prefix_blocks: Arc<[BlockHash]>,
    /// Length of the prompt.
    pub(crate) prompt_tokens: u32,
    /// Longest answer.
    pub(crate) output_tokens: u32,
    /// Whether the caller wants a stream.
    pub(crate) streamed: bool,
    /// The body for the engine; always asks for a stream.
    pub(crate) body: Bytes,
}

impl Completion {
    /// Reads the body of a completion request.
    pub(crate) fn read(body: &Bytes) -> Result<Self, IntakeError> {
        let mut fields: Map<String, Value> = serde_json::from_slice(body)
            .map_err(|_| IntakeError::BadRequest("the body has to be a JSON object"))?;
        let Some(Value::String(prompt)) = fields.get("prompt") else {
            return Err(IntakeError::BadRequest("`prompt` has to be a text"));
        };
        if !matches!(fields.get("n").map(Value::as_u64), None | Some(Some(1))) {
            return Err(IntakeError::BadRequest("`n` has to be 1"));
        }
        let prefix_blocks = prefix_blocks(prompt);
        let prompt_tokens = count_tokens(prompt);
        let output_tokens = output_tokens(&fields)?;
        let streamed = streamed(&fields)?;
        let body = if streamed && fields.contains_key("max_tokens") {
            body.clone()
        } else {
            // The engine has to keep to the length that was counted, whatever its own default is.
            fields.insert("max_tokens".to_owned(), output_tokens.into());
            fields.insert("stream".to_owned(), Value::Bool(true));
            Bytes::from(Value::Object(fields).to_string())
        };
        Ok(Self {
            prefix_blocks,
            prompt_tokens,
            output_tokens,
            streamed,
            body,
        })
    }
}

fn output_tokens(fields: &Map<String, Value>) -> Result<u32, IntakeError> {
    let Some(value) = fields.get("max_tokens") else {
        return Ok(DEFAULT_OUTPUT_TOKENS);
    };
    let tokens = value.as_u64().and_then(|tokens| tokens.try_into().ok());
    match tokens {
        Some(tokens) if tokens > 0 => Ok(tokens),
        _ => Err(IntakeError::BadRequest(
            "`max_tokens` has to be a number above 0",
        )),
    }
}

fn streamed(fields: &Map<String, Value>) -> Result<bool, IntakeError> {
    match fields.get("stream") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(streamed)) => Ok(*streamed),
        Some(_) => Err(IntakeError::BadRequest("`stream` has to be true or false")),
    }
}

/// Hash at the end of each whole block, each over the hash before it and the block.
fn prefix_blocks(prompt: &str) -> Arc<[BlockHash]> {
    let mut before: BlockHash = 0;
    let mut input = [0; 8 + BLOCK_BYTES];
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .map(|block| {
            input[..8].copy_from_slice(&before.to_le_bytes());
            input[8..].copy_from_slice(block);
            before = xxh3_64(&input);
            before
        })
        .collect()
}

fn count_tokens(prompt: &str) -> u32 {
    prompt
        .len()
        .div_ceil(TOKEN_BYTES)
        .try_into()
        .unwrap_or(u32::MAX)
}

/// Hash over the account and all that makes the content; parts are kept apart by their lengths.
pub(crate) fn fingerprint(account: &str, parts: &[&[u8]]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in [account.as_bytes()].iter().chain(parts) {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}
