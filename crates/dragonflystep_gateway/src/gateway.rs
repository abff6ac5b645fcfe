//! The handle that a node holds, and the carrying out of effects.

use {
    crate::{
        callers::{
            self, accounts::AccountIndex, admission::Admission, answer::OpenAnswers,
            cut::Connections,
        },
        error::GatewayError,
        open_request::{AnswerEnd, OpenRequest},
        operators::{self, calls::AdminCalls},
        registry::Registry,
        server::{self, Stop},
        settings::{Clock, GatewaySettings, GatewayTimeouts, GatewayView},
        upstream::{
            attempt::Target,
            cancel,
            client::Clients,
            dispatch::{self, DispatchOrder},
            gate::GateState,
            resume,
            watch::{self, Watches},
        },
    },
    dragonflystep_core::{
        catalogue::ServiceKind,
        effect::Effect,
        event::Event,
        ids::{RequestId, UpstreamId},
        message::GrantName,
        request::{Ran, Refusal, RefusalCode},
    },
    std::sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize},
    },
    tokio::{
        net::TcpListener,
        runtime::Handle,
        sync::{mpsc::UnboundedSender, watch::Receiver},
    },
};

/// Makes this node's counts for the burn report.
pub(crate) type Report = Arc<dyn Fn() -> serde_json::Value + Send + Sync>;

/// What all parts of the gateway share.
pub(crate) struct Shared {
    pub(crate) settings: GatewaySettings,
    pub(crate) timeouts: GatewayTimeouts,
    pub(crate) clock: Clock,
    pub(crate) events: UnboundedSender<Event>,
    pub(crate) view: Receiver<Arc<GatewayView>>,
    pub(crate) report: Report,
    pub(crate) runtime: Handle,
    pub(crate) clients: Clients,
    pub(crate) registry: Registry,
    pub(crate) accounts: AccountIndex,
    pub(crate) admission: Admission,
    pub(crate) open_answers: OpenAnswers,
    pub(crate) connections: Arc<Connections>,
    pub(crate) watches: Watches,
    pub(crate) admin_calls: AdminCalls,
    pub(crate) next_request: AtomicU64,
    pub(crate) entry_turn: AtomicUsize,
    pub(crate) stop: Stop,
}

impl Shared {
    /// The newest view of the node's state.
    pub(crate) fn view(&self) -> Arc<GatewayView> {
        self.view.borrow().clone()
    }

    /// The request's number as callers see it.
    pub(crate) fn public_id(&self, request: RequestId) -> String {
        let GatewaySettings {
            node, incarnation, ..
        } = &self.settings;
        format!("{node}-{incarnation}-{request}")
    }
}

/// HTTP towards callers, operators and upstreams; clones share one gateway.
#[derive(Clone)]
pub struct Gateway {
    shared: Arc<Shared>,
}

