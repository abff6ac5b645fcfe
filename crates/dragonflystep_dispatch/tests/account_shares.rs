//! Replays accounts that send many times their usual into a service that is full, while the others send what they always
//! send. In one line for all, the latter's requests were refused and late as often as those of the former.

mod support;

use {
    dragonflystep_dispatch::{
        Account, AccountQuota, Catalogue, Dispatcher, Event, QuotaUnit, RunId, RunOutcome,
        RunReport, ShareRules, SharedLimits, SlotDecision, SlotRequest, WorkSize,
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        sync::Arc,
        time::Duration,
    },
    support::{Random, SERVICE, catalogue, limits, plain_request, upstream},
};

const ACCOUNTS: usize = 16;
const ENGINES: usize = 10;
const SLOTS: u32 = 4;

/// Duration of a run whose prompt has the usual size.
const RUN_MS: u64 = 700;

/// Requests per second of an account that sends its usual; all together keep nine in ten slots busy.
const USUAL_RATE_PER_S: f64 = 3.2;

/// When some accounts send more than their usual, and when they and the replay end.
const SURGE_BEGINS_MS: u64 = 4_000;
const SURGE_ENDS_MS: u64 = 14_000;
const REPLAY_ENDS_MS: u64 = 20_000;

/// What the accounts of a replay do.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Number of accounts that send more than their usual, and how many times as much.
    surging: usize,
    factor: f64,
    /// Whether they come back at once after a refusal, and not as told.
    is_impatient: bool,
    /// Size of their prompts, as a multiple of the usual.
    prompt_factor: u32,
}

/// How an account was served during the surge.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    requests: u32,
    granted: u32,
    refused: u32,
    /// Refusals of requests that arrived while the account had no more than an equal part of the service, with what waited.
    refused_within_share: u32,
    late: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Ends(RunId),
    /// Index of the account, number of tries so far, and the fingerprint of the request.
    Arrives(usize, u32, u64),
    Ticks,
}

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
struct Try {
    /// Index of the account.
    account: usize,
    /// Number of earlier tries.
    tries: u32,
    fingerprint: u64,
    arrived_ms: u64,
    /// Whether the account had no more than an equal part of the service when it arrived.
    is_within_share: bool,
}

struct Replayer {
    dispatcher: Dispatcher,
    steps: BinaryHeap<Reverse<(u64, Step)>>,
    load: Load,
    runs: BTreeMap<RunId, Try>,
    served: Vec<Served>,
    /// Time and duration of the runs of each account.
    granted: Vec<Vec<(u64, u64)>>,
    /// Number of waiting requests of each account.
    waiting: Vec<u64>,
}

fn account_name(index: usize) -> String {
    format!("account-{index:02}")
}

fn accounts_catalogue() -> Catalogue {
    let account = |index| Account {
        name: account_name(index).as_str().into(),
        keys: Vec::new(),
        tier: None,
        quota: Some(AccountQuota {
            unit: QuotaUnit::Requests,
            units_per_s: 1e6,
            burst_units: 1e6,
        }),
        allowed_regions: Vec::new(),
    };
    Catalogue {
        accounts: (0..ACCOUNTS).map(account).collect(),
        ..catalogue(SLOTS)
    }
}

fn replay(seed: u64, load: Load, shares: ShareRules) -> Vec<Served> {
    let mut dispatcher = Dispatcher::new(SharedLimits { shares, ..limits() });
    let document = Arc::new(accounts_catalogue());
    dispatcher.reduce(Duration::ZERO, Event::CatalogueChanged(document));
    let upstreams = (0..ENGINES).map(|index| upstream(index, SLOTS)).collect();
    dispatcher.reduce(Duration::ZERO, Event::UpstreamsChanged(upstreams));
    let mut replayer = Replayer {
        dispatcher,
        steps: BinaryHeap::new(),
        load,
        runs: BTreeMap::new(),
        served: vec![Served::default(); ACCOUNTS],
        granted: vec![Vec::new(); ACCOUNTS],
        waiting: vec![0; ACCOUNTS],
    };
    replayer.schedule_arrivals(seed);
    replayer.run();
    replayer.served
}

