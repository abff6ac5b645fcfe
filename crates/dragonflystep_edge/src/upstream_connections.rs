//! Connections to upstreams. A connection whose answer was read whole is kept in a pool for the next request.

use {
    crate::limits::{DEFAULT_KEEP_ALIVE, MAX_IDLE_CONNECTIONS, USABLE_KEEP_ALIVE_SHARE},
    bytes::Bytes,
    dragonflystep_peer::Network,
    http::{Request, Response},
    http_body_util::Full,
    hyper::{
        body::Incoming,
        client::conn::http1::{Builder, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{cell::RefCell, collections::HashMap, io, rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::Instant},
};

/// Why a request received no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    /// No connection could be opened, or it closed before anything was sent.
    #[error("the request was not sent: {0}")]
    NotSent(io::Error),
    /// The connection broke after the request, or a part of it, was sent; it may run.
    #[error("connection broke: {0}")]
    Broken(hyper::Error),
}

/// A connection in use by a request.
pub(crate) struct OpenConnection {
    address: String,
    sender: SendRequest<Full<Bytes>>,
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    /// When the connection is no longer used, some time before the upstream closes it.
    usable_until: Instant,
}

/// The pool of idle connections, by address of the upstream.
pub(crate) struct UpstreamConnections {
    network: Rc<dyn Network>,
    idle: RefCell<HashMap<String, Vec<IdleConnection>>>,
}

impl UpstreamConnections {
    pub(crate) fn new(network: Rc<dyn Network>) -> Self {
        Self {
            network,
            idle: RefCell::default(),
        }
    }

    /// Sends a request on an idle connection or, if there is none that still works, on a new one.
    pub(crate) async fn send(
        &self,
        address: &str,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, OpenConnection), SendError> {
        while let Some(sender) = self.take_idle(address) {
            match try_send(sender, request).await {
                Ok((response, sender)) => return Ok((response, open_connection(address, sender))),
                Err(TrySendError::Unsent(unsent)) => request = *unsent,
                Err(TrySendError::Broken(error)) => return Err(SendError::Broken(error)),
            }
        }
        let sender = self.connect(address).await.map_err(SendError::NotSent)?;
        match try_send(sender, request).await {
            Ok((response, sender)) => Ok((response, open_connection(address, sender))),
            Err(TrySendError::Unsent(_)) => {
                Err(SendError::NotSent(io::ErrorKind::ConnectionReset.into()))
            }
            Err(TrySendError::Broken(error)) => Err(SendError::Broken(error)),
        }
    }

    /// Returns a connection to the pool after its answer was read whole. It stays usable for a part of the idle time
    /// that the upstream permits, or of a default.
    pub(crate) fn keep(&self, connection: OpenConnection, keep_alive: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let idle_time = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address).or_default();
        let now = Instant::now();
        connections
            .retain(|connection| connection.usable_until > now && !connection.sender.is_closed());
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                sender: connection.sender,
                usable_until: now + idle_time.mul_f64(USABLE_KEEP_ALIVE_SHARE),
            });
        }
    }

    /// Closes idle connections that have expired, and all to addresses for which `is_known` is false.
    pub(crate) fn retain(&self, is_known: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|address, connections| {
            connections.retain(|connection| {
                connection.usable_until > now && !connection.sender.is_closed()
            });
            !connections.is_empty() && is_known(address)
        });
    }

    async fn connect(&self, address: &str) -> io::Result<SendRequest<Full<Bytes>>> {
        let stream = self.network.connect(address).await?;
        let (sender, connection) = Builder::new()
            .title_case_headers(true)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("a connection to an upstream ended with an error: {error}");
            }
        });
        Ok(sender)
    }

    /// Takes a usable idle connection from the pool, the latest first.
    fn take_idle(&self, address: &str) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(address)?;
        let now = Instant::now();
        while let Some(connection) = connections.pop() {
            if connection.usable_until > now && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }
}

fn open_connection(address: &str, sender: SendRequest<Full<Bytes>>) -> OpenConnection {
    OpenConnection {
        address: address.to_owned(),
        sender,
    }
}

/// Why a request could not be sent on a connection.
enum TrySendError {
    /// Nothing was sent; the request is returned for another connection.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The connection broke after the request, or a part of it, was sent.
    Broken(hyper::Error),
}

async fn try_send(
    mut sender: SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, SendRequest<Full<Bytes>>), TrySendError> {
    match sender.try_send_request(request).await {
        Ok(response) => Ok((response, sender)),
        Err(mut error) => Err(match error.take_message() {
            Some(unsent) => TrySendError::Unsent(Box::new(unsent)),
            None => TrySendError::Broken(error.into_error()),
        }),
    }
}
