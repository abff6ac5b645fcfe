//! Intake: from a caller's HTTP request to a request that the reducer hears of.

use {
    super::{
        admission::Permit,
        answer::{self, CallerAnswer},
        body, facts,
        facts::Completion,
        headers,
        refusal::PublicRefusal,
    },
    crate::{
        gateway::Shared,
        open_request::{Content, NewRequest, OpenRequest},
        settings::GatewayView,
    },
    async_trait::async_trait,
    bytes::Bytes,
    dragonflystep_core::{
        catalogue::{ClientAccount, Service, ServiceKind, TierSettings},
        event::Event,
        ids::RequestId,
        request::{RequestFacts, RequestKey},
    },
    salvo::{
        Depot, FlowCtrl, Handler, Request, Response,
        http::{
            Method, Version,
            header::{ACCEPT, CONTENT_TYPE},
        },
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
};

/// Path under which services are reached.
const SERVICES: &str = "/services/";
/// The one path of an engine that callers reach.
const COMPLETIONS: &str = "v1/completions";

/// Why a request was not taken in; it certainly did not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum IntakeError {
    /// It is not of the agreed form.
    #[error("{0}")]
    BadRequest(&'static str),
    /// Its body did not arrive in time.
    #[error("the body did not arrive in time")]
    SlowBody,
    /// Its key is not known, or may not do this.
    #[error("{0}")]
    Unauthorized(&'static str),
    /// Its body is too large.
    #[error("the body is longer than {max_bytes} bytes")]
    TooLarge {
        /// The limit.
        max_bytes: usize,
    },
    /// The catalogue does not name what it asks for.
    #[error("{0}")]
    NotInCatalogue(&'static str),
    /// Its deadline passed before there was room to read it.
    #[error("the deadline passed before the request could be read")]
    DeadlinePassed,
}

/// Answers everything under `/services/`.
pub(crate) struct Intake {
    shared: Arc<Shared>,
}

/// What the head of a request says.
struct Head<'a> {
    arrived: Instant,
    account: Arc<ClientAccount>,
    service: &'a Service,
    path_and_query: String,
    tier: &'a TierSettings,
    deadline: Duration,
    key: Option<RequestKey>,
    idempotent: bool,
}

impl Intake {
    /// The handler.
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: shared.clone(),
        }
    }

    async fn take_in(
        &self,
        id: RequestId,
        request: &mut Request,
        view: &GatewayView,
    ) -> Result<CallerAnswer, IntakeError> {
        let shared = &self.shared;
        let head = self.read_head(request, view)?;
        let max_bytes = shared.settings.max_body_bytes;
        body::check_length(request, max_bytes)?;
        let permit = shared
            .admission
            .enter(head.tier.rank, head.deadline)
            .await
            .ok_or(IntakeError::DeadlinePassed)?;
        let patience = shared.timeouts.caller_body;
        let body = body::read(request, max_bytes, patience).await?;
        let new = new_request(id, &head, request, body, permit)?;
        Ok(self.open(new, request))
    }

    fn read_head<'a>(
        &self,
        request: &Request,
        view: &'a GatewayView,
    ) -> Result<Head<'a>, IntakeError> {
        let arrived = Instant::now();
        // On a connection that carries several requests, cutting one caller's answer would cut the others.
        if request.version() > Version::HTTP_11 {
            return Err(IntakeError::BadRequest("services are reached by HTTP/1.1"));
        }
        let catalogue = &view.catalogue;
        let account = headers::bearer(request.headers())
            .and_then(|key| self.shared.accounts.find(catalogue, key))
            .ok_or(IntakeError::Unauthorized(
                "the key belongs to no client account",
            ))?;
        let (service, path_and_query) = split_path(request)?;
        let service = catalogue
            .service(service)
            .ok_or(IntakeError::NotInCatalogue("there is no such service"))?;
        check_call(service, request.method(), &path_and_query)?;
        let tier = headers::tier(request.headers(), catalogue, &account)?;
        let deadline = headers::deadline(request.headers(), tier)?;
        let (key, idempotent) = headers::identity(request.headers(), &account)?;
        Ok(Head {
            arrived,
            account,
            service,
            path_and_query,
            tier,
            deadline,
            key,
            idempotent,
        })
    }

    /// Logs a refusal with what can be known of the request.
    fn log(&self, public_id: &str, request: &Request, view: &GatewayView, refusal: &PublicRefusal) {
        let headers = request.headers();
        let catalogue = &view.catalogue;
        let account =
            headers::bearer(headers).and_then(|key| self.shared.accounts.find(catalogue, key));
        let tier = account
            .as_ref()
            .and_then(|account| headers::tier(headers, catalogue, account).ok());
        let tier = tier.map(|tier| tier.rank);
        let account = account.as_ref().map(|account| &*account.id);
        refusal.log(public_id, tier, account);
    }

    /// Opens the request and tells the reducer.
    fn open(&self, new: NewRequest, request: &Request) -> CallerAnswer {
        let shared = &self.shared;
        let (id, request_facts) = (new.id, new.facts.clone());
        let connection = shared.connections.get(request.remote_addr());
        let (sender, answer) = answer::channel(shared, id, request_facts.clone(), connection);
        let max_answer_bytes = shared.settings.max_answer_bytes;
        let open = OpenRequest::new(new, sender, max_answer_bytes, shared.events.clone());
        shared.registry.insert(Arc::new(open));
        let _ = shared.events.send(Event::RequestReceived {
            request: id,
            facts: request_facts,
        });
        answer
    }
}