impl Replayer {
    fn schedule_arrivals(&mut self, seed: u64) {
        let mut random = Random::new(seed);
        let mut fingerprint = 0;
        for account in 0..ACCOUNTS {
            let mut at_ms = 0.0;
            loop {
                let is_surge = (SURGE_BEGINS_MS..SURGE_ENDS_MS).contains(&(at_ms as u64));
                let factor = if is_surge && account < self.load.surging {
                    self.load.factor
                } else {
                    1.0
                };
                at_ms += random.gap_s(USUAL_RATE_PER_S * factor) * 1e3;
                if at_ms as u64 >= REPLAY_ENDS_MS {
                    break;
                }
                fingerprint += 1;
                let step = Step::Arrives(account, 0, fingerprint);
                self.steps.push(Reverse((at_ms as u64, step)));
            }
        }
        for tick in 0..REPLAY_ENDS_MS / 10 {
            self.steps.push(Reverse((tick * 10, Step::Ticks)));
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((now_ms, step))) = self.steps.pop() {
            if now_ms > REPLAY_ENDS_MS {
                return;
            }
            match step {
                Step::Ticks => self.reduce(now_ms, Event::Ticked),
                Step::Arrives(account, tries, fingerprint) => {
                    self.arrive(now_ms, account, tries, fingerprint);
                }
                Step::Ends(run) => {
                    let report = RunReport {
                        run,
                        service: SERVICE.into(),
                        outcome: RunOutcome::Completed,
                        to_first_event: Some(Duration::from_millis(60)),
                        to_end: Duration::from_millis(
                            RUN_MS * u64::from(self.prompt_factor(self.runs[&run].account)),
                        ),
                        events: 30 * self.prompt_factor(self.runs[&run].account),
                    };
                    self.reduce(now_ms, Event::RunEnded(report));
                }
            }
        }
    }

    fn arrive(&mut self, now_ms: u64, account: usize, tries: u32, fingerprint: u64) {
        let run = self.runs.len() as RunId + 1;
        let one = Try {
            account,
            tries,
            fingerprint,
            arrived_ms: now_ms,
            is_within_share: self.is_within_share(now_ms, account),
        };
        self.runs.insert(run, one);
        self.waiting[account] += 1;
        if tries == 0 && is_counted(now_ms) {
            self.served[account].requests += 1;
        }
        let request = SlotRequest {
            account: Some(account_name(account).as_str().into()),
            fingerprint,
            size: WorkSize {
                prompt_tokens: 2_000 * self.prompt_factor(account),
                output_tokens: 120 * self.prompt_factor(account),
                segments: Vec::new(),
            },
            ..plain_request(run, 1)
        };
        self.reduce(now_ms, Event::SlotRequested(request));
    }

    /// Whether the runs that an account got within the memory of shares, those that it waits for and one more take no more
    /// than an equal part of the service.
    fn is_within_share(&self, now_ms: u64, account: usize) -> bool {
        let memory_ms = ShareRules::default().memory.as_millis() as u64;
        let runs = self.granted[account].iter();
        let recent = runs.filter(|(at_ms, _)| at_ms + memory_ms > now_ms);
        let received_ms: u64 = recent.map(|(_, run_ms)| run_ms).sum();
        let run_ms = RUN_MS * u64::from(self.prompt_factor(account));
        let asked_ms = received_ms + (self.waiting[account] + 1) * run_ms;
        let slots = ENGINES as u64 * u64::from(SLOTS);
        asked_ms * ACCOUNTS as u64 <= memory_ms * slots
    }

    fn prompt_factor(&self, account: usize) -> u32 {
        if account < self.load.surging {
            self.load.prompt_factor
        } else {
            1
        }
    }

    fn reduce(&mut self, now_ms: u64, event: Event) {
        let effects = self.dispatcher.reduce(Duration::from_millis(now_ms), event);
        for effect in effects {
            let Try {
                account,
                tries,
                fingerprint,
                arrived_ms,
                is_within_share,
            } = self.runs[&effect.run];
            self.waiting[account] -= 1;
            match effect.decision {
                SlotDecision::Granted(_) => {
                    let run_ms = RUN_MS * u64::from(self.prompt_factor(account));
                    let end = Step::Ends(effect.run);
                    self.steps.push(Reverse((now_ms + run_ms, end)));
                    self.granted[account].push((now_ms, run_ms));
                    if is_counted(now_ms) {
                        self.served[account].granted += 1;
                        let is_late = now_ms - arrived_ms > 540;
                        self.served[account].late += u32::from(is_late);
                    }
                }
                SlotDecision::Refused(refusal) => {
                    if is_counted(now_ms) {
                        let served = &mut self.served[account];
                        served.refused += 1;
                        served.refused_within_share += u32::from(is_within_share);
                    }
                    let surges = account < self.load.surging;
                    let wait_ms = if surges && self.load.is_impatient {
                        20
                    } else {
                        refusal.retry_after.as_millis() as u64
                    };
                    if tries < 2 {
                        let again = Step::Arrives(account, tries + 1, fingerprint);
                        self.steps.push(Reverse((now_ms + wait_ms, again)));
                    }
                }
            }
        }
    }
}