impl Gateway {
    /// Makes a gateway that tells `events` and sees the node through `view`; `report` makes the node's
    /// counts for operators.
    ///
    /// # Errors
    /// Outside of a tokio runtime, and when no HTTP client can be made.
    ///
    /// # Examples
    /// ```
    /// # use {
    /// #     dragonflystep_core::Event,
    /// #     dragonflystep_gateway::{Gateway, GatewaySettings, GatewayView},
    /// #     std::{sync::Arc, time::{Duration, Instant}},
    /// #     tokio::{net::TcpListener, sync::{mpsc, watch}},
    /// # };
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// let settings = GatewaySettings {
    ///     node: "entry-1".into(),
    ///     incarnation: 1,
    ///     max_header_bytes: 16 * 1024,
    ///     max_body_bytes: 1024 * 1024,
    ///     max_answer_bytes: 1024 * 1024,
    ///     max_open_requests: 1000,
    ///     read_key: "read".into(),
    ///     edit_key: "edit".into(),
    ///     connect_timeout: Duration::from_millis(500),
    ///     watch_interval: Duration::from_millis(500),
    /// };
    /// let view = GatewayView {
    ///     catalogue: Arc::default(),
    ///     entries: Vec::new(),
    ///     stopping: false,
    ///     data_centre: "a".into(),
    /// };
    /// let started = Instant::now();
    /// let (events, mut told) = mpsc::unbounded_channel::<Event>();
    /// let (_view, seen) = watch::channel(Arc::new(view));
    /// let report = Arc::new(|| serde_json::json!({}));
    /// let clock = Arc::new(move || started.elapsed());
    /// let gateway = Gateway::new(settings, clock, events, seen, report)?;
    ///
    /// // The reducer reads `told` and hands its effects to `gateway.carry_out`.
    /// let listener = TcpListener::bind("127.0.0.1:0").await?;
    /// gateway.stop();
    /// gateway.serve_callers(listener).await?;
    /// assert!(told.try_recv().is_err());
    /// # Ok(())
    /// # }
    /// ```
    pub fn new(
        settings: GatewaySettings,
        clock: Clock,
        events: UnboundedSender<Event>,
        view: Receiver<Arc<GatewayView>>,
        report: Arc<dyn Fn() -> serde_json::Value + Send + Sync>,
    ) -> Result<Self, GatewayError> {
        let timeouts = GatewayTimeouts::default();
        Self::with_timeouts(settings, timeouts, clock, events, view, report)
    }

    /// As [`Gateway::new`], with timeouts other than the usual ones.
    ///
    /// # Errors
    /// Outside of a tokio runtime, and when no HTTP client can be made.
    pub fn with_timeouts(
        settings: GatewaySettings,
        timeouts: GatewayTimeouts,
        clock: Clock,
        events: UnboundedSender<Event>,
        view: Receiver<Arc<GatewayView>>,
        report: Arc<dyn Fn() -> serde_json::Value + Send + Sync>,
    ) -> Result<Self, GatewayError> {
        let shared = Shared {
            runtime: Handle::try_current()?,
            clients: Clients::new(settings.connect_timeout)?,
            registry: Registry::default(),
            accounts: AccountIndex::default(),
            admission: Admission::new(settings.max_open_requests),
            open_answers: OpenAnswers::default(),
            connections: Arc::default(),
            watches: Watches::default(),
            admin_calls: AdminCalls::default(),
            next_request: AtomicU64::new(1),
            entry_turn: AtomicUsize::new(0),
            stop: Stop::default(),
            settings,
            timeouts,
            clock,
            events,
            view,
            report,
        };
        Ok(Self {
            shared: Arc::new(shared),
        })
    }

    /// Serves callers until [`Gateway::stop`], and then until the last answer was written.
    ///
    /// # Errors
    /// When the listener can't be used.
    pub async fn serve_callers(&self, listener: TcpListener) -> Result<(), GatewayError> {
        server::serve(&self.shared, listener, callers::service(&self.shared)).await
    }

    /// Serves operators until [`Gateway::stop`].
    ///
    /// # Errors
    /// When the listener can't be used.
    pub async fn serve_operators(&self, listener: TcpListener) -> Result<(), GatewayError> {
        server::serve(&self.shared, listener, operators::service(&self.shared)).await
    }

    /// Number of answers that are still being written to callers.
    pub fn open_answers(&self) -> usize {
        self.shared.open_answers.count()
    }

    /// Ends serving: answers that are being written go on to their end, then the listeners close.
    pub fn stop(&self) {
        self.shared.watches.stop();
        self.shared.stop.request();
    }

