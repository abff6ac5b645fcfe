//! What an adapter translates for a node: heads of requests and answers, documents and addresses.
//!
//! A node never reads a header by its name or a document by its fields; it asks its [`Dialect`].

use {
    bytes::Bytes,
    dragonflystep_dispatch::{AccountName, Catalogue, DataCentreName, Route, UpstreamId, WorkSize},
    http::{HeaderMap, Method, StatusCode, Uri},
    std::time::Duration,
};

/// What a request's head says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestFacts {
    /// Identifies the request; empty when the caller gave none.
    pub request_id: String,
    /// The host that is named.
    pub host: String,
    /// How long the caller will wait.
    pub time_left: Option<Duration>,
    /// The key of the account.
    pub key: Option<String>,
    /// Prompt and expected output.
    pub size: WorkSize,
    /// Most output tokens, if the request names them.
    pub max_output_tokens: Option<u32>,
    /// The last event that the caller has of an earlier answer.
    pub last_event_id: Option<String>,
}

/// What the system tells an upstream about a request.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamFacts<'a> {
    /// How long the upstream may take.
    pub time_left: Duration,
    /// The upstream that the request is meant for.
    pub upstream: &'a UpstreamId,
    /// The account.
    pub account: Option<&'a AccountName>,
    /// The event after which a stream goes on, if the system resumes it.
    pub resume_after: Option<&'a str>,
}

/// Something that an upstream may state in the head of an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Stated<T> {
    /// The answer does not state it.
    #[default]
    Absent,
    /// It has a value that is not understood, and from which nothing follows.
    Unreadable(String),
    /// It has this value.
    Value(T),
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerFacts {
    /// The request that it belongs to.
    pub request_id: String,
    /// Whether the upstream states that it did not run the request.
    pub is_not_run: bool,
    /// Whether another upstream has the address now.
    pub is_misdirected: bool,
    /// Whether the upstream served the request.
    pub is_success: bool,
    /// Whether the upstream signed the answer as its own.
    pub is_signed: bool,
    /// Requests that run and wait at the upstream, if it says so.
    pub load: Option<(u32, u32)>,
    /// Requests a second that the upstream takes from all nodes together.
    pub rate_limit_per_s: Stated<f64>,
    /// Whether the upstream is about to leave.
    pub is_leaving: Stated<bool>,
    /// Time for which an upstream that refused the request wants none from this node.
    pub rest: Stated<Duration>,
    /// How long the connection may stay unused.
    pub keep_alive: Option<Duration>,
}

/// Where a caller is that asks for addresses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DirectoryQuery {
    /// Its data centre.
    pub data_centre: Option<DataCentreName>,
}

/// Why a document or head is not understood.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct DialectError(pub String);

/// Translation between a platform's words and the node's.
pub trait Dialect {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// When the head contradicts itself; the caller is told that the request is bad.
    fn read_request(&self, uri: &Uri, headers: &HeaderMap) -> Result<RequestFacts, DialectError>;

    /// Headers for an upstream, from those of the caller without the ones that concern a connection.
    fn upstream_headers(&self, headers: &HeaderMap, facts: &UpstreamFacts<'_>) -> HeaderMap;

    /// How long callers wait for the first event of a stream of the route; none for plain calls.
    fn stream_patience(&self, route: &Route) -> Option<Duration>;

    /// Reads the head of an upstream's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerFacts;

    /// Whether the head of an answer at an upstream's health path says that this very upstream takes requests.
    fn is_taking_requests(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        upstream: &UpstreamId,
    ) -> bool;

    /// Adds the request's id, and the time to come back, to an answer of the node's own.
    fn own_answer(&self, headers: &mut HeaderMap, request_id: &str, retry_after: Option<Duration>);

    /// Whether a call asks if the node is ready.
    fn is_readiness(&self, method: &Method, uri: &Uri) -> bool;

    /// Reads a call for addresses; none when it is another call.
    fn read_directory(&self, method: &Method, uri: &Uri) -> Option<DirectoryQuery>;

    /// The answer to a call for addresses: content type and body.
    fn directory_answer(&self, addresses: &[String], lifetime: Duration) -> (&'static str, Bytes);

    /// Reads a catalogue document.
    ///
    /// # Errors
    /// When the document is not one; the error names the place.
    fn read_catalogue(&self, document: &[u8]) -> Result<Catalogue, DialectError>;
}
