//! A small caller for the demo and tests: asks for the entries, sends mixed traffic, checks every answer.
//!
//! The traffic is open loop: a request is sent at its time, whatever became of those before.

mod check;
mod entries;
mod report;
mod send;
mod traffic;

pub use {
    check::{AnswerCheck, Refusal, Verdict},
    entries::Entry,
    report::{CallerReport, LatencySummary, RequestOutcome, RequestResult, TierReport},
    traffic::{Ask, CallerAccount, CallerTier, PlannedRequest, TrafficSettings, plan},
};

use {
    crate::{clock::millis, engine::content_hash},
    entries::EntryBook,
    futures::future::join_all,
    reqwest::Client,
    send::{Attempt, attempt},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::time::{sleep, sleep_until},
};

/// Time for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause before the list of entries is asked for again when none could be reached.
const ENTRY_PAUSE: Duration = Duration::from_millis(100);

/// Code of a refusal by an entry that is leaving.
const STOPPING: &str = "stopping";

/// Value of `ran` in a refusal of a request that did not run.
pub(crate) const DID_NOT_RUN: &str = "no";

/// Settings of a caller.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Addresses that are asked for the list of entries first.
    pub first_addresses: Vec<String>,
    /// The caller's data centre.
    pub data_centre: String,
    /// Service that answers completions.
    pub model_service: String,
    /// Model that is named in completions.
    pub model: String,
    /// Service that answers lookups and orders.
    pub plain_service: String,
    /// What is sent.
    pub traffic: TrafficSettings,
    /// Whether an idempotent request that was refused comes back when it was told to, while its deadline allows it.
    pub follows_retry_after: bool,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// How long after the deadline an answer is waited for.
    pub patience_after_deadline: Duration,
}

impl CallerSettings {
    /// Sends `traffic` to the services `model` and `ledger` by the entries that `first_addresses` name.
    pub fn new(first_addresses: Vec<String>, traffic: TrafficSettings) -> Self {
        Self {
            first_addresses,
            data_centre: "a".to_owned(),
            model_service: "model".to_owned(),
            model: "model".to_owned(),
            plain_service: "ledger".to_owned(),
            traffic,
            follows_retry_after: false,
            max_attempts: 4,
            patience_after_deadline: Duration::from_secs(5),
        }
    }
}

/// Sends traffic and reports what came back.
///
/// # Examples
///
/// ```no_run
/// use dragonflystep_fakes::caller::{CallerAccount, CallerSettings, LoadClient, TrafficSettings};
///
/// # async fn run() {
/// let account = CallerAccount::new("key-a", 1.0);
/// let traffic = TrafficSettings { accounts: vec![account], ..Default::default() };
/// let client = LoadClient::new(CallerSettings::new(vec!["127.0.0.1:8001".into()], traffic));
/// let report = client.run().await;
/// assert_eq!(report.broken_answers(), 0);
/// # }
/// ```
#[derive(Debug, Clone)]
pub struct LoadClient {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: CallerSettings,
    book: EntryBook,
    client: Mutex<Client>,
}