    /// Carries an effect out; effects that are not for the gateway are left alone.
    ///
    /// Returns at once; what takes time goes on in tasks of its own.
    pub fn carry_out(&self, effect: Effect) {
        let shared = &self.shared;
        match effect {
            Effect::Dispatch {
                request,
                address,
                kind,
                grant,
                valid_until,
                progress_timeout,
                ..
            } => {
                let order = DispatchOrder {
                    address,
                    kind,
                    grant,
                    valid_until,
                    progress_timeout,
                };
                self.with_request(request, |request| dispatch::start(shared, request, order));
            }
            Effect::Resume {
                request,
                after_tokens,
            } => self.with_request(request, |request| {
                resume::start(shared, request, after_tokens);
            }),
            Effect::CancelStream { request } => {
                self.with_request(request, |request| cancel::stream(shared, &request));
            }
            Effect::CancelGrantAt {
                upstream,
                address,
                grant,
            } => self.cancel_grant(upstream, address, grant),
            Effect::FinishAnswer { request } => self.with_request(request, |request| {
                finish(shared, &request);
            }),
            Effect::RelayRejection { request } => self.with_request(request, |request| {
                relay_rejection(&request);
            }),
            Effect::Refuse { request, refusal } => self.with_request(request, |request| {
                refuse(&request, refusal);
            }),
            Effect::Release { request } => release(shared, request),
            Effect::WatchUpstream {
                upstream,
                address,
                kind,
            } => watch::start(shared, &upstream, address, kind),
            Effect::UnwatchUpstream { upstream } => watch::stop(shared, &upstream),
            Effect::AnswerAdmin { call, answer } => shared.admin_calls.answer(call, answer),
            _ => {}
        }
    }

    fn with_request(&self, id: RequestId, act: impl FnOnce(Arc<OpenRequest>)) {
        // A released request needs nothing any more.
        if let Some(request) = self.shared.registry.get(id) {
            act(request);
        }
    }

    fn cancel_grant(&self, upstream: UpstreamId, address: Arc<str>, grant: GrantName) {
        let catalogue = self.shared.view().catalogue.clone();
        let kind = catalogue
            .upstream(&upstream)
            .and_then(|upstream| catalogue.service(&upstream.service))
            .map_or(ServiceKind::Engine, |service| service.kind);
        if kind == ServiceKind::Plain {
            // A plain service knows no streams; its 404 would confirm nothing.
            return;
        }
        let target = Target {
            address,
            kind,
            grant,
        };
        cancel::grant(&self.shared, upstream, target);
    }
}

fn finish(shared: &Shared, request: &OpenRequest) {
    if let Some(whole) = request.take_whole() {
        request.end(AnswerEnd::Whole(whole));
    } else if request.streamed {
        request.end(AnswerEnd::Streamed);
    } else {
        let id = shared.public_id(request.id);
        let completion = request.with_progress(|progress| progress.completion(&id));
        request.end(AnswerEnd::completion(&completion));
    }
}

fn relay_rejection(request: &OpenRequest) {
    let ran = if request.said_not_run() {
        Ran::No
    } else {
        Ran::Unknown
    };
    let end = match request.take_whole() {
        Some(whole) => AnswerEnd::Rejected(whole, ran),
        None => AnswerEnd::Refused(Refusal::with_ran(RefusalCode::UpstreamRefused, ran)),
    };
    request.end(end);
}

fn refuse(request: &OpenRequest, mut refusal: Refusal) {
    // A request that has its final word is not sent any more; closing the gate sees to that before the
    // caller hears it, and the dispatch then tells the reducer that nothing was sent. What was sent already
    // may have run, whatever the reducer knew when it decided.
    let sent = request.attempt().is_some_and(|attempt| {
        attempt.gate.close();
        attempt.gate.state() == GateState::Open
    });
    if sent && refusal.ran == Ran::No && !request.said_not_run() {
        log::error!(request = request.id; "a refusal said `no` of a request that was sent");
        refusal.ran = Ran::Unknown;
    }
    request.end(AnswerEnd::Refused(refusal));
}

fn release(shared: &Shared, id: RequestId) {
    let Some(request) = shared.registry.remove(id) else {
        return;
    };
    request.release();
    if let Some(attempt) = request.attempt() {
        cancel::give_up(&attempt);
    }
}
