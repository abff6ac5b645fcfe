//! How far an engine's answer got: which tokens arrived, in order and each once.

use {super::sse::SseEvent, serde::Deserialize, serde_json::Value};

/// Mark by which an engine ends its answer.
pub(crate) const END_MARK: &str = "[DONE]";

/// What an event of an engine's stream means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// The next token.
    Token,
    /// A token that arrived before; drop it.
    Repeated,
    /// The whole answer arrived.
    Complete,
    /// The stream is not what it should be: a token is missing, or something unreadable came.
    Faulty,
    /// The answer is longer than the node may hold.
    TooLarge,
}

/// How far one answer got; lives across a resume.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    tokens: u32,
    text: String,
    kept_bytes: Option<usize>,
    finish_reason: Option<String>,
    usage: Option<Value>,
    model: Option<String>,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<Value>,
    #[serde(default)]
    model: Option<String>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    finish_reason: Option<String>,
}

impl Progress {
    /// An answer of which nothing arrived; its text is kept up to `kept_bytes`, or not at all.
    pub(crate) fn new(kept_bytes: Option<usize>) -> Self {
        Self {
            kept_bytes,
            ..Self::default()
        }
    }

    /// Number of tokens that arrived in order.
    pub(crate) fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Prompt tokens that the engine found in its cache, where it says so.
    pub(crate) fn cached_tokens(&self) -> Option<u32> {
        let details = self.usage.as_ref()?.get("prompt_tokens_details")?;
        details.get("cached_tokens")?.as_u64()?.try_into().ok()
    }

    /// Takes the next event in.
    pub(crate) fn accept(&mut self, event: &SseEvent) -> Step {
        if event.name.is_some() {
            return Step::Faulty;
        }
        if event.data == END_MARK {
            return self.end();
        }
        let Some(id) = event.id else {
            return Step::Faulty;
        };
        let next = u64::from(self.tokens) + 1;
        if id < next {
            return Step::Repeated;
        }
        if id > next {
            return Step::Faulty;
        }
        self.take_chunk(&event.data)
    }

    /// The whole completion, for a caller that did not ask for a stream.
    pub(crate) fn completion(&mut self, id: &str) -> Value {
        serde_json::json!({
            "id": id,
            "object": "text_completion",
            "model": self.model,
            "choices": [{
                "index": 0,
                "text": std::mem::take(&mut self.text),
                "finish_reason": self.finish_reason,
            }],
            "usage": self.usage,
        })
    }

    fn end(&self) -> Step {
        // The last chunk names the reason; without it tokens before the mark may be missing.
        if self.finish_reason.is_none() {
            return Step::Faulty;
        }
        Step::Complete
    }

    fn take_chunk(&mut self, data: &str) -> Step {
        let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
            return Step::Faulty;
        };
        // Only a chunk without text, such as one with the usage, may follow the last one.
        if self.finish_reason.is_some() && !chunk.choices.is_empty() {
            return Step::Faulty;
        }
        for choice in chunk.choices {
            if !self.keep_text(&choice.text) {
                return Step::TooLarge;
            }
            self.finish_reason = self.finish_reason.take().or(choice.finish_reason);
        }
        self.usage = chunk.usage.or(self.usage.take());
        self.model = chunk.model.or(self.model.take());
        self.tokens += 1;
        Step::Token
    }

    fn keep_text(&mut self, text: &str) -> bool {
        let Some(kept_bytes) = self.kept_bytes else {
            return true;
        };
        if self.text.len() + text.len() > kept_bytes {
            return false;
        }
        self.text.push_str(text);
        true
    }
}
