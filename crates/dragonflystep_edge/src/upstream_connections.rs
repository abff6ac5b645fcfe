//! Connections to upstreams, kept for the next request.

use {
    crate::limits::{
        DEFAULT_KEEP_ALIVE, KEPT_CONNECTION_SHARE, MOST_IDLE_CONNECTIONS, UPSTREAM_CONNECT_TIMEOUT,
    },
    bytes::Bytes,
    dragonflystep_peer::{KeepaliveLimits, configure_stream},
    http::{Request, Response},
    http_body_util::Full,
    hyper::{
        body::Incoming,
        client::conn::http1::{Builder, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{
        cell::RefCell,
        collections::HashMap,
        io,
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, task::spawn_local, time::timeout},
};

/// Why a request brought no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    /// Nothing was sent.
    #[error("no connection: {0}")]
    NotSent(io::Error),
    /// The request, or a part of it, was sent; it may run.
    #[error("connection broke: {0}")]
    Broken(hyper::Error),
}

/// A connection that carries a request.
pub(crate) struct OpenConnection {
    address: String,
    sender: SendRequest<Full<Bytes>>,
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    usable_until: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub(crate) struct UpstreamConnections {
    idle: RefCell<HashMap<String, Vec<IdleConnection>>>,
}

impl UpstreamConnections {
    /// Sends a request on a kept connection or a new one.
    pub(crate) async fn send(
        &self,
        address: &str,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, OpenConnection), SendError> {
        while let Some(sender) = self.take_idle(address) {
            match try_send(sender, request).await {
                Ok((response, sender)) => return Ok((response, open(address, sender))),
                Err(TrySend::Unsent(unsent)) => request = *unsent,
                Err(TrySend::Broken(error)) => return Err(SendError::Broken(error)),
            }
        }
        let sender = connect(address).await.map_err(SendError::NotSent)?;
        match try_send(sender, request).await {
            Ok((response, sender)) => Ok((response, open(address, sender))),
            Err(TrySend::Unsent(_)) => {
                Err(SendError::NotSent(io::ErrorKind::ConnectionReset.into()))
            }
            Err(TrySend::Broken(error)) => Err(SendError::Broken(error)),
        }
    }

    /// Keeps a connection whose answer was read whole, for as long as the upstream said.
    pub(crate) fn keep(&self, connection: OpenConnection, keep_alive: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let told = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE);
        let mut idle = self.idle.borrow_mut();
        let of_address = idle.entry(connection.address).or_default();
        let now = Instant::now();
        of_address.retain(|one| one.usable_until > now && !one.sender.is_closed());
        if of_address.len() < MOST_IDLE_CONNECTIONS {
            of_address.push(IdleConnection {
                sender: connection.sender,
                usable_until: now + told.mul_f64(KEPT_CONNECTION_SHARE),
            });
        }
    }

    /// Closes idle connections that are too old, and all to addresses that are not in `addresses`.
    pub(crate) fn retain(&self, is_known: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|address, connections| {
            connections.retain(|one| one.usable_until > now && !one.sender.is_closed());
            !connections.is_empty() && is_known(address)
        });
    }

    fn take_idle(&self, address: &str) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(address)?;
        let now = Instant::now();
        while let Some(one) = connections.pop() {
            if one.usable_until > now && one.sender.is_ready() {
                return Some(one.sender);
            }
        }
        None
    }
}

fn open(address: &str, sender: SendRequest<Full<Bytes>>) -> OpenConnection {
    OpenConnection {
        address: address.to_owned(),
        sender,
    }
}

enum TrySend {
    Unsent(Box<Request<Full<Bytes>>>),
    Broken(hyper::Error),
}

async fn try_send(
    mut sender: SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, SendRequest<Full<Bytes>>), TrySend> {
    match sender.try_send_request(request).await {
        Ok(response) => Ok((response, sender)),
        Err(mut error) => Err(match error.take_message() {
            Some(unsent) => TrySend::Unsent(Box::new(unsent)),
            None => TrySend::Broken(error.into_error()),
        }),
    }
}

async fn connect(address: &str) -> io::Result<SendRequest<Full<Bytes>>> {
    let stream = timeout(UPSTREAM_CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    configure_stream(&stream, KeepaliveLimits::default())?;
    let (sender, connection) = Builder::new()
        .title_case_headers(true)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("a connection to an upstream ended: {error}");
        }
    });
    Ok(sender)
}
