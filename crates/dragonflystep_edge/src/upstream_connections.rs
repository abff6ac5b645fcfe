//! Connections to upstreams. A connection whose answer was read whole is kept in a pool for the next request.

use {
    crate::{
        limits::{
            DEFAULT_KEEP_ALIVE, MAX_ANSWER_HEAD_BYTES, MAX_HEADER_LINES, MAX_IDLE_CONNECTIONS,
            MAX_KEEP_ALIVE, MAX_REJECTIONS_PER_CONNECTION, USABLE_KEEP_ALIVE_SHARE,
        },
        metered_stream::{MeteredStream, StreamMeter},
        metrics::Metrics,
        node::Node,
        upstream_answer::UnclaimedAnswer,
        upstream_dialer::{DialError, Dialed, Forwarder, dial},
    },
    bytes::Bytes,
    dragonflystep_dispatch::{DataCentreName, MonotonicTime},
    http::Request,
    http_body_util::Full,
    hyper::client::conn::http1::{Builder, SendRequest},
    hyper_util::rt::TokioIo,
    std::{cell::RefCell, collections::HashMap, io, rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::Instant},
    xxhash_rust::xxh3::xxh3_64,
};

/// Why a request received no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    /// No connection could be opened, or it closed before anything was sent.
    #[error("the request was not sent: {0}")]
    NotSent(io::Error),
    /// Neither this node nor another one that it asked reaches upstreams. Nothing was sent.
    #[error("the request was not sent: no node is known that reaches upstreams")]
    NoPath,
    /// The connection broke after the request, or a part of it, was sent; it may run.
    #[error("connection broke: {error}")]
    Broken {
        error: hyper::Error,
        /// The node through which the connection went; none if it was direct.
        forwarder: Option<Forwarder>,
    },
}

impl From<DialError> for SendError {
    fn from(error: DialError) -> Self {
        match error {
            DialError::Unreachable(error) => Self::NotSent(error),
            DialError::NoPath => Self::NoPath,
        }
    }
}

impl From<TrySendError> for SendError {
    fn from(error: TrySendError) -> Self {
        match error {
            TrySendError::Unsent(_) => Self::NotSent(io::ErrorKind::ConnectionReset.into()),
            TrySendError::Broken { error, forwarder } => Self::Broken { error, forwarder },
        }
    }
}

/// A connection in use by a request.
pub(crate) struct OpenConnection {
    address: String,
    sender: SendRequest<Full<Bytes>>,
    /// The node through which it goes; none if it is direct.
    forwarder: Option<Forwarder>,
    /// When it was opened, until it has carried an answer.
    unproved_since: Option<MonotonicTime>,
    meter: Rc<StreamMeter>,
    /// Calls that were sent on it, the one in progress included.
    calls: u32,
    /// Whether it has carried an answer that names no request.
    has_unnamed_answer: bool,
    /// Hashes of the ids of the requests that were rejected on it.
    rejected_requests: Vec<u64>,
}

impl OpenConnection {
    /// Whether the upstream is reached without another node.
    pub(crate) fn is_direct(&self) -> bool {
        self.forwarder.is_none()
    }

    /// Records that a part of an answer reached its reader.
    pub(crate) fn note_delivery(&self) {
        self.meter.note_delivery();
    }

    /// Records that an answer names no request. Returns whether it is the first such answer of the connection.
    pub(crate) fn note_unnamed_answer(&mut self) -> bool {
        !std::mem::replace(&mut self.has_unnamed_answer, true)
    }

    /// Whether the call in progress is the first one, so that no late answer to another call can arrive.
    pub(crate) fn is_first_call(&self) -> bool {
        self.earlier_calls() == 0
    }

    /// Calls that were sent before the one in progress.
    pub(crate) fn earlier_calls(&self) -> u32 {
        self.calls.saturating_sub(1)
    }

    /// Records that the upstream rejected a request on this connection.
    pub(crate) fn note_rejection(&mut self, request_id: &str) {
        self.rejected_requests.push(xxh3_64(request_id.as_bytes()));
    }

    /// Whether a request was rejected on this connection. If it were sent here again, a late copy of that rejection could not
    /// be told from an answer to it.
    fn has_rejected(&self, request_id: &str) -> bool {
        let hash = xxh3_64(request_id.as_bytes());
        self.rejected_requests.contains(&hash)
    }

