//! The HTTP calls of a plain-service stand-in.

use {
    super::{
        faults::ServiceFault,
        state::{Arrival, Disturbance, Service},
        stock_of,
    },
    async_stream::stream,
    bytes::Bytes,
    salvo::{
        Request, Response, Router, handler,
        http::{
            StatusCode,
            header::{ACCEPT, CONTENT_LENGTH, CONTENT_TYPE},
        },
        writing::Json,
    },
    serde_json::{Value, json},
    std::{io, sync::Arc},
    tokio::{task::yield_now, time::sleep},
};

/// Largest body of a call.
const MAX_BODY_BYTES: usize = 16 << 20;

/// The calls of the service, and those of its control.
pub(super) fn router(service: &Arc<Service>) -> Router {
    Router::new()
        .push(Router::with_path("v1/load").get(LoadCall(Arc::clone(service))))
        .push(Router::with_path("records").get(RecordsCall(Arc::clone(service))))
        .push(Router::with_path("faults").post(FaultsCall(Arc::clone(service))))
        .push(Router::with_path("{**rest}").goal(AnyCall(Arc::clone(service))))
}

struct AnyCall(Arc<Service>);

#[handler]
impl AnyCall {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let Some(arrival) = read(request).await else {
            response.status_code(StatusCode::PAYLOAD_TOO_LARGE);
            return;
        };
        let (call, _running) = self.0.take(&arrival);
        sleep(call.latency).await;
        let answer = answer_to(&arrival, request, self.0.runs_of(&arrival));
        match call.disturbance {
            None => render(response, StatusCode::OK, &answer),
            Some(Disturbance::Status { status }) => {
                let status =
                    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
                render(
                    response,
                    status,
                    &json!({"error": {"code": "fault", "message": "a fault gives this status"}}),
                );
            }
            Some(Disturbance::Fenced { highest }) => {
                let message = format!("a higher fencing number was seen: {highest}");
                let refusal = json!({"error": {"code": "fenced", "ran": "no", "message": message}});
                render(response, StatusCode::CONFLICT, &refusal);
            }
            Some(Disturbance::CloseMidAnswer { chunked }) => {
                break_in_the_middle(response, &answer, chunked);
                return;
            }
            Some(Disturbance::Crash { down }) => {
                self.0.go_down(down);
                return;
            }
            Some(Disturbance::SilenceBeforeAnswer) => {
                if let Some(remote) = request.remote_addr().clone().into_std() {
                    self.0.control().silence_one(remote);
                }
                return;
            }
            Some(Disturbance::CloseBeforeAnswer) => {
                if let Some(remote) = request.remote_addr().clone().into_std() {
                    self.0.control().break_one(remote);
                }
                return;
            }
        }
        let status = response.status_code.unwrap_or(StatusCode::OK);
        self.0.answered(call.record, status.as_u16());
    }
}

async fn read(request: &mut Request) -> Option<Arrival> {
    let body = request
        .payload_with_max_size(MAX_BODY_BYTES)
        .await
        .ok()?
        .to_vec();
    let path = request.uri().path().to_owned();
    let is_order = request.method().as_str() == "POST" && path.starts_with("/orders");
    let query = request.uri().query().map(|query| format!("?{query}"));
    Some(Arrival {
        method: request.method().to_string(),
        path: path + &query.unwrap_or_default(),
        request_id: request.header("x-request-id"),
        fencing_number: request.header("x-fencing-number"),
        idempotency_key: request.header("idempotency-key"),
        idempotent: request.header("x-idempotent"),
        body,
        is_order,
    })
}

fn answer_to(arrival: &Arrival, request: &Request, times_run: u32) -> Value {
    if arrival.is_order {
        return json!({"ordered": true, "times_run": times_run});
    }
    let stock = arrival
        .path
        .strip_prefix("/stock/")
        .and_then(|item| item.parse().ok());
    if let Some(item) = stock {
        return json!({"item": item, "stock": stock_of(item)});
    }
    let header = |name| {
        request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    json!({
        "method": arrival.method,
        "path": arrival.path,
        "content_type": header(CONTENT_TYPE),
        "accept": header(ACCEPT),
        "body": String::from_utf8_lossy(&arrival.body),
    })
}

fn render(response: &mut Response, status: StatusCode, answer: &Value) {
    response.status_code(status);
    response.render(Json(answer));
}

fn break_in_the_middle(response: &mut Response, answer: &Value, chunked: bool) {
    let whole = answer.to_string().into_bytes();
    let half = Bytes::copy_from_slice(&whole[..whole.len() / 2]);
    response.status_code(StatusCode::OK);
    if !chunked {
        response
            .headers_mut()
            .insert(CONTENT_LENGTH, whole.len().into());
    }
    response.stream(stream! {
        yield io::Result::Ok(half);
        // The server gets a turn to send; a broken body throws away what is not yet sent.
        yield_now().await;
        yield Err(io::ErrorKind::ConnectionAborted.into());
    });
}

struct LoadCall(Arc<Service>);

#[handler]
impl LoadCall {
    async fn handle(&self, response: &mut Response) {
        if !self.0.settings().reports_load {
            render(response, StatusCode::NOT_FOUND, &json!({}));
            return;
        }
        let running = self.0.running();
        let load = json!({"running": running, "queued": 0, "sampled_ms_ago": 0});
        render(response, StatusCode::OK, &load);
    }
}

struct RecordsCall(Arc<Service>);

#[handler]
impl RecordsCall {
    async fn handle(&self, response: &mut Response) {
        response.render(Json(self.0.records()));
    }
}

struct FaultsCall(Arc<Service>);

#[handler]
impl FaultsCall {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        match request.parse_json::<ServiceFault>().await {
            Ok(fault) => {
                self.0.apply(fault);
                response.status_code(StatusCode::NO_CONTENT);
            }
            Err(error) => {
                let refusal =
                    json!({"error": {"code": "bad_request", "message": error.to_string()}});
                render(response, StatusCode::BAD_REQUEST, &refusal);
            }
        }
    }
}
