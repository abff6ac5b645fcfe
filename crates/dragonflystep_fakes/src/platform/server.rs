//! The stand-in's HTTP side.

use {
    super::{
        calls::{Call, CallName, Reply, carry_out},
        faults::Verdict,
        state::Platform,
        vms::VmNames,
    },
    bytes::Bytes,
    salvo::{
        Depot, FlowCtrl, Handler, Request, Response, Router, async_trait, http::StatusCode,
        prelude::Json,
    },
    serde::Deserialize,
    std::{future, sync::Arc, time::Duration},
    tokio::time::sleep,
};

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Body of `POST /vms`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VmsOrder {
    /// How long this and later changes take to show; as before when missing.
    #[serde(default)]
    lag_ms: Option<u64>,
    #[serde(default)]
    live: Vec<Arc<str>>,
    #[serde(default)]
    leaving: Vec<Arc<str>>,
}

/// The orders of whoever drives the stand-in; they need no key and meet no faults.
#[derive(Clone, Copy)]
enum Control {
    Faults,
    Vms,
    Records,
}

/// All calls that the stand-in answers.
pub(super) fn router(platform: &Arc<Platform>) -> Router {
    let call = |name| CallHandler {
        platform: platform.clone(),
        name,
    };
    let control = |control| ControlHandler {
        platform: platform.clone(),
        control,
    };
    let objects = Router::with_path("objects/{name}")
        .put(call(CallName::PutObject))
        .get(call(CallName::GetObject));
    let vms = Router::with_path("vms")
        .get(call(CallName::Vms))
        .post(control(Control::Vms));
    Router::new()
        .push(Router::with_path("table/read").post(call(CallName::Read)))
        .push(Router::with_path("table/scan").post(call(CallName::Scan)))
        .push(Router::with_path("table/commit").post(call(CallName::Commit)))
        .push(objects)
        .push(vms)
        .push(Router::with_path("faults").post(control(Control::Faults)))
        .push(Router::with_path("records").get(control(Control::Records)))
}

struct CallHandler {
    platform: Arc<Platform>,
    name: CallName,
}

#[async_trait]
impl Handler for CallHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let reply = match self.take_call(request).await {
            Ok(call) => self.treat(call, request).await,
            Err(status) => Reply::status(status),
        };
        write_reply(response, reply);
    }
}

impl CallHandler {
    async fn take_call(&self, request: &mut Request) -> Result<Call, StatusCode> {
        let body = read_body(request).await.ok_or(StatusCode::BAD_REQUEST)?;
        let authorization = request.headers().get("authorization");
        let authorization = authorization.map(|value| value.as_bytes());
        if !self.platform.is_authorized(authorization) {
            return Err(StatusCode::UNAUTHORIZED);
        }
        let object: Option<String> = request.param("name");
        Ok(Call {
            name: self.name,
            object: object.unwrap_or_default().into(),
            body,
        })
    }

    async fn treat(&self, call: Call, request: &Request) -> Reply {
        let (verdict, delay) = self.platform.decide(self.name.kind());
        match verdict {
            Verdict::Serve => self.carry_out_after(delay, call).await,
            Verdict::LoseAnswer => {
                let reply = self.carry_out_after(delay, call).await;
                self.close_connection(request);
                reply
            }
            Verdict::TooMany => Reply::status(StatusCode::TOO_MANY_REQUESTS),
            Verdict::Down => Reply::status(StatusCode::SERVICE_UNAVAILABLE),
            Verdict::Silence => future::pending().await,
        }
    }

    /// Carries out the call in a task of its own, so that it takes effect although its caller left.
    async fn carry_out_after(&self, delay: Duration, call: Call) -> Reply {
        let platform = self.platform.clone();
        let carrying_out = tokio::spawn(async move {
            sleep(delay).await;
            carry_out(&platform, &call)
        });
        let reply = carrying_out.await;
        reply.unwrap_or_else(|_| Reply::status(StatusCode::INTERNAL_SERVER_ERROR))
    }

    /// Closes the connection before the answer is written, so that none of it gets out.
    fn close_connection(&self, request: &Request) {
        if let Some(remote) = request.remote_addr().clone().into_std() {
            self.platform.connections.close(remote);
        }
    }
}

struct ControlHandler {
    platform: Arc<Platform>,
    control: Control,
}

#[async_trait]
impl Handler for ControlHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let body = read_body(request).await.unwrap_or_default();
        let followed = match self.control {
            Control::Faults => {
                serde_json::from_slice(&body).map(|order| self.platform.order(&order))
            }
            Control::Vms => serde_json::from_slice(&body).map(|order| self.change_vms(order)),
            Control::Records => {
                response.render(Json(self.platform.records()));
                return;
            }
        };
        if let Err(fault) = followed {
            write_reply(response, Reply::bad_body(&fault));
        }
    }
}

impl ControlHandler {
    fn change_vms(&self, order: VmsOrder) {
        if let Some(lag_ms) = order.lag_ms {
            self.platform.set_vm_lag(Duration::from_millis(lag_ms));
        }
        self.platform.change_vms(VmNames {
            live: order.live,
            leaving: order.leaving,
        });
    }
}

async fn read_body(request: &mut Request) -> Option<Bytes> {
    let body = request.payload_with_max_size(MAX_BODY_BYTES).await;
    body.ok().cloned()
}

fn write_reply(response: &mut Response, reply: Reply) {
    response.status_code(reply.status);
    response.body(reply.body);
}
