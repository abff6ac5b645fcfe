//! Refusals and explicit errors, as a caller reads them.

use {
    super::{
        entries::{self, EntryLine},
        intake::IntakeError,
    },
    crate::{gateway::Shared, open_request::WholeAnswer},
    dragonflystep_core::{
        ids::Tier,
        request::{Ran, Refusal, RefusalCode},
    },
    salvo::{
        Response,
        http::{
            HeaderValue, StatusCode,
            header::{CONTENT_TYPE, RETRY_AFTER},
        },
    },
    serde::Serialize,
    std::time::Duration,
};

/// Most bytes of an upstream's own error answer that a caller is shown.
const MAX_SHOWN_BYTES: usize = 16 * 1024;
/// Media type of a refusal.
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Code of a refusal, as it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(untagged)]
pub(crate) enum PublicCode {
    /// One of the reducer's.
    Decided(RefusalCode),
    /// One that is told before the reducer hears of the request.
    Edge(EdgeCode),
}

/// Code of a refusal before the request is taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum EdgeCode {
    /// The request is not of the agreed form.
    BadRequest,
    /// The key belongs to no client account, or the account may not use the tier.
    Unauthorized,
    /// The body is too large.
    TooLarge,
}

/// A refusal as it is written.
#[derive(Clone, Debug)]
pub(crate) struct PublicRefusal {
    /// HTTP status.
    pub(crate) status: u16,
    /// Why.
    pub(crate) code: PublicCode,
    /// Whether the request ran.
    pub(crate) ran: Ran,
    /// In words.
    pub(crate) message: String,
    /// When it is worth coming back.
    pub(crate) retry_after: Option<Duration>,
    /// What the upstream itself answered, as text.
    pub(crate) upstream_answer: Option<String>,
}

#[derive(Serialize)]
struct Document<'a> {
    error: ErrorBody<'a>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    code: PublicCode,
    ran: Ran,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    request: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    upstream_answer: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    entries: Option<Vec<EntryLine>>,
}

impl PublicRefusal {
    /// The refusal with the upstream's status, its time to come back and its own words.
    pub(crate) fn with_upstream_answer(mut self, answer: &WholeAnswer) -> Self {
        let shown = &answer.body[..answer.body.len().min(MAX_SHOWN_BYTES)];
        self.status = answer.status;
        self.retry_after = answer.retry_after;
        self.upstream_answer = Some(String::from_utf8_lossy(shown).into_owned());
        self
    }

    /// The refusal as JSON.
    pub(crate) fn document(&self, request: &str, shared: &Shared) -> String {
        let stopping = self.code == PublicCode::Decided(RefusalCode::Stopping);
        let document = Document {
            error: ErrorBody {
                code: self.code,
                ran: self.ran,
                message: &self.message,
                retry_after_ms: self.retry_after.map(whole_ms),
                request,
                upstream_answer: self.upstream_answer.as_deref(),
                entries: stopping.then(|| other_entries(shared)),
            },
        };
        serde_json::to_string(&document)
            .expect("a refusal has only text keys and so can be written")
    }

    /// Writes one line to the log; no key and no content.
    pub(crate) fn log(&self, public_id: &str, tier: Option<Tier>, account: Option<&str>) {
        let code = serde_json::to_value(self.code).unwrap_or_default();
        let ran = serde_json::to_value(self.ran).unwrap_or_default();
        log::info!(
            request = public_id,
            tier,
            account,
            code = code.as_str(),
            ran = ran.as_str();
            "request refused"
        );
    }

    /// Writes the refusal as the whole answer.
    pub(crate) fn write(&self, response: &mut Response, request: &str, shared: &Shared) {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        response.status_code(status);
        response.headers_mut().insert(CONTENT_TYPE, JSON);
        if let Some(retry_after) = self.retry_after {
            let seconds = whole_ms(retry_after).div_ceil(1000);
            response.headers_mut().insert(RETRY_AFTER, seconds.into());
        }
        response.body(self.document(request, shared));
    }
}

