//! The HTTP listeners of a node: for callers (ingress), readiness probes, the directory of node addresses, and metrics.

use {
    crate::{
        answer::AnswerBody,
        connection_io::{CheckedConnection, ConnectionTimes},
        limits::{FIRST_REQUEST_WAIT, MAX_HEADER_LINES},
        node::Node,
        request::serve_request,
        stop::{OpenConnectionGuard, StopSignal},
    },
    bytes::Bytes,
    dragonflystep_dispatch::ClientLimits,
    dragonflystep_peer::{NetworkListener, NetworkStream},
    http::{HeaderValue, Request, Response, StatusCode, header},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    std::{cell::Cell, convert::Infallible, pin::pin, rc::Rc, time::Duration},
    tokio::{
        task::spawn_local,
        time::{Instant, sleep, sleep_until},
    },
};

/// Wait after a connection could not be accepted, for example because no file descriptor was free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Size of a connection's buffer beyond the longest permitted head, in bytes.
const BUFFER_MARGIN_BYTES: usize = 4 << 10;

/// The purpose of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    Ingress,
    Readiness,
    Directory,
    Metrics,
}

/// Accepts and serves the connections of one listener for as long as the node runs. Connections beyond the configured
/// number are closed at once.
///
/// The listener for callers is closed in a planned stop, once the node closes its connections. Callers that connect later
/// are refused, and turn to another node.
pub(crate) async fn serve_listener(
    node: Rc<Node>,
    mut listener: Box<dyn NetworkListener>,
    kind: ListenerKind,
) {
    let is_ingress = kind == ListenerKind::Ingress;
    let _open_listener = is_ingress.then(|| StopSignal::open_listener(&node));
    let open_connections = Rc::new(Cell::new(0_usize));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = connections_are_closing(&node), if is_ingress => break,
        };
        let stream = match accepted {
            Ok(stream) => stream,
            Err(error) => {
                log::warn!(door:? = kind, error:%; "can't accept a connection");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        spawn_connection(&node, stream, kind, &open_connections);
    }
    let waiting = listener.close();
    log::info!(waiting = waiting.len(); "callers are no longer accepted");
    for stream in waiting {
        spawn_connection(&node, stream, kind, &open_connections);
    }
}

/// Serves a new connection in a task of its own, unless there are too many.
fn spawn_connection(
    node: &Rc<Node>,
    stream: Box<dyn NetworkStream>,
    kind: ListenerKind,
    open_connections: &Rc<Cell<usize>>,
) {
    if open_connections.get() >= node.settings.max_client_connections {
        node.metrics.count("connections_refused_total", "too_many");
        return;
    }
    let guard = (kind == ListenerKind::Ingress).then(|| StopSignal::open_connection(node));
    let (node, open_connections) = (node.clone(), open_connections.clone());
    spawn_local(async move {
        open_connections.set(open_connections.get() + 1);
        serve_connection(node, stream, kind, guard).await;
        open_connections.set(open_connections.get() - 1);
    });
}

/// Waits until a planned stop closes connections.
async fn connections_are_closing(node: &Node) {
    let mut closing = node.stop.closing();
    // Fails only once the node is dropped.
    let _ = closing.wait_for(|is_closing| *is_closing).await;
}

/// Waits until a planned stop closes a connection. The HTTP library closes one that has received nothing without reading the
/// request that may be on its way.
async fn connection_is_closing(node: &Node, times: &ConnectionTimes) {
    connections_are_closing(node).await;
    if !times.has_received.get() {
        sleep(FIRST_REQUEST_WAIT).await;
    }
}

/// The limits for callers' connections from the catalogue in force, or the defaults before there is one.
fn client_limits(node: &Node) -> ClientLimits {
    let table = node.views.catalogue();
    table.map_or_else(ClientLimits::default, |table| table.catalogue().limits)
}

