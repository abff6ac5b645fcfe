//! Decisions on how accounts share a service that is full: weights, tiers, memory, changes of settings and of owner.

mod support;

use {
    dragonflystep_dispatch::{
        Account, AccountQuota, ActiveRun, Catalogue, Dispatcher, Event, QuotaUnit, RefusalReason,
        RunId, RunOutcome, ShareClass, ShareRules, SharedLimits, SlotDecision, SlotRequest,
    },
    proptest::prelude::{ProptestConfig, prop_assert, proptest},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        sync::Arc,
        time::Duration,
    },
    support::{SERVICE, catalogue, limits, plain_request, slot_requests::run_ended, upstream},
};

const SLOTS: u32 = 4;
const ENGINES: usize = 5;

/// Duration of each run; the service grants 40 slots per second.
const RUN_MS: u64 = 500;

/// Time within which a grant to a request that goes behind keeps others from being refused.
const GRANT_MEMORY_MS: u64 = 250;

/// Requests of an account, at even distances.
#[derive(Clone, Copy, Debug)]
struct Sender {
    account: Option<&'static str>,
    tier: u16,
    begins_ms: u64,
    ends_ms: u64,
    per_s: u64,
}

impl Sender {
    fn new(account: &'static str, per_s: u64) -> Self {
        Self {
            account: Some(account),
            tier: 1,
            begins_ms: 0,
            ends_ms: u64::MAX,
            per_s,
        }
    }
}

/// A decision, with the index of the sender of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Decided {
    at_ms: u64,
    arrived_ms: u64,
    sender: usize,
    is_granted: bool,
}

fn quota(unit: QuotaUnit, units_per_s: f64) -> AccountQuota {
    AccountQuota {
        unit,
        units_per_s,
        burst_units: units_per_s,
    }
}

fn per_request(units_per_s: f64) -> AccountQuota {
    quota(QuotaUnit::Requests, units_per_s)
}

const TOKENS: QuotaUnit = QuotaUnit::Tokens {
    plain_request_tokens: 100,
};

fn catalogue_with(quotas: &[(&str, AccountQuota)]) -> Arc<Catalogue> {
    let account = |(name, quota): &(&str, AccountQuota)| Account {
        name: (*name).into(),
        keys: Vec::new(),
        tier: None,
        quota: Some(*quota),
        allowed_regions: Vec::new(),
    };
    Arc::new(Catalogue {
        accounts: quotas.iter().map(account).collect(),
        ..catalogue(SLOTS)
    })
}