fn other_entries(shared: &Shared) -> Vec<EntryLine> {
    let view = shared.view();
    let mut entries = entries::lines(shared, &view, &view.data_centre);
    entries.retain(|entry| entry.node != shared.settings.node);
    entries
}

impl From<Refusal> for PublicRefusal {
    fn from(refusal: Refusal) -> Self {
        Self {
            status: status(&refusal),
            code: PublicCode::Decided(refusal.code),
            ran: refusal.ran,
            message: message(refusal.code).to_owned(),
            retry_after: refusal.retry_after,
            upstream_answer: None,
        }
    }
}

impl From<IntakeError> for PublicRefusal {
    fn from(error: IntakeError) -> Self {
        let (status, code) = match &error {
            IntakeError::BadRequest(_) => (400, PublicCode::Edge(EdgeCode::BadRequest)),
            IntakeError::SlowBody => (408, PublicCode::Edge(EdgeCode::BadRequest)),
            IntakeError::Unauthorized(_) => (401, PublicCode::Edge(EdgeCode::Unauthorized)),
            IntakeError::TooLarge { .. } => (413, PublicCode::Edge(EdgeCode::TooLarge)),
            IntakeError::NotInCatalogue(_) => {
                (404, PublicCode::Decided(RefusalCode::NotInCatalogue))
            }
            IntakeError::DeadlinePassed => (504, PublicCode::Decided(RefusalCode::DeadlinePassed)),
        };
        Self {
            status,
            code,
            ran: Ran::No,
            message: error.to_string(),
            retry_after: None,
            upstream_answer: None,
        }
    }
}

fn status(refusal: &Refusal) -> u16 {
    match refusal.code {
        RefusalCode::Overloaded
        | RefusalCode::DeadlineUnreachable
        | RefusalCode::NoUpstream
        | RefusalCode::Stopping
        | RefusalCode::StoreUnavailable
        | RefusalCode::Isolated
        | RefusalCode::CallerLeft
        | RefusalCode::Preempted => 503,
        RefusalCode::DeadlinePassed => 504,
        RefusalCode::NotInCatalogue => 404,
        RefusalCode::InProgress | RefusalCode::AlreadyRan => 409,
        RefusalCode::UpstreamFailed
        | RefusalCode::UpstreamStalled
        | RefusalCode::UpstreamRefused => 502,
        RefusalCode::Quarantined => 422,
    }
}

fn message(code: RefusalCode) -> &'static str {
    match code {
        RefusalCode::Overloaded => "the service has no room for this tier",
        RefusalCode::DeadlineUnreachable => "the answer can't be ready before the deadline",
        RefusalCode::DeadlinePassed => "the deadline passed",
        RefusalCode::NotInCatalogue => "the catalogue names no such service, tier or account",
        RefusalCode::NoUpstream => "no upstream of the service can be reached",
        RefusalCode::Stopping => "this entry is stopping; use another one",
        RefusalCode::StoreUnavailable => "a request that may run once only can't be recorded now",
        RefusalCode::InProgress => "a request with the same key is running",
        RefusalCode::AlreadyRan => "a request with the same key was sent before",
        RefusalCode::Preempted => "the request was cancelled to make room for a more urgent tier",
        RefusalCode::UpstreamFailed => "the upstream broke off its answer",
        RefusalCode::UpstreamRefused => "the upstream answered with an error",
        RefusalCode::UpstreamStalled => "the upstream made no progress for too long",
        RefusalCode::Quarantined => "the request crashed upstreams and is not run again",
        RefusalCode::CallerLeft => "the caller went away",
        RefusalCode::Isolated => "this entry has lost touch with the others; use another one",
    }
}

fn whole_ms(time: Duration) -> u64 {
    // Rounded up, so that nobody is told to come back too early.
    time.as_micros()
        .div_ceil(1000)
        .try_into()
        .unwrap_or(u64::MAX)
}
