//! Receiving a caller's request: its head is read, it is routed, and its body is read whole.

use {
    crate::{
        answer::AnswerBody,
        answers_of_own::OwnAnswer,
        dialect::RequestFacts,
        job::Job,
        limits::{DEFAULT_TIME_LEFT, ELSEWHERE_RETRY_AFTER},
        node::Node,
        stop::{OpenRequest, StopSignal},
    },
    bytes::Bytes,
    dragonflystep_dispatch::{Account, QuotaUnit, RoutingError},
    http::{Request, Response, StatusCode, request::Parts},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::{Body as _, Incoming},
    std::{rc::Rc, time::Instant},
    tokio::time::timeout_at,
    xxhash_rust::xxh3::xxh3_64,
};

/// Serves one request of a caller.
pub(crate) async fn serve_request(
    node: &Rc<Node>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived = Instant::now();
    let open = StopSignal::open_request(node);
    let (head, body) = request.into_parts();
    let facts = match node.dialect.read_request(&head.uri, &head.headers) {
        Ok(facts) => facts,
        Err(error) => {
            log::info!(error:%; "a request's head is refused");
            let answer = OwnAnswer::new(StatusCode::BAD_REQUEST, "bad_request");
            return answer.response(node, "");
        }
    };
    let request_id = facts.request_id.clone();
    let job = match receive(node, head, body, facts, arrived, open).await {
        Ok(job) => job,
        Err(answer) => {
            log::info!(request:% = request_id, reason = answer.reason; "request refused");
            return answer.response(node, &request_id);
        }
    };
    let response = job.run().await;
    node.metrics
        .count("answers_total", response.status().as_str());
    response
}

/// Routes a request and reads its body.
async fn receive(
    node: &Rc<Node>,
    head: Parts,
    body: Incoming,
    facts: RequestFacts,
    arrived: Instant,
    open: OpenRequest,
) -> Result<Rc<Job>, OwnAnswer> {
    let Some(table) = node.views.catalogue() else {
        return Err(OwnAnswer::not_run("starting", ELSEWHERE_RETRY_AFTER));
    };
    if node.stop.refuses_new() {
        return Err(OwnAnswer::not_run("stopping", ELSEWHERE_RETRY_AFTER));
    }
    let found = table
        .find(
            &facts.host,
            head.uri.path(),
            facts.key.as_deref(),
            rand::random(),
        )
        .map_err(|error| match error {
            RoutingError::NoRoute => OwnAnswer::new(StatusCode::NOT_FOUND, "no_route"),
            RoutingError::UnknownKey => OwnAnswer::new(StatusCode::UNAUTHORIZED, "unknown_key"),
        })?;
    let time_left = facts.time_left.unwrap_or(DEFAULT_TIME_LEFT);
    let deadline = arrived + time_left.min(found.route.timeout);
    let limits = table.catalogue().limits;
    let body = read_body(body, limits.max_body_bytes, deadline).await?;
    let key = facts.key.as_deref().unwrap_or("");
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let digests = [
        xxh3_64(key.as_bytes()),
        xxh3_64(path.as_bytes()),
        xxh3_64(&body),
    ];
    let tier = found.tier();
    let quota_units = quota_units(found.account.as_deref(), &facts);
    Ok(Rc::new(Job {
        node: node.clone(),
        facts,
        route: found.route,
        account: found.account,
        service: found.service,
        arrived,
        deadline,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        fingerprint: xxh3_64(&little_endian(&digests)),
        quota_units,
        tier,
        _open: open,
    }))
}

fn little_endian(digests: &[u64]) -> Vec<u8> {
    digests
        .iter()
        .flat_map(|digest| digest.to_le_bytes())
        .collect()
}

async fn read_body(
    body: Incoming,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, OwnAnswer> {
    let too_large = OwnAnswer::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large");
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large);
    }
    let collected = timeout_at(deadline.into(), Limited::new(body, max_bytes).collect()).await;
    let Ok(collected) = collected else {
        return Err(OwnAnswer::new(StatusCode::REQUEST_TIMEOUT, "slow_body"));
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(too_large),
        Err(_) => Err(OwnAnswer::new(StatusCode::BAD_REQUEST, "broken_body")),
    }
}

fn quota_units(account: Option<&Account>, facts: &RequestFacts) -> u32 {
    let Some(quota) = account.and_then(|account| account.quota) else {
        return 0;
    };
    match quota.unit {
        QuotaUnit::Requests => 1,
        QuotaUnit::Tokens {
            plain_request_tokens,
        } => facts
            .max_output_tokens
            .map_or(plain_request_tokens, |most| {
                facts.size.prompt_tokens.saturating_add(most)
            }),
    }
}