/// Serves one connection until it ends. A head that takes too long closes it at once; an idle timeout or the stop of
/// the node closes it after the answer in progress. A second idle timeout, in which nothing of that answer was taken, closes
/// it as well.
async fn serve_connection(
    node: Rc<Node>,
    stream: Box<dyn NetworkStream>,
    kind: ListenerKind,
    _open_connection: Option<OpenConnectionGuard>,
) {
    let times = ConnectionTimes::new();
    let io = CheckedConnection::new(stream, times.clone());
    let service = service_fn(|request| {
        let (node, times) = (node.clone(), times.clone());
        async move { Ok::<_, Infallible>(handle_request(node, times, kind, request).await) }
    });
    let buffer = client_limits(&node).max_header_bytes + BUFFER_MARGIN_BYTES;
    let connection = http1::Builder::new()
        .max_buf_size(buffer.max(8 << 10))
        .max_headers(MAX_HEADER_LINES)
        .title_case_headers(true)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let mut closing = pin!(connection_is_closing(&node, &times));
    let mut timed_out_at = None;
    let mut is_closing = false;
    loop {
        let (deadline, is_head_timeout) = next_deadline(&node, &times);
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log::debug!(error:%; "a caller's connection ended with an error");
                }
                return;
            }
            () = sleep_until(deadline) => {
                let (current_deadline, _) = next_deadline(&node, &times);
                if current_deadline > Instant::now() {
                    continue;
                }
                if is_head_timeout {
                    node.metrics.count("connections_closed_total", "slow_head");
                    log::info!(door:? = kind; "closed a connection whose request head did not arrive in time");
                    return;
                }
                if timed_out_at == Some(times.active_at.get()) {
                    node.metrics.count("connections_closed_total", "stuck");
                    log::info!(door:? = kind; "closed a connection whose peer has taken nothing for long");
                    return;
                }
                is_closing = true;
                connection.as_mut().graceful_shutdown();
                // The HTTP library closes an idle connection when it is polled next. Restarting the idle timeout lets
                // the loop poll it before another timeout.
                let now = Instant::now();
                times.active_at.set(now);
                timed_out_at = Some(now);
            }
            () = closing.as_mut(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// When the connection times out, and whether it does so because of an incomplete head. While a request is served, the
/// idle timeout begins anew at each call.
fn next_deadline(node: &Node, times: &ConnectionTimes) -> (Instant, bool) {
    let limits = client_limits(node);
    if let Some(started_at) = times.head_started_at.get() {
        return (started_at + limits.header_timeout, true);
    }
    let idle_since = if times.is_serving.get() {
        Instant::now()
    } else {
        times.active_at.get()
    };
    (idle_since + limits.idle_timeout, false)
}

/// Answers one request according to the purpose of the listener.
async fn handle_request(
    node: Rc<Node>,
    times: Rc<ConnectionTimes>,
    kind: ListenerKind,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    times.is_serving.set(true);
    let _guard = ServingGuard(times);
    let mut response = match kind {
        ListenerKind::Ingress => serve_request(&node, request).await,
        ListenerKind::Readiness => readiness_response(&node, &request),
        ListenerKind::Directory => directory_response(&node, &request),
        ListenerKind::Metrics => {
            text_response(StatusCode::OK, node.metrics.to_text(&node.gauges()))
        }
    };
    if node.stop.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Marks the end of a request on its connection when dropped.
struct ServingGuard(Rc<ConnectionTimes>);

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.is_serving.set(false);
        self.0.active_at.set(Instant::now());
    }
}

fn readiness_response(node: &Node, request: &Request<Incoming>) -> Response<AnswerBody> {
    if !node
        .dialect
        .is_readiness_probe(request.method(), request.uri())
    {
        return text_response(StatusCode::NOT_FOUND, String::new());
    }
    if node.is_ready() {
        return text_response(StatusCode::OK, "ready\n".to_owned());
    }
    text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
}

/// Answers a query for node addresses. A stopping node still answers, with the addresses of other nodes only.
fn directory_response(node: &Node, request: &Request<Incoming>) -> Response<AnswerBody> {
    let Some(query) = node
        .dialect
        .read_directory_query(request.method(), request.uri())
    else {
        return text_response(StatusCode::NOT_FOUND, String::new());
    };
    if !node.is_ready() && !node.stop.is_stopping() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned());
    }
    let now = node.owner.now();
    let data_centre = query.data_centre.as_ref();
    let region = data_centre.and_then(|data_centre| node.region_of(data_centre));
    let region = region.or(query.region);
    let region_data_centres =
        region.map_or_else(Vec::new, |region| node.data_centres_in(&[region]));
    let is_leaving = node.stop.is_stopping();
    let addresses =
        node.members
            .caller_addresses(now, data_centre, &region_data_centres, is_leaving);
    if addresses.is_empty() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "no node\n".to_owned());
    }
    let lifetime = node.address_lifetime.get();
    let (content_type, body) = node.dialect.directory_answer(&addresses, lifetime);
    let mut response = Response::new(AnswerBody::from(body));
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

fn text_response(status: StatusCode, text: String) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::from(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
