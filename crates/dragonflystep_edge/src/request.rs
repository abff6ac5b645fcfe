//! Receives a caller's request: reads its head, finds its route and reads its whole body.

use {
    crate::{
        answer::AnswerBody,
        dialect::RequestFacts,
        held_bytes::Hold,
        job::Job,
        limits::{
            DEFAULT_TIME_LEFT, MEMORY_RETRY_AFTER, NO_REGION_RETRY_AFTER, OTHER_NODE_RETRY_AFTER,
        },
        local_reply::{ErrorStatus, LocalReply},
        node::Node,
        not_run::Undispatched,
        stop::StopSignal,
    },
    bytes::{Bytes, BytesMut},
    dragonflystep_dispatch::{
        Account, ContentKey, DataCentreName, PromptSegment, QuotaUnit, RouteKind, RouteMatch,
        RoutingError,
    },
    http::{Request, Response, Version, request::Parts},
    http_body_util::BodyExt,
    hyper::body::{Body as _, Incoming},
    std::rc::Rc,
    tokio::time::{Instant, timeout_at},
    xxhash_rust::xxh3::xxh3_64,
};

/// Handles one request of a caller. A request that can't be dispatched is answered by a reply of the node itself.
pub(crate) async fn serve_request(
    node: &Rc<Node>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived = Instant::now();
    let undispatched = Undispatched::new(StopSignal::open_request(node));
    let (head, body) = request.into_parts();
    let facts = match node.dialect.read_request(&head.uri, &head.headers) {
        Ok(facts) => facts,
        Err(error) => {
            log::info!(error:%; "rejected the head of a request");
            let reply = LocalReply::error(ErrorStatus::BadRequest, "bad_request");
            return reply.response(node, "");
        }
    };
    let request_id = facts.request_id.clone();
    let job = match receive_request(node, head, body, facts, arrived, undispatched).await {
        Ok(job) => job,
        Err(reply) => {
            log::info!(request:% = request_id, reason = reply.reason, evidence = reply.evidence_list(), dispatches = 0, upstreams = ""; "request refused");
            return reply.response(node, &request_id);
        }
    };
    let response = job.run().await;
    node.metrics
        .count("answers_total", response.status().as_str());
    response
}

/// Finds the route of a request and reads its body; returns the reply to the caller if either fails.
async fn receive_request(
    node: &Rc<Node>,
    head: Parts,
    body: Incoming,
    facts: RequestFacts,
    arrived: Instant,
    undispatched: Undispatched,
) -> Result<Rc<Job>, LocalReply> {
    let Some(table) = node.views.catalogue() else {
        return Err(LocalReply::not_run(
            undispatched.not_run_proof(),
            "starting",
            OTHER_NODE_RETRY_AFTER,
        ));
    };
    if node.stop.refuses_new() {
        return Err(LocalReply::not_run(
            undispatched.not_run_proof(),
            "stopping",
            OTHER_NODE_RETRY_AFTER,
        ));
    }
    let resolved = table
        .find(
            &facts.host,
            head.uri.path(),
            facts.key.as_deref(),
            rand::random(),
        )
        .map_err(|error| match error {
            RoutingError::NoRoute => LocalReply::error(ErrorStatus::NotFound, "no_route"),
            RoutingError::UnknownKey => LocalReply::error(ErrorStatus::Unauthorized, "unknown_key"),
        })?;
    let is_stream = matches!(resolved.route.kind, RouteKind::Stream { .. });
    if is_stream && head.version < Version::HTTP_11 {
        // Without chunks the caller could not tell a stream that broke off from a whole one.
        return Err(LocalReply::error(
            ErrorStatus::HttpVersionNotSupported,
            "http_version",
        ));
    }
    let allowed_data_centres =
        allowed_data_centres(node, &resolved, &facts.request_id, &undispatched)?;
    let time_left = facts.time_left.unwrap_or(DEFAULT_TIME_LEFT);
    let deadline = arrived + time_left.min(resolved.route.timeout);
    let limits = table.catalogue().limits;
    let (body, held_body) =
        read_body(node, body, limits.max_body_bytes, deadline, &undispatched).await?;
    let key = facts.key.as_deref().unwrap_or("");
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let hashes = [
        xxh3_64(key.as_bytes()),
        xxh3_64(path.as_bytes()),
        xxh3_64(&body),
    ];
    let shared_content = shared_content(&facts.size.segments);
    let tier = resolved.tier();
    let quota_units = quota_units(resolved.account.as_deref(), &facts);
    Ok(Rc::new(Job {
        node: node.clone(),
        facts,
        route: resolved.route,
        account: resolved.account,
        service: resolved.service,
        arrived,
        deadline,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        fingerprint: xxh3_64(&concat_le_bytes(&hashes)),
        shared_content,
        quota_units,
        tier,
        allowed_data_centres,
        _held_body: held_body,
        _open_request: undispatched.into_open_request(),
    }))
}