/// Whether what happens at this time is counted: the surge, without its first second, in which the accounts' shares are not
/// known yet.
fn is_counted(now_ms: u64) -> bool {
    (SURGE_BEGINS_MS + 1_000..SURGE_ENDS_MS).contains(&now_ms)
}

fn sum(served: &[Served]) -> Served {
    served.iter().fold(Served::default(), |sum, one| Served {
        requests: sum.requests + one.requests,
        granted: sum.granted + one.granted,
        refused: sum.refused + one.refused,
        refused_within_share: sum.refused_within_share + one.refused_within_share,
        late: sum.late + one.late,
    })
}

fn disabled() -> ShareRules {
    ShareRules {
        is_enabled: false,
        ..ShareRules::default()
    }
}

/// Checks that the accounts that send their usual are hardly refused, and that no work is lost by it.
fn check(load: Load) {
    for seed in 0..4 {
        let with = replay(seed, load, ShareRules::default());
        let without = replay(seed, load, disabled());
        let usual = sum(&with[load.surging..]);
        assert!(
            usual.refused_within_share * 100 < usual.requests,
            "{load:?}, seed {seed}: {usual:?}"
        );
        let granted = sum(&with).granted;
        let granted_without = sum(&without).granted;
        assert!(
            granted * 100 >= granted_without * 98,
            "{load:?}, seed {seed}: {granted} granted in place of {granted_without}"
        );
    }
}

#[test]
fn accounts_within_their_share_are_not_refused_while_two_send_five_times_their_usual() {
    check(Load {
        surging: 2,
        factor: 5.0,
        is_impatient: false,
        prompt_factor: 1,
    });
}

#[test]
fn accounts_within_their_share_are_not_refused_while_two_send_fifty_times_their_usual() {
    check(Load {
        surging: 2,
        factor: 50.0,
        is_impatient: false,
        prompt_factor: 1,
    });
}

#[test]
fn accounts_within_their_share_are_not_refused_while_two_come_back_at_once() {
    check(Load {
        surging: 2,
        factor: 5.0,
        is_impatient: true,
        prompt_factor: 1,
    });
}

#[test]
fn accounts_within_their_share_are_not_refused_while_one_sends_huge_prompts() {
    check(Load {
        surging: 1,
        factor: 3.0,
        is_impatient: false,
        prompt_factor: 5,
    });
}

#[test]
fn equal_accounts_are_served_alike() {
    let load = Load {
        surging: ACCOUNTS,
        factor: 2.0,
        is_impatient: false,
        prompt_factor: 1,
    };
    for seed in 0..4 {
        let served = replay(seed, load, ShareRules::default());
        let least = served.iter().map(|one| one.granted).min().unwrap_or(0);
        let mean = sum(&served).granted / ACCOUNTS as u32;
        assert!(least * 10 >= mean * 8, "seed {seed}: {served:?}");
    }
}

#[test]
fn answers_are_hardly_later_than_without_shares_when_all_surge() {
    let load = Load {
        surging: ACCOUNTS,
        factor: 2.0,
        is_impatient: false,
        prompt_factor: 1,
    };
    let late = [ShareRules::default(), disabled()].map(|shares| {
        let served: Vec<_> = (0..8)
            .map(|seed| sum(&replay(seed, load, shares)))
            .collect();
        sum(&served)
    });
    let [with, without] = late;
    assert!(
        with.late <= without.late + with.granted / 50,
        "{with:?}, without shares {without:?}"
    );
}

#[test]
fn an_account_alone_is_served_as_without_shares() {
    let load = Load {
        surging: 1,
        factor: 20.0,
        is_impatient: false,
        prompt_factor: 1,
    };
    let with = replay(1, load, ShareRules::default());
    let without = replay(1, load, disabled());
    assert!(sum(&with).granted * 100 >= sum(&without).granted * 98);
}
