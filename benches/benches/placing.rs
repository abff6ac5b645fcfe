//! Cost of a decision of an edge node's owner under its worst load: all places are taken and requests wait.
//!
//! A decision is the end of a run, which gives its place to one that waits, and a new request, which waits in its place.

use {
    criterion::{BenchmarkId, Criterion},
    dragonflystep_dispatch::{
        Dispatcher, Event, QuotaRules, RolloutRules, RunId, RunOutcome, RunReport, SharedLimits,
        SlotDecision, SlotRequest, Upstream, UpstreamPhase, WorkSize,
    },
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

const SERVICE: &str = "engines";
const SLOTS: u32 = 5;

/// Upstreams and waiting requests that are measured: a deployment of today, and the size in two years.
const SIZES: [(usize, usize); 2] = [(90, 300), (2_100, 1_000)];

/// Time between two decisions.
const STEP: Duration = Duration::from_micros(200);

/// Decisions whose 99th percentile is printed.
const SAMPLES: usize = 20_000;

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

fn ask(run: RunId) -> SlotRequest {
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
        attempt: 0,
        avoid: Vec::new(),
        fingerprint: run,
        data_centre: "a".into(),
    }
}

/// An owner whose upstreams are full.
struct FullOwner {
    owner: Dispatcher,
    now: Duration,
    next_run: RunId,
    running: VecDeque<RunId>,
}

impl FullOwner {
    fn new(upstreams: usize, waiting: usize) -> Self {
        let mut full = Self {
            owner: Dispatcher::new(limits()),
            now: Duration::from_secs(20),
            next_run: 0,
            running: VecDeque::new(),
        };
        let entries = (0..upstreams).map(upstream).collect();
        full.reduce(Event::UpstreamsChanged(entries));
        for _ in 0..upstreams * SLOTS as usize + waiting {
            full.next_run += 1;
            full.reduce(Event::SlotRequested(ask(full.next_run)));
        }
        full
    }

    fn reduce(&mut self, event: Event) {
        for effect in self.owner.reduce(self.now, event) {
            if matches!(effect.decision, SlotDecision::Granted(_)) {
                self.running.push_back(effect.run);
            }
        }
    }

    /// A run ends, and another request comes.
    fn decide(&mut self) {
        self.now += STEP;
        let run = self.running.pop_front().expect("requests run");
        self.reduce(Event::RunEnded(RunReport {
            run,
            service: SERVICE.into(),
            outcome: RunOutcome::Completed,
            to_first_event: Some(Duration::from_millis(60)),
            to_end: Duration::from_millis(500),
            events: 30,
        }));
        self.next_run += 1;
        self.reduce(Event::SlotRequested(ask(self.next_run)));
    }
}

fn placing(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placing");
    group.measurement_time(Duration::from_secs(3));
    group.warm_up_time(Duration::from_secs(1));
    for (upstreams, waiting) in SIZES {
        let name = format!("{upstreams}_upstreams_{waiting}_waiting");
        let mut full = FullOwner::new(upstreams, waiting);
        group.bench_function(BenchmarkId::from_parameter(&name), |bencher| {
            bencher.iter(|| full.decide());
        });
        print_percentiles(&name, &mut full);
    }
    group.finish();
}

fn print_percentiles(name: &str, full: &mut FullOwner) {
    let mut spent: Vec<Duration> = (0..SAMPLES)
        .map(|_| {
            let begin = Instant::now();
            full.decide();
            begin.elapsed()
        })
        .collect();
    spent.sort_unstable();
    let (median, high) = (spent[SAMPLES / 2], spent[SAMPLES * 99 / 100]);
    #[expect(clippy::print_stdout, reason = "a figure of the benchmark")]
    {
        println!("{name}: median {median:?}, 99th percentile {high:?}");
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    placing(&mut criterion);
    criterion.final_summary();
}