#[async_trait]
impl Handler for Intake {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let shared = &self.shared;
        let busy = shared
            .connections
            .get(request.remote_addr())
            .map(|connection| connection.busy());
        let id = shared.next_request.fetch_add(1, Ordering::Relaxed);
        let public_id = shared.public_id(id);
        answer::name(response, &public_id);
        let view = shared.view();
        match self.take_in(id, request, &view).await {
            Ok(answer) => answer.write(response, busy).await,
            Err(error) => {
                let refusal = PublicRefusal::from(error);
                self.log(&public_id, request, &view, &refusal);
                refusal.write(response, &public_id, shared);
            }
        }
    }
}

/// Name of the service, and the rest of path and query as they came.
fn split_path(request: &Request) -> Result<(&str, String), IntakeError> {
    let uri = request.uri();
    let path = uri.path().strip_prefix(SERVICES);
    let (service, rest) =
        path.and_then(|path| path.split_once('/'))
            .ok_or(IntakeError::NotInCatalogue(
                "services are reached under /services/<service>/",
            ))?;
    let path_and_query = match uri.query() {
        Some(query) => format!("{rest}?{query}"),
        None => rest.to_owned(),
    };
    Ok((service, path_and_query))
}

fn check_call(service: &Service, method: &Method, path: &str) -> Result<(), IntakeError> {
    let completes = method == Method::POST && path == COMPLETIONS;
    if service.kind == ServiceKind::Engine && !completes {
        return Err(IntakeError::BadRequest(
            "a model engine takes POST /v1/completions alone",
        ));
    }
    Ok(())
}

fn new_request(
    id: RequestId,
    head: &Head<'_>,
    request: &Request,
    body: Bytes,
    permit: Permit,
) -> Result<NewRequest, IntakeError> {
    let (method, path) = (request.method(), &head.path_and_query);
    let parts = [method.as_str().as_bytes(), path.as_bytes(), &body[..]];
    let fingerprint = facts::fingerprint(&head.account.id, &parts);
    let completion = match head.service.kind {
        ServiceKind::Engine => Completion::read(&body)?,
        ServiceKind::Plain => Completion {
            prefix_blocks: Arc::default(),
            prompt_tokens: 0,
            output_tokens: 0,
            streamed: false,
            body,
        },
    };
    let facts = RequestFacts {
        service: head.service.id.clone(),
        account: head.account.id.clone(),
        tier: head.tier.rank,
        key: head.key.clone(),
        deadline: head.deadline.saturating_sub(head.arrived.elapsed()),
        idempotent: head.idempotent,
        prefix_blocks: completion.prefix_blocks,
        prompt_tokens: completion.prompt_tokens,
        output_tokens: completion.output_tokens,
        fingerprint,
    };
    Ok(NewRequest {
        id,
        facts: Arc::new(facts),
        streamed: completion.streamed,
        content: Content {
            method: method.clone(),
            path_and_query: path.clone(),
            content_type: header(request, CONTENT_TYPE.as_str()),
            accept: header(request, ACCEPT.as_str()),
            body: completion.body,
        },
        permit,
    })
}

fn header(request: &Request, name: &str) -> Option<Bytes> {
    let value = request.headers().get(name)?;
    Some(Bytes::copy_from_slice(value.as_bytes()))
}
