//! Sends one request to one entry and checks what comes back.

use {
    super::{
        CallerSettings,
        check::{AnswerCheck, Refusal, Verdict},
        report::RequestOutcome,
        traffic::{Ask, PlannedRequest},
    },
    crate::{event_stream::EventParser, service::stock_of},
    reqwest::{Client, RequestBuilder, Response, StatusCode, header::RETRY_AFTER},
    serde_json::{Value, json},
    std::time::{Duration, Instant},
    tokio::time::timeout_at,
};

/// What one attempt gave.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) outcome: RequestOutcome,
    pub(super) first_token: Option<Instant>,
    pub(super) tokens: u32,
}

impl Attempt {
    fn plain(outcome: RequestOutcome) -> Self {
        Self {
            outcome,
            first_token: None,
            tokens: 0,
        }
    }

    /// There was no entry to send to.
    pub(super) fn unreachable() -> Self {
        Self::plain(RequestOutcome::Unreachable)
    }
}

/// Sends the request to the entry at `address`; gives up at `patience`.
pub(super) async fn attempt(
    client: &Client,
    settings: &CallerSettings,
    request: &PlannedRequest,
    address: &str,
    deadline: Instant,
    patience: Instant,
) -> Attempt {
    let call = call(client, settings, request, address, deadline);
    let mut attempt = Attempt::plain(RequestOutcome::TimedOut);
    let exchange = async {
        let response = match call.send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                attempt.outcome = RequestOutcome::Unreachable;
                return;
            }
            Err(_) => {
                attempt.outcome = RequestOutcome::Broken;
                return;
            }
        };
        read(&mut attempt, request, response).await;
    };
    // An attempt that is given up on keeps what it had: a timeout, with the tokens so far.
    let _ = timeout_at(patience.into(), exchange).await;
    attempt
}

fn call(
    client: &Client,
    settings: &CallerSettings,
    request: &PlannedRequest,
    address: &str,
    deadline: Instant,
) -> RequestBuilder {
    let model = format!("http://{address}/services/{}", settings.model_service);
    let plain = format!("http://{address}/services/{}", settings.plain_service);
    let call = match &request.ask {
        Ask::Completion {
            prompt,
            output_tokens,
        } => {
            let body = json!({"model": settings.model, "prompt": prompt, "max_tokens": output_tokens, "stream": true});
            client.post(format!("{model}/v1/completions")).json(&body)
        }
        Ask::Stock { item } => client.get(format!("{plain}/stock/{item}")),
        Ask::Order { body } => client
            .post(format!("{plain}/orders"))
            .header("X-Idempotent", "false")
            .body(body.clone()),
    };
    let left = deadline
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    call.bearer_auth(&settings.traffic.accounts[request.account].key)
        .header("X-Tier", &settings.traffic.tiers[request.tier].name)
        .header("X-Deadline-Ms", left.as_millis().max(1).to_string())
        .header("Idempotency-Key", &request.idempotency_key)
}

async fn read(attempt: &mut Attempt, request: &PlannedRequest, response: Response) {
    let status = response.status();
    if status != StatusCode::OK {
        attempt.outcome = read_refusal(status, response).await;
        return;
    }
    match &request.ask {
        Ask::Completion {
            prompt,
            output_tokens,
        } => {
            let check = AnswerCheck::new(prompt, *output_tokens);
            attempt.outcome = match read_stream(attempt, check, response).await {
                Some(Verdict::Complete) => RequestOutcome::Complete,
                Some(Verdict::Wrong { reason }) => RequestOutcome::Wrong { reason },
                Some(Verdict::Truncated { .. }) => RequestOutcome::Truncated,
                Some(Verdict::Failed { refusal }) => RequestOutcome::Failed { refusal },
                None => RequestOutcome::Broken,
            };
        }
        Ask::Stock { item } => {
            let expected = json!({"item": item, "stock": stock_of(*item)});
            attempt.outcome = read_plain(response, &expected).await;
        }
        Ask::Order { .. } => {
            let expected = json!({"ordered": true, "times_run": 1});
            attempt.outcome = read_plain(response, &expected).await;
        }
    }
}

/// Reads to the end; `None` when the connection broke, which the caller sees and so is not misled.
async fn read_stream(
    attempt: &mut Attempt,
    mut check: AnswerCheck<'_>,
    mut response: Response,
) -> Option<Verdict> {
    let mut parser = EventParser::default();
    while let Some(bytes) = response.chunk().await.ok()? {
        for event in parser.push(&bytes) {
            check.push(&event);
        }
        attempt.tokens = check.seen_tokens();
        if attempt.tokens > 0 {
            attempt.first_token.get_or_insert_with(Instant::now);
        }
    }
    Some(check.end())
}

async fn read_plain(response: Response, expected: &Value) -> RequestOutcome {
    let Ok(body) = response.text().await else {
        return RequestOutcome::Broken;
    };
    match serde_json::from_str::<Value>(&body) {
        Ok(answer) if answer == *expected => RequestOutcome::Complete,
        _ => RequestOutcome::Wrong {
            reason: format!("{body:?} in place of {expected}"),
        },
    }
}

async fn read_refusal(status: StatusCode, response: Response) -> RequestOutcome {
    let header = response.headers().get(RETRY_AFTER);
    let retry_after_s: Option<u64> = header.and_then(|value| value.to_str().ok()?.parse().ok());
    let body = response.text().await.unwrap_or_default();
    match Refusal::parse(&body) {
        Some(mut refusal) => {
            refusal.retry_after_ms = refusal
                .retry_after_ms
                .or(retry_after_s.map(|seconds| seconds * 1_000));
            RequestOutcome::Refused { refusal }
        }
        None => RequestOutcome::Status {
            status: status.as_u16(),
        },
    }
}
