//! The calls that operators make.

use {
    super::{
        keys::{Role, role},
        wire::{self, Reply},
    },
    crate::{
        callers::{body, headers},
        gateway::Shared,
    },
    async_trait::async_trait,
    dragonflystep_core::{admin::AdminCommand, event::Event},
    salvo::{
        Depot, FlowCtrl, Handler, Request, Response, Router, Service,
        http::{HeaderValue, Method, StatusCode, header::CONTENT_TYPE},
    },
    std::sync::Arc,
    tokio::time::timeout,
};

/// Media type of every answer.
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Health,
    ShowCatalogue,
    ChangeCatalogue,
    History,
    Status,
    Report,
}

struct Operators {
    shared: Arc<Shared>,
}

/// The service for operators.
pub(crate) fn service(shared: &Arc<Shared>) -> Service {
    let operators = Operators {
        shared: shared.clone(),
    };
    Service::new(Router::with_path("{**rest}").goal(operators))
}

#[async_trait]
impl Handler for Operators {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let _busy = self
            .shared
            .connections
            .get(request.remote_addr())
            .map(|connection| connection.busy());
        let reply = match self.answer(request).await {
            Ok(reply) | Err(reply) => reply,
        };
        let status = StatusCode::from_u16(reply.status);
        response.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
        response.headers_mut().insert(CONTENT_TYPE, JSON);
        response.body(reply.body.to_string());
    }
}

impl Operators {
    async fn answer(&self, request: &mut Request) -> Result<Reply, Reply> {
        let call = find_call(request)?;
        if call == Call::Health {
            return Ok(health());
        }
        self.check_key(request, call)?;
        let command = match call {
            Call::Health => return Ok(health()),
            Call::Report => return Ok(self.report()),
            Call::ShowCatalogue => AdminCommand::ShowCatalogue,
            Call::Status => AdminCommand::ShowStatus,
            Call::History => AdminCommand::ShowHistory {
                since: since(request)?,
            },
            Call::ChangeCatalogue => self.read_change(request).await?,
        };
        self.ask_reducer(command).await
    }

    fn check_key(&self, request: &Request, call: Call) -> Result<(), Reply> {
        let key = headers::bearer(request.headers()).unwrap_or_default();
        match role(&self.shared.settings, key) {
            Role::Editor => Ok(()),
            Role::Reader if call != Call::ChangeCatalogue => Ok(()),
            Role::Reader => Err(wire::fault(403, "forbidden", "this key may only read")),
            Role::Nobody => Err(wire::fault(401, "unauthorized", "the key is not known")),
        }
    }

    fn report(&self) -> Reply {
        Reply {
            status: 200,
            body: (self.shared.report)(),
        }
    }

    async fn read_change(&self, request: &mut Request) -> Result<AdminCommand, Reply> {
        let max_bytes = self.shared.settings.max_body_bytes;
        let patience = self.shared.timeouts.caller_body;
        let body = body::read(request, max_bytes, patience)
            .await
            .map_err(|error| wire::fault(400, "bad_request", &error.to_string()))?;
        wire::read_change(&body)
    }

    async fn ask_reducer(&self, command: AdminCommand) -> Result<Reply, Reply> {
        let changes = matches!(command, AdminCommand::ChangeCatalogue { .. });
        let mut waiting = self.shared.admin_calls.open();
        let event = Event::AdminCalled {
            call: waiting.id,
            command,
        };
        let _ = self.shared.events.send(event);
        let answer = timeout(self.shared.timeouts.operator_answer, waiting.answer());
        match answer.await {
            Ok(Some(answer)) => Ok(wire::write(answer)),
            _ => Err(unanswered(changes)),
        }
    }
}

fn health() -> Reply {
    Reply {
        status: 200,
        body: serde_json::json!({ "status": "running" }),
    }
}

fn unanswered(changes: bool) -> Reply {
    let message = if changes {
        "no answer in time; the change may have been made: send it again with the same token, or look at \
         the history"
    } else {
        "no answer in time; nothing was changed"
    };
    wire::fault(504, "timeout", message)
}

fn find_call(request: &Request) -> Result<Call, Reply> {
    let reads = request.method() == Method::GET;
    let call = match request.uri().path() {
        "/health" if reads => Call::Health,
        "/admin/catalogue" if reads => Call::ShowCatalogue,
        "/admin/catalogue" if request.method() == Method::POST => Call::ChangeCatalogue,
        "/admin/history" if reads => Call::History,
        "/admin/status" if reads => Call::Status,
        "/admin/report" if reads => Call::Report,
        _ => return Err(wire::fault(404, "not_found", "there is no such call")),
    };
    Ok(call)
}

fn since(request: &Request) -> Result<u64, Reply> {
    let Some(query) = request.uri().query() else {
        return Ok(0);
    };
    let Some(value) = query
        .split('&')
        .find_map(|field| field.strip_prefix("since="))
    else {
        return Ok(0);
    };
    value
        .parse()
        .map_err(|_| wire::fault(400, "bad_request", "`since` has to be a number"))
}