impl LoadClient {
    /// A caller that has not sent anything yet.
    ///
    /// # Panics
    ///
    /// When the traffic has no tier or no account.
    pub fn new(settings: CallerSettings) -> Self {
        let traffic = &settings.traffic;
        assert!(
            !traffic.tiers.is_empty() && !traffic.accounts.is_empty(),
            "a request needs a tier and an account"
        );
        let book = EntryBook::new(
            settings.first_addresses.clone(),
            settings.data_centre.clone(),
            traffic.seed,
        );
        let shared = Shared {
            settings,
            book,
            client: Mutex::new(new_client()),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Sends all requests at their times and waits for the last answer.
    pub async fn run(&self) -> CallerReport {
        let began = Instant::now();
        let traffic = &self.shared.settings.traffic;
        let sends = plan(traffic).into_iter().map(|request| {
            let client = self.clone();
            tokio::spawn(async move {
                sleep_until((began + request.at).into()).await;
                client.send(&request).await
            })
        });
        let results = join_all(sends).await;
        let results = results
            .into_iter()
            .map(|result| result.expect("sending a request does not panic"));
        CallerReport::new(traffic.seed, began.elapsed(), results.collect())
    }

    /// Sends one request until it has its final outcome.
    pub async fn send(&self, request: &PlannedRequest) -> RequestResult {
        let Shared { settings, book, .. } = &*self.shared;
        let began = Instant::now();
        let tier = &settings.traffic.tiers[request.tier];
        let deadline = began + tier.deadline;
        let patience = deadline + settings.patience_after_deadline;
        let mut tried = Vec::new();
        let mut attempts = 0;
        let mut runs_allowed = 1;
        let mut last = None;
        let attempt = loop {
            attempts += 1;
            let client = self.shared.client();
            let entry = book.choose(&client, &tried).await;
            let result = match &entry {
                Some(entry) => {
                    attempt(
                        &client,
                        settings,
                        request,
                        &entry.address,
                        deadline,
                        patience,
                    )
                    .await
                }
                None => Attempt::unreachable(),
            };
            last = entry.map(|entry| entry.address).or(last);
            if result.outcome == RequestOutcome::TimedOut {
                self.shared.replace_client();
            }
            let next = self.shared.next_step(request, &result.outcome);
            let Some(pause) = next.filter(|pause| {
                Instant::now() + *pause < deadline && attempts < settings.max_attempts
            }) else {
                break result;
            };
            tried.extend(last.clone());
            runs_allowed += u32::from(may_have_run(&result.outcome));
            sleep(pause).await;
        };
        let in_time = attempt.outcome == RequestOutcome::Complete && Instant::now() <= deadline;
        RequestResult {
            number: request.number,
            tier: tier.name.clone(),
            account: request.account,
            idempotency_key: request.idempotency_key.clone(),
            content_hash: hash_of(&request.ask),
            idempotent: request.is_idempotent(),
            entry: last,
            outcome: attempt.outcome,
            in_time,
            attempts,
            runs_allowed,
            first_token_ms: attempt.first_token.map(|at| millis(at - began)),
            total_ms: millis(began.elapsed()),
            tokens: attempt.tokens,
        }
    }
}

impl Shared {
    fn client(&self) -> Client {
        self.lock().clone()
    }

    /// Leaves all open connections behind, since they may be silent for good.
    fn replace_client(&self) {
        *self.lock() = new_client();
    }

    /// How long to wait before the request is sent again; `None` when the outcome is final.
    fn next_step(&self, request: &PlannedRequest, outcome: &RequestOutcome) -> Option<Duration> {
        match outcome {
            // Nothing was sent, so another entry may be tried.
            RequestOutcome::Unreachable => {
                self.book.forget();
                Some(ENTRY_PAUSE)
            }
            RequestOutcome::Refused { refusal }
                if refusal.code == STOPPING && refusal.ran == DID_NOT_RUN =>
            {
                self.book.forget();
                Some(Duration::ZERO)
            }
            RequestOutcome::Refused { refusal }
                if self.settings.follows_retry_after && request.is_idempotent() =>
            {
                refusal.retry_after_ms.map(Duration::from_millis)
            }
            _ => None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Client> {
        self.client.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn may_have_run(outcome: &RequestOutcome) -> bool {
    matches!(outcome, RequestOutcome::Refused { refusal } if refusal.ran != DID_NOT_RUN)
}

fn new_client() -> Client {
    Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .build()
        .expect("a client without TLS and proxies can always be made")
}

fn hash_of(ask: &Ask) -> Option<String> {
    match ask {
        Ask::Completion { prompt, .. } => Some(content_hash(prompt.as_bytes())),
        Ask::Order { body } => Some(content_hash(body.as_bytes())),
        Ask::Stock { .. } => None,
    }
}
