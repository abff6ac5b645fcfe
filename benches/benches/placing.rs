//! Cost of an owner's decisions on an edge node under the worst load: all slots are occupied and requests wait.
//!
//! One iteration is the end of a run, whose slot goes to a waiting request, and the arrival of a new request, which
//! joins the queue. The number of waiting requests therefore stays the same.

use {
    criterion::{BenchmarkId, Criterion},
    dragonflystep_dispatch::{
        CopyRules, Dispatcher, Event, QuotaRules, RolloutRules, RunId, RunOutcome, RunReport,
        ShareRules, SharedLimits, SlotDecision, SlotRequest, Upstream, UpstreamPhase, WarmUpRules,
        WorkSize,
    },
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

const SERVICE: &str = "engines";
const SLOTS: u32 = 5;

/// Numbers of upstreams and of waiting requests: the size of a present deployment, and the size expected in two years.
const SIZES: [(usize, usize); 2] = [(90, 300), (2_100, 1_000)];

/// Virtual time between two iterations.
const STEP: Duration = Duration::from_micros(200);

/// Number of iterations from which the median and the 99th percentile are computed.
const SAMPLES: usize = 20_000;

/// Pools of which only a few upstreams have runs.
const LIGHTLY_LOADED_UPSTREAMS: [usize; 3] = [150, 2_900, 11_600];

/// Runs in flight in these pools.
const LIGHT_LOAD_RUNS: usize = 120;

fn limits() -> SharedLimits {
    SharedLimits {
        retry_ratio: 0.2,
        retry_slack: 50.0,
        retry_window_s: 10,
        quota: QuotaRules {
            window: Duration::from_secs(8),
            tolerated_share: 0.1,
            tolerated_units: 190_000.0,
        },
        rollout: RolloutRules {
            exposed_share: 0.1,
            exposed_slack: 50.0,
        },
        warm_up: WarmUpRules::default(),
        copies: CopyRules::default(),
        shares: ShareRules::default(),
    }
}

fn upstream(index: usize) -> Upstream {
    Upstream {
        id: format!("engine-{index}").into(),
        service: SERVICE.into(),
        address: format!("127.0.0.1:{index}"),
        data_centre: "a".into(),
        slots: Some(SLOTS),
        phase: UpstreamPhase::Ready,
        version: "v1".into(),
    }
}

fn slot_request(run: RunId) -> SlotRequest {
    SlotRequest {
        run,
        service: SERVICE.into(),
        route: "route".into(),
        account: None,
        quota_units: 0,
        tier: (run % 3) as u16,
        objective_left: Duration::from_secs(600),
        time_left: Duration::from_secs(600),
        longest_pause: Some(Duration::from_millis(250)),
        size: WorkSize {
            prompt_tokens: 2_000,
            output_tokens: 120,
            segments: Vec::new(),
        },
        previous_attempts: 0,
        excluded_upstreams: Vec::new(),
        fingerprint: run,
        shared_content: Vec::new(),
        data_centre: "a".into(),
        allowed_data_centres: None,
        stream: None,
        copy: None,
    }
}

/// An owner with runs in flight, usually in all of its slots.
struct LoadedOwner {
    owner: Dispatcher,
    now: Duration,
    next_run: RunId,
    /// Runs in flight, in the order of their grants.
    running: VecDeque<RunId>,
}

impl LoadedOwner {
    fn new(upstreams: usize, waiting: usize) -> Self {
        Self::with_requests(upstreams, upstreams * SLOTS as usize + waiting)
    }

    /// An owner that has granted slots for `requests`, as far as there are slots.
    fn with_requests(upstreams: usize, requests: usize) -> Self {
        let mut owner = Self {
            owner: Dispatcher::new(limits()),
            now: Duration::from_secs(20),
            next_run: 0,
            running: VecDeque::new(),
        };
        let entries = (0..upstreams).map(upstream).collect();
        owner.reduce(Event::UpstreamsChanged(entries));
        for _ in 0..requests {
            owner.next_run += 1;
            owner.reduce(Event::SlotRequested(slot_request(owner.next_run)));
        }
        owner
    }

    fn reduce(&mut self, event: Event) {
        for effect in self.owner.reduce(self.now, event) {
            if matches!(effect.decision, SlotDecision::Granted(_)) {
                self.running.push_back(effect.run);
            }
        }
    }

    /// Ends the oldest run and sends a new request.
    fn decide(&mut self) {
        self.now += STEP;
        let run = self
            .running
            .pop_front()
            .expect("at least one run is in flight");
        self.reduce(Event::RunEnded(RunReport {
            run,
            service: SERVICE.into(),
            outcome: RunOutcome::Completed,
            to_first_event: Some(Duration::from_millis(60)),
            to_end: Duration::from_millis(500),
            events: 30,
        }));
        self.next_run += 1;
        self.reduce(Event::SlotRequested(slot_request(self.next_run)));
    }
}

fn placing(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placing");
    group.measurement_time(Duration::from_secs(3));
    group.warm_up_time(Duration::from_secs(1));
    for (upstreams, waiting) in SIZES {
        let name = format!("{upstreams}_upstreams_{waiting}_waiting");
        let mut owner = LoadedOwner::new(upstreams, waiting);
        group.bench_function(BenchmarkId::from_parameter(&name), |bencher| {
            bencher.iter(|| owner.decide());
        });
        print_percentiles(&name, &mut owner);
    }
    for upstreams in LIGHTLY_LOADED_UPSTREAMS {
        let name = format!("{upstreams}_upstreams_{LIGHT_LOAD_RUNS}_runs");
        let mut owner = LoadedOwner::with_requests(upstreams, LIGHT_LOAD_RUNS);
        group.bench_function(BenchmarkId::from_parameter(&name), |bencher| {
            bencher.iter(|| owner.decide());
        });
        print_percentiles(&name, &mut owner);
    }
    group.finish();
}

fn print_percentiles(name: &str, owner: &mut LoadedOwner) {
    let mut durations: Vec<Duration> = (0..SAMPLES)
        .map(|_| {
            let start = Instant::now();
            owner.decide();
            start.elapsed()
        })
        .collect();
    durations.sort_unstable();
    let (median, high) = (durations[SAMPLES / 2], durations[SAMPLES * 99 / 100]);
    #[expect(
        clippy::print_stdout,
        reason = "the percentiles are results of the benchmark"
    )]
    {
        println!("{name}: median {median:?}, 99th percentile {high:?}");
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    placing(&mut criterion);
    criterion.final_summary();
}