fn shares(is_enabled: bool) -> SharedLimits {
    let shares = ShareRules {
        is_enabled,
        ..ShareRules::default()
    };
    SharedLimits { shares, ..limits() }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An owner and the runs at its upstreams.
struct Scene {
    owner: Dispatcher,
    now_ms: u64,
    next_run: RunId,
    ends: BinaryHeap<Reverse<(u64, RunId)>>,
    /// Sender and time of arrival of each request.
    requests: BTreeMap<RunId, (usize, u64)>,
    decided: Vec<Decided>,
}

impl Scene {
    fn new(limits: SharedLimits, quotas: &[(&str, AccountQuota)]) -> Self {
        let mut owner = Dispatcher::new(limits);
        let catalogue = catalogue_with(quotas);
        owner.reduce(Duration::ZERO, Event::CatalogueChanged(catalogue));
        let upstreams = (0..ENGINES).map(|index| upstream(index, SLOTS)).collect();
        owner.reduce(Duration::ZERO, Event::UpstreamsChanged(upstreams));
        Self {
            owner,
            now_ms: 1_000,
            next_run: 1,
            ends: BinaryHeap::new(),
            requests: BTreeMap::new(),
            decided: Vec::new(),
        }
    }

    fn apply(&mut self, event: Event) {
        for effect in self.owner.reduce(ms(self.now_ms), event) {
            let is_granted = match &effect.decision {
                SlotDecision::Granted(_) => true,
                SlotDecision::Refused(refusal) => {
                    assert_eq!(refusal.reason, RefusalReason::Overloaded);
                    false
                }
            };
            if is_granted {
                let end = (self.now_ms + RUN_MS, effect.run);
                self.ends.push(Reverse(end));
            }
            let (sender, arrived_ms) = self.requests[&effect.run];
            self.decided.push(Decided {
                at_ms: self.now_ms,
                arrived_ms,
                sender,
                is_granted,
            });
        }
    }

    fn request(&mut self, sender: usize, account: Option<&str>, tier: u16) {
        let run = self.next_run;
        self.next_run += 1;
        self.requests.insert(run, (sender, self.now_ms));
        self.apply(Event::SlotRequested(SlotRequest {
            account: account.map(Into::into),
            ..plain_request(run, tier)
        }));
    }

    /// Lets `senders` send for a while, with a tick every 10 ms.
    fn run(&mut self, senders: &[Sender], until_ms: u64) {
        while self.now_ms < until_ms {
            while let Some(Reverse((_, run))) = self.ends.pop_if_due(self.now_ms) {
                self.apply(run_ended(run, RunOutcome::Completed));
            }
            if self.now_ms.is_multiple_of(10) {
                self.apply(Event::Ticked);
            }
            for (index, sender) in senders.iter().enumerate() {
                let is_active = (sender.begins_ms..sender.ends_ms).contains(&self.now_ms);
                let sent = |at_ms: u64| at_ms * sender.per_s / 1_000;
                if is_active && sent(self.now_ms) > sent(self.now_ms - 1) {
                    self.request(index, sender.account, sender.tier);
                }
            }
            self.now_ms += 1;
        }
    }

    fn granted(&self, sender: usize) -> usize {
        let own = self.decided.iter().filter(|it| it.sender == sender);
        own.filter(|decided| decided.is_granted).count()
    }

    fn refused(&self, sender: usize) -> usize {
        let own = self.decided.iter().filter(|it| it.sender == sender);
        own.filter(|decided| !decided.is_granted).count()
    }

    /// Lets all runs end, and then an account take all slots and wait for one more.
    fn fill(&mut self, account: &'static str) {
        self.run(&[], self.now_ms + 2 * RUN_MS);
        for _ in 0..=ENGINES as u32 * SLOTS {
            self.request(0, Some(account), 1);
        }
    }

    /// Lets one of two new requests get a slot, the earlier by `first`; returns whether it was that one.
    fn is_first_granted_first(&mut self, first: &'static str, second: &'static str) -> bool {
        let begin = self.decided.len();
        self.request(100, Some(first), 1);
        self.now_ms += 1;
        self.request(101, Some(second), 1);
        loop {
            let own = self.decided[begin..].iter();
            let mut own = own.filter(|decided| decided.sender >= 100);
            if let Some(decided) = own.next() {
                assert!(decided.is_granted, "{decided:?}");
                return decided.sender == 100;
            }
            self.run(&[], self.now_ms + 1);
        }
    }
}

trait PopDue {
    fn pop_if_due(&mut self, now_ms: u64) -> Option<Reverse<(u64, RunId)>>;
}

impl PopDue for BinaryHeap<Reverse<(u64, RunId)>> {
    fn pop_if_due(&mut self, now_ms: u64) -> Option<Reverse<(u64, RunId)>> {
        let Reverse((end_ms, _)) = self.peek()?;
        if *end_ms > now_ms {
            return None;
        }
        self.pop()
    }
}

/// How many slots two accounts get that both ask for more than the whole service, as a ratio.
fn ratio(scene: &mut Scene) -> f64 {
    let senders = [Sender::new("a", 100), Sender::new("b", 100)];
    scene.run(&senders, 31_000);
    scene.granted(0) as f64 / scene.granted(1) as f64
}

#[test]
fn an_account_with_twice_the_quota_gets_twice_as_much() {
    let quotas = [("a", per_request(20.0)), ("b", per_request(10.0))];
    let ratio = ratio(&mut Scene::new(shares(true), &quotas));
    assert!((1.7..2.3).contains(&ratio), "{ratio}");
}

#[test]
fn quotas_of_unlike_units_are_not_compared() {
    let quotas = [
        ("a", per_request(10.0)),
        ("b", quota(TOKENS, 50_000.0)),
        ("c", per_request(10.0)),
        ("d", quota(TOKENS, 50_000.0)),
    ];
    let ratio = ratio(&mut Scene::new(shares(true), &quotas));
    assert!((0.8..1.25).contains(&ratio), "{ratio}");
}

#[test]
fn a_huge_quota_does_not_raise_the_weight_of_accounts_without_one() {
    let quotas = [
        ("a", per_request(10.0)),
        ("c", per_request(10.0)),
        ("huge", per_request(1e9)),
    ];
    let ratio = ratio(&mut Scene::new(shares(true), &quotas));
    assert!((0.8..1.25).contains(&ratio), "{ratio}");
}

#[test]
fn an_account_with_a_huge_quota_leaves_something_to_others() {
    let quotas = [
        ("a", per_request(f64::MAX)),
        ("b", per_request(10.0)),
        ("c", per_request(10.0)),
        ("d", per_request(f64::MAX)),
        ("e", per_request(10.0)),
    ];
    let mut scene = Scene::new(shares(true), &quotas);
    let ratio = ratio(&mut scene);
    assert!(ratio < 200.0 && scene.granted(1) > 0, "{ratio}");
}

#[test]
fn quotas_that_are_no_numbers_count_as_absent() {
    for bad in [f64::NAN, 0.0, -1.0, f64::INFINITY] {
        let quotas = [
            ("a", per_request(10.0)),
            ("c", per_request(10.0)),
            ("b", per_request(bad)),
        ];
        // The quotas themselves refuse all requests of such an account, so its weight shows in that of the others only.
        let mut scene = Scene::new(shares(true), &quotas);
        scene.run(&[Sender::new("a", 100), Sender::new("c", 100)], 21_000);
        let ratio = scene.granted(0) as f64 / scene.granted(1) as f64;
        assert!((0.8..1.25).contains(&ratio), "{bad}: {ratio}");
    }
}

#[test]
fn accounts_without_quota_share_alike() {
    let ratio = ratio(&mut Scene::new(shares(true), &[]));
    assert!((0.8..1.25).contains(&ratio), "{ratio}");
}

#[test]
fn requests_without_account_are_those_of_one_account() {
    let anonymous = Sender {
        account: None,
        ..Sender::new("", 200)
    };
    let usual = ["a", "b", "c"].map(|account| Sender::new(account, 8));
    let senders = [anonymous, usual[0], usual[1], usual[2]];
    let mut scene = Scene::new(shares(true), &[]);
    scene.run(&senders, 3_000);
    scene.decided.clear();
    scene.run(&senders, 23_000);
    for sender in 1..4 {
        let (granted, refused) = (scene.granted(sender), scene.refused(sender));
        assert!(
            refused * 100 < granted,
            "{sender}: {granted} granted, {refused} refused"
        );
    }
    assert!(scene.granted(0) > 200, "the rest is not lost");
}

#[test]
fn a_lower_tier_gets_nothing_while_accounts_above_their_share_are_refused() {
    let lower = Sender {
        tier: 2,
        ..Sender::new("b", 20)
    };
    let senders = [Sender::new("a", 200), Sender::new("c", 5), lower];
    let mut scene = Scene::new(shares(true), &[]);
    scene.run(&senders, 2_000);
    scene.decided.clear();
    scene.run(&senders, 22_000);
    assert!(scene.refused(0) > 1_000);
    assert_eq!(scene.granted(2), 0);
}

#[test]
fn an_account_that_was_silent_has_no_claim_beyond_the_memory() {
    let long_silent = Sender {
        begins_ms: 600_000,
        ..Sender::new("a", 100)
    };
    let senders = [long_silent, Sender::new("b", 100)];
    let mut scene = Scene::new(shares(true), &[]);
    scene.run(&senders, 600_000);
    scene.decided.clear();
    scene.run(&senders, 620_000);
    let memory_s = ShareRules::default().memory.as_secs_f64();
    let per_s = f64::from(SLOTS) * ENGINES as f64 * 1e3 / RUN_MS as f64;
    let (silent, other) = (scene.granted(0) as f64, scene.granted(1) as f64);
    assert!(
        silent > other && silent - other < memory_s * per_s,
        "{silent} and {other}"
    );
}

/// Account `a` takes the whole service until `c` asks for as much, so that `a` is above its share for a while.
fn surge() -> [Sender; 2] {
    let later = Sender {
        begins_ms: 4_500,
        ..Sender::new("c", 200)
    };
    [Sender::new("a", 200), later]
}

/// An owner whose slots are all taken, and which holds account `a` back.
fn held_back_owner(limits: SharedLimits) -> Scene {
    let mut scene = Scene::new(limits, &[]);
    scene.run(&surge(), 5_200);
    scene
}

#[test]
fn requests_of_an_account_above_its_share_go_behind() {
    let mut scene = held_back_owner(shares(true));
    scene.fill("a");
    assert!(!scene.is_first_granted_first("a", "b"));
}

#[test]
fn nobody_goes_behind_once_the_settings_switch_shares_off() {
    let mut scene = held_back_owner(shares(true));
    scene.apply(Event::LimitsChanged(shares(false)));
    scene.fill("a");
    assert!(scene.is_first_granted_first("a", "b"));
    let changes = scene.owner.take_share_changes();
    let last = changes
        .iter()
        .rfind(|(_, change)| change.account.as_deref() == Some("a"));
    assert!(!last.expect("it was held back").1.is_held_back);
}

#[test]
fn without_shares_decisions_do_not_depend_on_the_account() {
    let accounts = [["a", "b", "c"], ["c", "a", "a"]];
    let decided = accounts.map(|accounts| {
        let senders = [0, 1, 2].map(|index| Sender::new(accounts[index], [200, 5, 20][index]));
        let mut scene = Scene::new(shares(false), &[("a", per_request(5.0))]);
        scene.run(&senders, 11_000);
        assert!(scene.owner.take_share_changes().is_empty());
        scene.decided
    });
    assert_eq!(decided[0], decided[1]);
}

#[test]
fn an_account_alone_is_served_in_time_as_often_as_without_shares() {
    let on_time = [true, false].map(|is_enabled| {
        let mut scene = Scene::new(shares(is_enabled), &[]);
        scene.run(&[Sender::new("a", 60)], 31_000);
        let granted = scene.decided.iter().filter(|it| it.is_granted);
        granted.filter(|it| it.at_ms - it.arrived_ms <= 400).count()
    });
    assert!(on_time[0] * 100 >= on_time[1] * 98, "{on_time:?}");
}

#[test]
fn an_account_is_no_longer_held_back_when_nobody_asks() {
    let mut scene = held_back_owner(shares(true));
    scene.run(&[], 5_201);
    let mut is_held_back = BTreeMap::new();
    let mut note = |scene: &mut Scene| {
        for (_, change) in scene.owner.take_share_changes() {
            is_held_back.insert(change.account, change.is_held_back);
        }
    };
    note(&mut scene);
    assert_eq!(scene.owner.held_back_accounts(), 2);
    scene.run(&[], 10_000);
    note(&mut scene);
    assert_eq!(scene.owner.held_back_accounts(), 0);
    assert!(!is_held_back.is_empty());
    assert!(is_held_back.values().all(|it| !it), "{is_held_back:?}");
}

#[test]
fn an_account_that_is_forgotten_is_no_longer_held_back() {
    let mut scene = held_back_owner(shares(true));
    // All callers give up, and nothing happens for so long that all is forgotten, not even a tick.
    for run in 1..scene.next_run {
        scene.apply(Event::RequestWithdrawn(SERVICE.into(), run));
    }
    scene.ends.clear();
    scene.now_ms += 300_000;
    scene.request(0, Some("c"), 1);
    let changes = scene.owner.take_share_changes();
    let last = changes
        .iter()
        .rfind(|(_, change)| change.account.as_deref() == Some("a"));
    assert!(!last.expect("it was held back").1.is_held_back);
}

#[test]
fn an_account_that_asks_for_more_is_held_back_and_its_refusals_are_counted_as_above() {
    let mut scene = Scene::new(shares(true), &[]);
    let senders = [Sender::new("a", 200), Sender::new("b", 2)];
    scene.run(&senders, 3_000);
    assert_eq!(scene.owner.held_back_accounts(), 1);
    let changes = scene.owner.take_share_changes();
    let [(service, change)] = &changes[..] else {
        panic!("one account is held back, once: {changes:?}");
    };
    assert_eq!(
        (&**service, change.account.as_deref()),
        (SERVICE, Some("a"))
    );
    assert!(change.is_held_back && change.received_ms + change.waiting_ms > change.owed_ms);
    let classes = scene.owner.take_share_refusals();
    let refused = scene.decided.iter().filter(|it| !it.is_granted).count();
    assert_eq!(classes.len(), refused);
    scene.run(&senders, 6_000);
    let classes = scene.owner.take_share_refusals();
    assert!(classes.len() > 100);
    assert!(classes.iter().all(|class| *class == ShareClass::Above));
}

#[test]
fn an_account_alone_is_not_held_back() {
    let mut scene = Scene::new(shares(true), &[]);
    scene.run(&[Sender::new("a", 200)], 3_000);
    assert_eq!(scene.owner.held_back_accounts(), 0);
}

/// A run of account `a` that another owner granted.
fn active_run(run: RunId) -> ActiveRun {
    ActiveRun {
        upstream: format!("engine-{}", run as usize % ENGINES).as_str().into(),
        request: SlotRequest {
            account: Some("a".into()),
            ..plain_request(run, 1)
        },
        running_for: ms(100),
    }
}

#[test]
fn a_new_owner_goes_on_with_the_runs_that_it_adopts() {
    for (reports, expected) in [(1, false), (5, false)] {
        let mut scene = Scene::new(shares(true), &[]);
        for run in 1_000..1_020 {
            for _ in 0..reports {
                scene.apply(Event::ActiveRunReported(active_run(run)));
            }
            scene.requests.insert(run, (0, scene.now_ms));
            scene.ends.push(Reverse((scene.now_ms + run - 900, run)));
        }
        assert_eq!(scene.is_first_granted_first("a", "b"), expected);
    }
}

#[test]
fn a_run_that_is_reported_again_counts_once() {
    let received_ms = [1, 10].map(|reports| {
        let mut scene = Scene::new(shares(true), &[]);
        for run in 1_000..1_020 {
            for _ in 0..reports {
                scene.apply(Event::ActiveRunReported(active_run(run)));
            }
        }
        scene.request(0, Some("b"), 1);
        scene.request(0, Some("b"), 1);
        scene.now_ms += 100;
        scene.apply(Event::Ticked);
        scene.request(0, Some("b"), 1);
        let changes = scene.owner.take_share_changes();
        changes
            .iter()
            .map(|(_, change)| change.received_ms)
            .sum::<f64>()
    });
    assert!(received_ms[0] > 0.0);
    assert!(
        (received_ms[0] - received_ms[1]).abs() < 1.0,
        "{received_ms:?}"
    );
}

#[test]
fn a_service_whose_upstreams_come_back_keeps_the_settings_of_shares() {
    let mut document = catalogue(SLOTS);
    document.services[0].engine = None;
    let mut scene = Scene::new(shares(false), &[]);
    scene.apply(Event::CatalogueChanged(Arc::new(document)));
    scene.apply(Event::UpstreamsChanged(Vec::new()));
    assert_eq!(scene.owner.service_count(), 0, "{SERVICE} is dropped");
    let upstreams = (0..ENGINES).map(|index| upstream(index, SLOTS)).collect();
    scene.apply(Event::UpstreamsChanged(upstreams));
    scene.run(&surge(), 6_000);
    assert!(scene.owner.take_share_changes().is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    /// A request whose account asks for less than its share is not refused at the door while a request of the same tier
    /// that goes behind it was granted a slot a moment ago.
    #[test]
    fn no_request_below_its_share_is_refused_while_one_above_is_granted(
        hogs in 1_usize..4,
        hog_per_s in 60_u64..400,
        newcomers in proptest::collection::vec(3_000_u64..10_000, 1..40),
        is_enabled_late in proptest::bool::ANY,
    ) {
        let senders: Vec<_> = ["x", "y", "z"][..hogs]
            .iter()
            .map(|hog| Sender::new(hog, hog_per_s))
            .collect();
        let mut scene = Scene::new(shares(!is_enabled_late), &[]);
        scene.run(&senders, 1_500);
        scene.apply(Event::LimitsChanged(shares(true)));
        let mut times = newcomers;
        times.sort_unstable();
        for (index, at_ms) in times.into_iter().enumerate() {
            scene.run(&senders, at_ms);
            let account = format!("newcomer-{index}");
            scene.request(1_000 + index, Some(&account), 1);
        }
        scene.run(&senders, 11_000);
        for refused in scene.decided.iter().filter(|it| it.sender >= 1_000 && !it.is_granted) {
            let is_at_door = refused.at_ms == refused.arrived_ms;
            let behind = scene.decided.iter().any(|other| {
                other.sender < 1_000
                    && other.is_granted
                    && other.at_ms <= refused.at_ms
                    && other.at_ms + GRANT_MEMORY_MS > refused.at_ms
            });
            prop_assert!(!(is_at_door && behind), "{refused:?}");
        }
    }
}