/// The data centres in which the request may be processed; `None` if it may be processed in all.
///
/// # Errors
/// If there is no such data centre: the regions of route and account have none in common, or are unknown.
fn allowed_data_centres(
    node: &Node,
    resolved: &RouteMatch,
    request_id: &str,
    undispatched: &Undispatched,
) -> Result<Option<Vec<DataCentreName>>, LocalReply> {
    let Some(regions) = resolved.allowed_regions() else {
        return Ok(None);
    };
    let data_centres = node.data_centres_in(&regions);
    if data_centres.is_empty() {
        let account = resolved.account.as_ref();
        let account = account.map_or("", |account| &account.name);
        log::warn!(request = request_id, route:% = resolved.route.name, account, regions:? = regions; "no data centre may process the request");
        return Err(LocalReply::not_run(
            undispatched.not_run_proof(),
            "no_permitted_region",
            NO_REGION_RETRY_AFTER,
        ));
    }
    Ok(Some(data_centres))
}

/// Keys of the prompt segments that other requests may share. The last segment belongs to the request itself.
fn shared_content(segments: &[PromptSegment]) -> Vec<ContentKey> {
    let shared = segments.split_last().map_or(&[][..], |(_, shared)| shared);
    let ids = shared.iter().map(|segment| segment.id.to_le_bytes());
    ids.map(|id| xxh3_64(&id)).collect()
}

fn concat_le_bytes(hashes: &[u64]) -> Vec<u8> {
    hashes.iter().flat_map(|hash| hash.to_le_bytes()).collect()
}

/// Reads a request's body whole; its bytes count against the node's memory for connections.
async fn read_body(
    node: &Node,
    body: Incoming,
    max_bytes: usize,
    deadline: Instant,
    undispatched: &Undispatched,
) -> Result<(Bytes, Option<Hold>), LocalReply> {
    let expected_bytes = body.size_hint().lower();
    if expected_bytes > max_bytes as u64 {
        return Err(too_large());
    }
    let reading = timeout_at(deadline, read_frames(node, body, max_bytes, undispatched));
    match reading.await {
        Ok(read) => read,
        Err(_) => Err(LocalReply::slow_body(undispatched.not_run_proof())),
    }
}

fn too_large() -> LocalReply {
    LocalReply::error(ErrorStatus::PayloadTooLarge, "body_too_large")
}

/// Reads the frames of a body. If there is no room for it, the rest is read and discarded before the request is refused:
/// closing a connection with unread bytes resets it, and the caller might not get the reply.
async fn read_frames(
    node: &Node,
    mut body: Incoming,
    max_bytes: usize,
    undispatched: &Undispatched,
) -> Result<(Bytes, Option<Hold>), LocalReply> {
    let mut bytes = BytesMut::new();
    let mut held: Option<Hold> = None;
    let mut received_bytes = 0;
    let mut has_room = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(LocalReply::error(ErrorStatus::BadRequest, "broken_body"));
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        received_bytes += data.len();
        if received_bytes > max_bytes {
            return Err(too_large());
        }
        let more = node.held_bytes.try_hold_body(data.len());
        let Some(more) = more.filter(|_| has_room) else {
            has_room = false;
            held = None;
            bytes = BytesMut::new();
            continue;
        };
        match &mut held {
            Some(held) => held.merge(more),
            None => held = Some(more),
        }
        bytes.extend_from_slice(&data);
    }
    if !has_room {
        return Err(LocalReply::not_run(
            undispatched.not_run_proof(),
            "memory_used_up",
            MEMORY_RETRY_AFTER,
        ));
    }
    Ok((bytes.freeze(), held))
}

/// Units that a request takes from the quota of its account; 0 without a quota.
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
            .map_or(plain_request_tokens, |max_output_tokens| {
                facts.size.prompt_tokens.saturating_add(max_output_tokens)
            }),
    }
}
