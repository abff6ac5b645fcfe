//! The answer of an engine as server-sent events, with the faults of its pieces.

use {
    super::{
        faults::PieceFaults,
        shared::{Attachment, Engine},
        stream::{StreamProgress, StreamState},
        text::token_text,
    },
    async_stream::stream,
    bytes::Bytes,
    futures::Stream,
    rand::Rng,
    rand_pcg::{Pcg64Mcg, rand_core::SeedableRng},
    serde_json::{Value, json},
    std::{io, sync::Arc},
    tokio::task::yield_now,
};

/// Last event of a whole answer.
const DONE: &str = "data: [DONE]\n\n";

/// Which connection of a stream an answer goes over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Connection {
    First,
    Resumed,
}

/// Usage as the engine reports it.
pub(super) fn usage(attachment: &Attachment, progress: StreamProgress) -> Value {
    json!({
        "prompt_tokens": attachment.prompt_tokens,
        "completion_tokens": attachment.output_tokens,
        "prompt_tokens_details": {"cached_tokens": progress.cached_tokens},
    })
}

/// The events after event `after`, as they come; an error breaks the connection.
pub(super) fn answer_events(
    engine: Arc<Engine>,
    mut attachment: Attachment,
    connection: Connection,
    after: u32,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    stream! {
        let mut pieces = Pieces::new(engine.settings().seed ^ attachment.id());
        let mut sent = after;
        loop {
            let progress = *attachment.progress.borrow_and_update();
            let limit = close_limit(&engine, connection);
            let upto = progress.tokens.min(limit.unwrap_or(u32::MAX));
            let faults = engine.piece_faults();
            let mut text = String::new();
            for number in sent + 1..=upto {
                pieces.add(&mut text, event(&attachment, progress, number), faults);
            }
            sent = sent.max(upto);
            let ended = progress.state == StreamState::Finished && sent >= attachment.output_tokens;
            if ended {
                pieces.flush(&mut text);
                text.push_str(DONE);
            }
            if !text.is_empty() {
                yield Ok(Bytes::from(text));
            }
            if ended || progress.state == StreamState::Cancelled {
                return;
            }
            if progress.state == StreamState::Lost || limit.is_some_and(|limit| sent >= limit) {
                let_flush().await;
                yield Err(io::ErrorKind::ConnectionAborted.into());
                return;
            }
            if attachment.progress.changed().await.is_err() {
                let_flush().await;
                yield Err(io::ErrorKind::ConnectionAborted.into());
                return;
            }
        }
    }
}

/// Lets the server send what it has been given; a broken body throws away what is not yet sent.
async fn let_flush() {
    yield_now().await;
}

fn close_limit(engine: &Engine, connection: Connection) -> Option<u32> {
    match connection {
        Connection::First => engine.close_after_tokens(),
        Connection::Resumed => None,
    }
}

fn event(attachment: &Attachment, progress: StreamProgress, number: u32) -> String {
    let text = token_text(&attachment.prompt, number - 1);
    let data = if number == attachment.output_tokens {
        json!({
            "choices": [{"index": 0, "text": text, "finish_reason": "length"}],
            "usage": usage(attachment, progress),
        })
    } else {
        json!({"choices": [{"index": 0, "text": text}]})
    };
    format!("id: {number}\ndata: {data}\n\n")
}

/// Puts events one after the other, but for the faults.
struct Pieces {
    held: Option<String>,
    random: Pcg64Mcg,
}

impl Pieces {
    fn new(seed: u64) -> Self {
        Self {
            held: None,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn add(&mut self, text: &mut String, event: String, faults: PieceFaults) {
        if self.happens(faults.lose) {
            return;
        }
        if self.held.is_none() && self.happens(faults.reorder) {
            self.held = Some(event);
            return;
        }
        text.push_str(&event);
        if self.happens(faults.duplicate) {
            text.push_str(&event);
        }
        self.flush(text);
    }

    fn flush(&mut self, text: &mut String) {
        if let Some(held) = self.held.take() {
            text.push_str(&held);
        }
    }

    // No number is drawn for a fault that is off, so that it does not shift those of the others.
    fn happens(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random.random::<f64>() < probability
    }
}
