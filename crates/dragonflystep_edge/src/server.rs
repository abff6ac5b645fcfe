//! The doors of a node: listeners for callers, for the directory, for readiness and for metrics.

use {
    crate::{
        answer::AnswerBody,
        connection_io::{CheckedConnection, ConnectionTimes},
        node::Node,
        request::serve_request,
    },
    bytes::Bytes,
    dragonflystep_dispatch::ClientLimits,
    dragonflystep_peer::{KeepaliveLimits, configure_stream},
    http::{HeaderValue, Request, Response, StatusCode, header},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    std::{
        cell::Cell,
        convert::Infallible,
        pin::pin,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::spawn_local,
        time::{sleep, sleep_until},
    },
};

/// Wait after the system refused a connection, for example because no file number was free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Buffer of a connection beyond the longest head, in bytes.
const BUFFER_MARGIN_BYTES: usize = 4 << 10;

/// What a listener is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Door {
    Ingress,
    Readiness,
    Directory,
    Metrics,
}

/// Accepts connections for as long as the node runs.
pub(crate) async fn serve_door(node: Rc<Node>, listener: TcpListener, door: Door) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(door:? = door, error:%; "can't accept a connection");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.get() >= node.settings.max_client_connections {
            node.metrics.count("connections_refused_total", "too_many");
            continue;
        }
        if let Err(error) = configure_stream(&stream, KeepaliveLimits::default()) {
            log::debug!(error:%; "a connection ended at once");
            continue;
        }
        let (node, open) = (node.clone(), open.clone());
        spawn_local(async move {
            open.set(open.get() + 1);
            serve_connection(node, stream, door).await;
            open.set(open.get() - 1);
        });
    }
}

fn client_limits(node: &Node) -> ClientLimits {
    let table = node.views.catalogue();
    table.map_or_else(ClientLimits::default, |table| table.catalogue().limits)
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream, door: Door) {
    let times = ConnectionTimes::new();
    let io = CheckedConnection::new(stream, times.clone());
    let service = service_fn(|request| {
        let (node, times) = (node.clone(), times.clone());
        async move { Ok::<_, Infallible>(answer(node, times, door, request).await) }
    });
    let buffer = client_limits(&node).max_header_bytes + BUFFER_MARGIN_BYTES;
    let connection = http1::Builder::new()
        .max_buf_size(buffer.max(8 << 10))
        .title_case_headers(true)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let mut closing = node.stop.closing();
    let mut is_closing = *closing.borrow_and_update();
    if is_closing {
        connection.as_mut().graceful_shutdown();
    }
    loop {
        let (deadline, is_head) = next_deadline(&node, &times);
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log::debug!(error:%; "a caller's connection ended");
                }
                return;
            }
            () = sleep_until(deadline.into()) => {
                let (now_due, _) = next_deadline(&node, &times);
                if now_due > Instant::now() {
                    continue;
                }
                if is_head {
                    node.metrics.count("connections_closed_total", "slow_head");
                    return;
                }
                is_closing = true;
                connection.as_mut().graceful_shutdown();
                // The library closes an idle connection when it is polled next.
                times.active_at.set(Instant::now());
            }
            _ = closing.changed(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// When the connection has to be looked at, and whether an incomplete head is the reason.
fn next_deadline(node: &Node, times: &ConnectionTimes) -> (Instant, bool) {
    let limits = client_limits(node);
    if let Some(began_at) = times.head_began_at.get() {
        return (began_at + limits.header_timeout, true);
    }
    let from = if times.is_serving.get() {
        Instant::now()
    } else {
        times.active_at.get()
    };
    (from + limits.idle_timeout, false)
}

async fn answer(
    node: Rc<Node>,
    times: Rc<ConnectionTimes>,
    door: Door,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    times.is_serving.set(true);
    let _serving = Serving(times);
    let mut response = match door {
        Door::Ingress => serve_request(&node, request).await,
        Door::Readiness => readiness(&node, &request),
        Door::Directory => directory(&node, &request),
        Door::Metrics => text(StatusCode::OK, node.metrics.to_text(&node.gauges())),
    };
    if node.stop.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

struct Serving(Rc<ConnectionTimes>);

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.is_serving.set(false);
        self.0.active_at.set(Instant::now());
    }
}

fn readiness(node: &Node, request: &Request<Incoming>) -> Response<AnswerBody> {
    if !node.dialect.is_readiness(request.method(), request.uri()) {
        return text(StatusCode::NOT_FOUND, String::new());
    }
    if node.is_ready() {
        return text(StatusCode::OK, "ready\n".to_owned());
    }
    text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
}

fn directory(node: &Node, request: &Request<Incoming>) -> Response<AnswerBody> {
    let Some(query) = node.dialect.read_directory(request.method(), request.uri()) else {
        return text(StatusCode::NOT_FOUND, String::new());
    };
    if !node.is_ready() && !node.stop.is_stopping() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned());
    }
    let now = node.owner.now();
    let data_centre = query.data_centre.as_ref();
    let addresses = node
        .members
        .caller_addresses(now, data_centre, node.stop.is_stopping());
    if addresses.is_empty() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "no node\n".to_owned());
    }
    let lifetime = node.address_lifetime.get();
    let (content_type, body) = node.dialect.directory_answer(&addresses, lifetime);
    let mut response = Response::new(AnswerBody::Whole(body));
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

fn text(status: StatusCode, text: String) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