    /// Whether it may carry another call after the present one.
    fn is_reusable(&self) -> bool {
        !self.sender.is_closed()
            && !self.has_unnamed_answer
            && self.rejected_requests.len() < MAX_REJECTIONS_PER_CONNECTION
    }

    /// The node through which the upstream is reached; none if it is reached directly.
    pub(crate) fn forwarder(&self) -> Option<&Forwarder> {
        self.forwarder.as_ref()
    }
}

struct IdleConnection {
    connection: OpenConnection,
    /// When the connection is no longer used, some time before the upstream closes it.
    usable_until: Instant,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        self.usable_until > now && !self.connection.sender.is_closed()
    }
}

/// The pool of idle connections, by address of the upstream.
#[derive(Default)]
pub(crate) struct UpstreamConnections {
    idle: RefCell<HashMap<String, Vec<IdleConnection>>>,
}

impl UpstreamConnections {
    /// Returns a connection to the pool after its answer was read whole. It stays usable for a part of the idle time
    /// that the upstream permits, or of a default. It is closed instead if its answer named no request, as a second copy of
    /// that answer could not be told from the next one, or if it has carried too many rejections to remember.
    pub(crate) fn keep(&self, connection: OpenConnection, keep_alive: Option<Duration>) {
        if !connection.is_reusable() {
            return;
        }
        let idle_time = keep_alive.map_or(DEFAULT_KEEP_ALIVE, |stated| stated.min(MAX_KEEP_ALIVE));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address.clone()).or_default();
        let now = Instant::now();
        connections.retain(|connection| connection.is_usable(now));
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                connection,
                usable_until: now + idle_time.mul_f64(USABLE_KEEP_ALIVE_SHARE),
            });
        }
    }

    /// Closes idle connections that have expired, and all to addresses for which `is_known` is false.
    pub(crate) fn retain(&self, is_known: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|address, connections| {
            connections.retain(|connection| connection.is_usable(now));
            !connections.is_empty() && is_known(address)
        });
    }

    /// Closes the idle connections to an address.
    pub(crate) fn close_idle(&self, address: &str) {
        self.idle.borrow_mut().remove(address);
    }

    /// Closes all idle connections that are direct.
    pub(crate) fn close_all_idle_direct(&self) {
        self.close_idle_where(OpenConnection::is_direct);
    }

    /// Closes all idle connections that go through other nodes.
    pub(crate) fn close_idle_tunnels(&self) {
        self.close_idle_where(|connection| !connection.is_direct());
    }

    fn close_idle_where(&self, is_closed: impl Fn(&OpenConnection) -> bool) {
        for connections in self.idle.borrow_mut().values_mut() {
            connections.retain(|idle| !is_closed(&idle.connection));
        }
    }

    /// Takes a usable idle connection for which `may_use` is true from the pool, the latest first.
    fn take_idle(
        &self,
        address: &str,
        may_use: impl Fn(&OpenConnection) -> bool,
    ) -> Option<OpenConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(address)?;
        let now = Instant::now();
        connections.retain(|connection| connection.is_usable(now));
        let is_candidate =
            |idle: &IdleConnection| idle.connection.sender.is_ready() && may_use(&idle.connection);
        let index = connections.iter().rposition(is_candidate)?;
        Some(connections.remove(index).connection)
    }
}

impl Node {
    /// Sends a request on an idle connection or, if there is none that still works, on a new one. If the connection goes
    /// through another node, that node is in one of the data centres `allowed`, if there are any. `request_id` is empty for
    /// the node's own calls.
    pub(crate) async fn send_upstream(
        self: &Rc<Self>,
        address: &str,
        request_id: &str,
        mut request: Request<Full<Bytes>>,
        allowed: Option<&[DataCentreName]>,
    ) -> Result<UnclaimedAnswer, SendError> {
        match self
            .send_on_idle(address, request_id, request, allowed)
            .await
        {
            Err(TrySendError::Unsent(unsent)) => request = *unsent,
            result => return Ok(result?),
        }
        let dialed = dial(self, address, allowed).await?;
        let forwarder = dialed.forwarder.clone();
        match self.send_on_new(address, dialed, request).await {
            // A connection that is reset as soon as it is open says no more about the upstream than a failed one.
            Err(TrySendError::Unsent(unsent))
                if self.is_break_of_path(address, forwarder.as_ref()).await =>
            {
                let dialed = dial(self, address, allowed).await?;
                match self.send_on_new(address, dialed, *unsent).await {
                    Err(TrySendError::Unsent(_)) => Err(SendError::NoPath),
                    result => Ok(result?),
                }
            }
            result => Ok(result?),
        }
    }

