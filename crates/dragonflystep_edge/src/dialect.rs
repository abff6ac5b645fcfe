//! The interface of the adapter that translates a platform's wire format for a node: heads of requests and answers, the
//! catalogue document and lists of node addresses.
//!
//! A node never reads a header by its name or a document by its fields itself; its [`Dialect`] does that.

use {
    bytes::Bytes,
    dragonflystep_dispatch::{
        AccountName, Catalogue, DataCentreName, RegionName, Route, UpstreamId, WorkSize,
    },
    http::{HeaderMap, Method, StatusCode, Uri},
    std::time::Duration,
};

/// What the head of a caller's request states.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestFacts {
    /// Identifies the request; empty when the caller gave none.
    pub request_id: String,
    /// The host that the request is addressed to, by which its route is found.
    pub host: String,
    /// How long the caller waits for an answer; none if the request does not say.
    pub time_left: Option<Duration>,
    /// The API key, which identifies the account; none without a key.
    pub key: Option<String>,
    /// Size of the prompt and of the expected output.
    pub size: WorkSize,
    /// Most output tokens that the request permits; none if it does not say.
    pub max_output_tokens: Option<u32>,
    /// The id of the last event that the caller received of an interrupted stream, which this request is to continue.
    pub last_event_id: Option<String>,
    /// The id of the request that brought the first event of that stream; none if the request does not name it.
    pub resumes: Option<String>,
}

/// What a node tells an upstream about a request, in addition to the caller's own headers.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamFacts<'a> {
    /// Time until the deadline of the request.
    pub time_left: Duration,
    /// The upstream that the request is meant for.
    pub upstream: &'a UpstreamId,
    /// The account that the request belongs to; none when the route needs no key.
    pub account: Option<&'a AccountName>,
    /// The id of the event after which the upstream is to continue a stream; none for a new stream.
    pub resume_after: Option<&'a str>,
    /// Address of the upstream to which this one copies the KV cache of the run, as IP:PORT; none to copy nothing.
    pub copy_to: Option<&'a str>,
    /// The copy from which this upstream goes on with the run; none to start anew.
    pub continues_from: Option<CopyLocation<'a>>,
}

/// Where the copy of a run's KV cache is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyLocation<'a> {
    /// Address of the upstream that names the copy, as IP:PORT.
    pub address: &'a str,
    /// The name of the copy at that upstream: the id of the request, or what the upstream answered when it stopped the run.
    pub name: &'a str,
}

/// The call that stops the run of a request at an upstream and sends its KV cache to another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopRunCall {
    /// Path of the call, which is a `POST`.
    pub path: &'static str,
    /// Type of the body.
    pub content_type: &'static str,
    /// Body of the call.
    pub body: Bytes,
}

/// What an upstream answers when it is to stop a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunStop {
    /// It does not run the request, or stopped it and kept the KV cache.
    NotRunning,
    /// It stopped the run. Its KV cache is named so at the upstream that stopped it, and is at the other one.
    Moved(String),
    /// The answer does not tell whether the run was stopped.
    Unclear,
}

/// A value that an upstream may state in the head of an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Stated<T> {
    /// The answer does not state it.
    #[default]
    Absent,
    /// The answer states this text, which can't be parsed and is ignored.
    Unreadable(String),
    /// The answer states this value.
    Value(T),
}

/// What the head of an upstream's answer states.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerFacts {
    /// The id of the request that the answer belongs to; empty if it names none.
    pub request_id: String,
    /// Whether the answer names several requests.
    pub is_ambiguous: bool,
    /// Whether the upstream states that it did not run the request.
    pub is_not_run: bool,
    /// Whether the request did not run because the address it was sent to now belongs to another upstream.
    pub is_misdirected: bool,
    /// Whether the status of the answer is a success.
    pub is_success: bool,
    /// Whether the answer is marked as the upstream's own. A successful answer without the mark is not passed on.
    pub is_signed: bool,
    /// Numbers of requests that run and that wait at the upstream; none if the answer does not state them.
    pub load: Option<(u32, u32)>,
    /// Rate limit of the upstream, in requests per second from all nodes together.
    pub rate_limit_per_s: Stated<f64>,
    /// Requests of all nodes together that the upstream may have to reject in a second before it fails.
    pub rejection_limit_per_s: Stated<f64>,
    /// Whether the upstream is about to leave the service.
    pub is_leaving: Stated<bool>,
    /// How long this node is to back off from the upstream, which refused the request.
    pub back_off: Stated<Duration>,
    /// How long the upstream stays cold; zero if it is warm.
    pub warm_up_left: Stated<Duration>,
    /// How long the upstream keeps the connection open while it is idle; none if the answer does not say.
    pub keep_alive: Option<Duration>,
}

/// A caller's query for the addresses of nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DirectoryQuery {
    /// The data centre that the caller names as its own; none without one.
    pub data_centre: Option<DataCentreName>,
    /// The region that the caller names as its own; none without one.
    pub region: Option<RegionName>,
}

/// Why a document or the head of a request can't be parsed.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct DialectError(pub String);

/// Translates between a platform's wire format and the types of a node.
pub trait Dialect {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// When the head is contradictory or incomplete; the caller receives a "bad request" reply.
    fn read_request(&self, uri: &Uri, headers: &HeaderMap) -> Result<RequestFacts, DialectError>;

    /// The headers of a request to an upstream. `headers` are those of the caller without hop-by-hop headers.
    fn upstream_headers(&self, headers: &HeaderMap, facts: &UpstreamFacts<'_>) -> HeaderMap;

    /// How long callers wait for the first event of a stream of the route before they give up; none for plain calls.
    fn first_event_timeout(&self, route: &Route) -> Option<Duration>;

    /// Reads the head of an upstream's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerFacts;

    /// Whether the head of an answer from an upstream's health path states that this upstream gave it, and not another one
    /// at its address.
    fn is_from_upstream(&self, headers: &HeaderMap, upstream: &UpstreamId) -> bool;

    /// Whether the status of an answer from an upstream's health path states that it accepts requests.
    fn is_taking_requests(&self, status: StatusCode) -> bool;

    /// Completes the headers of a reply that the node generates itself with the request id and the time after which the
    /// caller may retry. `request_id` is empty if it is not known; without `retry_after`, no time is stated.
    fn local_reply_headers(
        &self,
        headers: &mut HeaderMap,
        request_id: &str,
        retry_after: Option<Duration>,
    );

    /// The call that stops the run of a request, and sends its KV cache to the upstream at `copy_to`.
    fn stop_run_call(&self, request_id: &str, copy_to: &str) -> StopRunCall;

    /// Reads the answer to a [`stop_run_call`](Self::stop_run_call).
    fn read_run_stop(&self, status: StatusCode, body: &[u8]) -> RunStop;

    /// Whether a request is a readiness probe.
    fn is_readiness_probe(&self, method: &Method, uri: &Uri) -> bool;

    /// Parses a query for the addresses of nodes; none if the request is no such query.
    fn read_directory_query(&self, method: &Method, uri: &Uri) -> Option<DirectoryQuery>;

    /// The answer to a query for addresses, which callers may use for `lifetime`: content type and body.
    fn directory_answer(&self, addresses: &[String], lifetime: Duration) -> (&'static str, Bytes);

    /// Parses a catalogue document.
    ///
    /// # Errors
    /// When the document is not a valid catalogue; the error names the invalid part.
    fn read_catalogue(&self, document: &[u8]) -> Result<Catalogue, DialectError>;
}
