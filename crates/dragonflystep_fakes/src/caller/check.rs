//! Checks a streamed answer token by token.

use {
    crate::{engine::token_text, event_stream::ServerEvent},
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// Data of the event that ends a whole answer.
const DONE: &str = "[DONE]";

/// Kind of the event that tells of a failure.
const ERROR_EVENT: &str = "error";

/// A refusal or failure as an entry tells it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Code, such as `overloaded`.
    pub code: String,
    /// Whether the request ran: `no`, `yes` or `unknown`.
    #[serde(default)]
    pub ran: String,
    /// Text for people.
    #[serde(default)]
    pub message: String,
    /// When to come back.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// Identity of the request at the entry.
    #[serde(default)]
    pub request: Option<String>,
}

#[derive(Deserialize)]
struct RefusalBody {
    error: Refusal,
}

impl Refusal {
    /// Reads the body of a refusal; `None` when it is none.
    pub fn parse(body: &str) -> Option<Self> {
        let body: RefusalBody = serde_json::from_str(body).ok()?;
        Some(body.error)
    }
}

/// What an answer turned out to be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum Verdict {
    /// Whole and right.
    Complete,
    /// Not the answer to this request.
    Wrong {
        /// What differs.
        reason: String,
    },
    /// It ended short as if it were whole.
    Truncated {
        /// Right tokens before the end.
        tokens: u32,
    },
    /// An error event ended it.
    Failed {
        /// What the event says.
        refusal: Refusal,
    },
}

/// Follows one streamed answer.
///
/// # Examples
///
/// ```
/// use dragonflystep_fakes::{caller::{AnswerCheck, Verdict}, event_stream::ServerEvent};
///
/// let mut check = AnswerCheck::new("a prompt", 5);
/// check.push(&ServerEvent { data: "[DONE]".into(), ..Default::default() });
/// assert!(matches!(check.end(), Verdict::Wrong { .. }), "the end came before the tokens");
/// ```
#[derive(Debug)]
pub struct AnswerCheck<'a> {
    prompt: &'a str,
    tokens: u32,
    seen_tokens: u32,
    verdict: Option<Verdict>,
}

impl<'a> AnswerCheck<'a> {
    /// Expects an answer of `tokens` tokens to `prompt`.
    pub fn new(prompt: &'a str, tokens: u32) -> Self {
        Self {
            prompt,
            tokens,
            seen_tokens: 0,
            verdict: None,
        }
    }

    /// Right tokens so far.
    pub fn seen_tokens(&self) -> u32 {
        self.seen_tokens
    }

    /// Takes the next event.
    pub fn push(&mut self, event: &ServerEvent) {
        if matches!(self.verdict, Some(Verdict::Wrong { .. })) {
            return;
        }
        let verdict = if self.verdict.is_some() {
            Some(wrong("something came after the end".to_owned()))
        } else if event.event.as_deref() == Some(ERROR_EVENT) {
            Some(failure(&event.data))
        } else if event.data == DONE {
            Some(self.done())
        } else {
            self.token(event).err().map(wrong)
        };
        self.verdict = verdict.or(self.verdict.take());
    }

    /// The answer ended here.
    pub fn end(self) -> Verdict {
        let tokens = self.seen_tokens;
        self.verdict.unwrap_or(Verdict::Truncated { tokens })
    }

    fn done(&self) -> Verdict {
        if self.seen_tokens == self.tokens {
            Verdict::Complete
        } else {
            wrong(format!(
                "{} tokens in place of {}",
                self.seen_tokens, self.tokens
            ))
        }
    }

    fn token(&mut self, event: &ServerEvent) -> Result<(), String> {
        let index = self.seen_tokens;
        if event.id != Some(u64::from(index) + 1) {
            return Err(format!("event {:?} after {index} tokens", event.id));
        }
        let chunk: Value = serde_json::from_str(&event.data).map_err(|error| error.to_string())?;
        let text = chunk["choices"][0]["text"].as_str().unwrap_or_default();
        let expected = token_text(self.prompt, index);
        if text != expected {
            return Err(format!(
                "token {index} is {text:?} in place of {expected:?}"
            ));
        }
        self.seen_tokens += 1;
        Ok(())
    }
}

fn wrong(reason: String) -> Verdict {
    Verdict::Wrong { reason }
}

fn failure(data: &str) -> Verdict {
    match Refusal::parse(data) {
        Some(refusal) => Verdict::Failed { refusal },
        None => wrong(format!("an error event without an error: {data:?}")),
    }
}
