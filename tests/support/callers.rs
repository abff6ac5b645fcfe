//! Generated traffic, and single requests to a chosen node.

use {
    super::{ACCOUNT_KEY, MODEL, MODEL_SERVICE, PLAIN_SERVICE},
    dragonflystep::fakes::caller::{CallerAccount, CallerTier, Refusal, TrafficSettings},
    reqwest::{Client, RequestBuilder, StatusCode},
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
};

/// Settings for mixed traffic of two tiers with short answers: completions, idempotent calls and orders.
pub fn traffic(seed: u64, requests: u32, requests_per_s: f64) -> TrafficSettings {
    let tier = |name: &str, weight| CallerTier {
        name: name.to_owned(),
        weight,
        deadline: Duration::from_secs(15),
    };
    TrafficSettings {
        seed,
        requests,
        requests_per_s,
        tiers: vec![tier("urgent", 0.3), tier("routine", 0.7)],
        accounts: vec![CallerAccount::new(ACCOUNT_KEY, 1.0)],
        stock_share: 0.15,
        order_share: 0.15,
        shared_prefixes: 4,
        prefix_bytes: 1_024,
        prompt_bytes: 80..=3_000,
        output_tokens: 2..=60,
    }
}

/// The response to a single request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Complete body: JSON, or the text of an event stream.
    pub body: String,
}

impl Answer {
    /// Returns the refusal in the body or in the stream's error event, or `None` if the answer has neither.
    pub fn refusal(&self) -> Option<Refusal> {
        let event = self.body.split("event: error").nth(1);
        let data = event.and_then(|event| event.split("data:").nth(1));
        let data = data.and_then(|data| data.lines().next());
        Refusal::parse(data.unwrap_or(&self.body).trim())
    }

    /// Returns true if the request succeeded and the event stream ended with its `[DONE]` marker.
    pub fn is_whole_stream(&self) -> bool {
        self.status.is_success() && self.body.trim_end().ends_with("data: [DONE]")
    }
}

fn request(client: &Client, entry: SocketAddr, path: &str, key: &str) -> RequestBuilder {
    client
        .post(format!("http://{entry}/services/{path}"))
        .bearer_auth(ACCOUNT_KEY)
        .header("X-Tier", "routine")
        .header("X-Deadline-Ms", "15000")
        .header("Idempotency-Key", key)
}

/// Builds a request for a streamed completion of `prompt` with at most `tokens` output tokens.
pub fn prompt_request(
    client: &Client,
    entry: SocketAddr,
    key: &str,
    prompt: &str,
    tokens: u32,
) -> RequestBuilder {
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": true});
    request(
        client,
        entry,
        &format!("{MODEL_SERVICE}/v1/completions"),
        key,
    )
    .json(&body)
}

/// Builds an order: a non-idempotent request to the plain service, which must run at most once.
pub fn order_request(client: &Client, entry: SocketAddr, key: &str, body: &str) -> RequestBuilder {
    request(client, entry, &format!("{PLAIN_SERVICE}/orders"), key)
        .header("X-Idempotent", "false")
        .body(body.to_owned())
}

/// Sends a request and reads the complete answer. Returns `None` if the connection breaks or 25 s pass.
pub async fn send_request(request: RequestBuilder) -> Option<Answer> {
    let answer = request.timeout(Duration::from_secs(25)).send().await.ok()?;
    let status = answer.status();
    let body = answer.text().await.ok()?;
    Some(Answer { status, body })
}