    /// Sends a request on an idle connection. It is unsent if there is none that still works.
    pub(crate) async fn send_on_idle(
        &self,
        address: &str,
        request_id: &str,
        mut request: Request<Full<Bytes>>,
        allowed: Option<&[DataCentreName]>,
    ) -> Result<UnclaimedAnswer, TrySendError> {
        let may_use = |connection: &OpenConnection| {
            let is_permitted = connection
                .forwarder()
                .is_none_or(|forwarder| self.may_use_forwarder(forwarder, allowed));
            is_permitted && !connection.has_rejected(request_id)
        };
        while let Some(connection) = self.connections.take_idle(address, may_use) {
            match self.try_send(connection, request).await {
                Err(TrySendError::Unsent(unsent)) => request = *unsent,
                result => return result,
            }
        }
        Err(TrySendError::Unsent(Box::new(request)))
    }

    /// Sends a request on a new connection.
    pub(crate) async fn send_on_new(
        &self,
        address: &str,
        dialed: Dialed,
        request: Request<Full<Bytes>>,
    ) -> Result<UnclaimedAnswer, TrySendError> {
        match open_http(address, dialed, self.metrics.clone()).await {
            Ok(connection) => self.try_send(connection, request).await,
            Err(error) => {
                log::debug!(address, error:%; "a new connection to an upstream broke");
                Err(TrySendError::Unsent(Box::new(request)))
            }
        }
    }

    /// Adds a new connection to the pool.
    pub(crate) async fn keep_new_connection(&self, address: &str, dialed: Dialed) {
        match open_http(address, dialed, self.metrics.clone()).await {
            Ok(connection) => self.connections.keep(connection, None),
            Err(error) => {
                log::debug!(address, error:%; "a new connection to an upstream broke");
            }
        }
    }

    /// Records that a connection has carried the answer to the call that waited there.
    pub(crate) fn record_answer_on(&self, connection: &mut OpenConnection) {
        if connection.is_direct() {
            let unproved_since = connection.unproved_since.take();
            self.record_direct_answer(&connection.address, unproved_since);
        }
    }

    async fn try_send(
        &self,
        mut connection: OpenConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<UnclaimedAnswer, TrySendError> {
        connection.note_delivery();
        connection.calls += 1;
        let written_before = connection.meter.written_bytes();
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                connection.note_delivery();
                Ok(UnclaimedAnswer::new(response, connection))
            }
            Err(mut error) => {
                let unsent = error.take_message();
                let written_bytes = connection.meter.written_bytes() - written_before;
                if let Some(unsent) = unsent {
                    if written_bytes == 0 {
                        return Err(TrySendError::Unsent(Box::new(unsent)));
                    }
                    log::error!(address = connection.address, written_bytes; "a request counts as sent although the HTTP library returned it");
                }
                Err(TrySendError::Broken {
                    error: error.into_error(),
                    forwarder: connection.forwarder,
                })
            }
        }
    }
}

/// Why a request could not be sent on a connection.
pub(crate) enum TrySendError {
    /// Nothing was sent; the request is returned for another connection.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The connection broke after the request, or a part of it, was sent.
    Broken {
        error: hyper::Error,
        forwarder: Option<Forwarder>,
    },
}

/// Sets up HTTP over a new connection.
async fn open_http(
    address: &str,
    dialed: Dialed,
    metrics: Rc<Metrics>,
) -> io::Result<OpenConnection> {
    let meter = Rc::<StreamMeter>::default();
    let stream = MeteredStream::new(dialed.stream, meter.clone(), metrics);
    let (sender, connection) = Builder::new()
        .title_case_headers(true)
        .max_buf_size(MAX_ANSWER_HEAD_BYTES)
        .max_headers(MAX_HEADER_LINES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("a connection to an upstream ended with an error: {error}");
        }
    });
    Ok(OpenConnection {
        address: address.to_owned(),
        sender,
        forwarder: dialed.forwarder,
        unproved_since: Some(dialed.opened_at),
        meter,
        calls: 0,
        has_unnamed_answer: false,
        rejected_requests: Vec::new(),
    })
}
