//! The HTTP clients towards upstreams and the addresses that they call.

use {
    reqwest::{Client, ClientBuilder, Url, redirect::Policy, retry},
    std::time::Duration,
};

/// Idle connections for reports that are kept for each upstream.
const IDLE_WATCH_CONNECTIONS: usize = 1;
/// Time after which an idle connection for reports is closed.
const IDLE_WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// The clients; each request of a caller gets a connection of its own.
///
/// A kept connection may have been forgotten by something between its ends, or be closed by the upstream
/// just now. A request on it would be lost with its fate unknown, and it must not be sent again. A fresh
/// connection was alive a moment ago, costs one round trip, and a failed connect sent nothing for certain.
/// Reports are read over kept connections: a lost read does no harm.
#[derive(Clone, Debug)]
pub(crate) struct Clients {
    /// For dispatch, resume and cancel.
    pub(crate) fresh: Client,
    /// For reports.
    pub(crate) kept: Client,
}

impl Clients {
    /// Clients that connect within `connect_timeout`, and neither retry, follow redirects nor use proxies.
    pub(crate) fn new(connect_timeout: Duration) -> Result<Self, reqwest::Error> {
        Ok(Self {
            fresh: plain_builder(connect_timeout)
                .pool_max_idle_per_host(0)
                .build()?,
            kept: plain_builder(connect_timeout)
                .pool_max_idle_per_host(IDLE_WATCH_CONNECTIONS)
                .pool_idle_timeout(IDLE_WATCH_TIMEOUT)
                .build()?,
        })
    }
}

fn plain_builder(connect_timeout: Duration) -> ClientBuilder {
    Client::builder()
        .no_proxy()
        .redirect(Policy::none())
        .retry(retry::never())
        .referer(false)
        .http1_only()
        .tcp_nodelay(true)
        .connect_timeout(connect_timeout)
}

/// The address of an upstream is no address.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{address}` is no address of an upstream")]
pub(crate) struct AddressError {
    /// The text.
    pub(crate) address: String,
}

/// `http://<address>/<path_and_query>`.
pub(crate) fn url(address: &str, path_and_query: &str) -> Result<Url, AddressError> {
    Url::parse(&format!("http://{address}/{path_and_query}")).map_err(|_| AddressError {
        address: address.to_owned(),
    })
}

/// Address of a stream at an engine.
pub(crate) fn stream_url(address: &str, stream: &str) -> Result<Url, AddressError> {
    let mut url = url(address, "v1/streams")?;
    if let Ok(mut segments) = url.path_segments_mut() {
        segments.push(stream);
    }
    Ok(url)
}
