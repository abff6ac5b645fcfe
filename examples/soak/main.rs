//! Runs a soak of limited duration with a seed: six nodes, eight engines and four plain upstreams as processes, under
//! traffic and random faults. A checker that does not rely on the nodes then looks for violated guarantees.
//!
//! `cargo build --release && cargo run --release --example soak -- --minutes 3 --seed 1`; the exit code is nonzero if
//! it finds any violation.

mod checker;
mod faults;
mod probe;
mod summary;
#[path = "../../tests/support/mod.rs"]
mod support;

use {
    argh::FromArgs,
    faults::{FaultKind, Faults},
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_pcg::Pcg64Mcg,
    std::{
        io::{self, Write},
        path::PathBuf,
        process::ExitCode,
        time::{Duration, Instant},
    },
    summary::Recoveries,
    support::{Site, SiteSettings, records_of, traffic},
    tokio::time::sleep,
};

/// Share of the rounds with two faults at the same time.
const TWO_FAULTS_SHARE: f64 = 0.3;
/// Range of a fault's duration, in milliseconds.
const FAULT_DURATION_MS: std::ops::RangeInclusive<u64> = 2_000..=6_000;
/// Time without faults before the first one. The last round begins at least three times this long before the end.
const QUIET_TIME: Duration = Duration::from_secs(3);

/// Runs a complete system under random faults and counts violated guarantees.
#[derive(FromArgs, Debug)]
struct Options {
    /// minutes of traffic
    #[argh(option, default = "3.0")]
    minutes: f64,
    /// seed of the traffic and of the faults
    #[argh(option, default = "1")]
    seed: u64,
    /// requests per second
    #[argh(option, default = "50.0")]
    rate: f64,
    /// directory into which the logs of all processes are copied at the end
    #[argh(option)]
    keep_logs: Option<PathBuf>,
    /// kind of fault to inject; repeat the option for several kinds; default: all kinds
    #[argh(option)]
    fault: Vec<FaultKind>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options: Options = argh::from_env();
    let (text, has_no_violations) = soak(&options).await;
    // If the reader has closed the pipe, the exit code still reports the result.
    let _ = io::stdout().lock().write_all(text.as_bytes());
    if has_no_violations {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn site_settings() -> SiteSettings {
    SiteSettings {
        nodes: 6,
        engines: 8,
        services: 4,
        ..SiteSettings::default()
    }
}

async fn soak(options: &Options) -> (String, bool) {
    let mut site = Site::start(site_settings()).await;
    let duration = Duration::from_secs_f64(options.minutes * 60.0);
    let requests = (options.rate * duration.as_secs_f64()) as u32;
    let traffic = traffic(options.seed, requests, options.rate);
    let plan = dragonflystep::fakes::caller::plan(&traffic);
    let caller = site.caller(traffic);
    let began = Instant::now();
    let running = tokio::spawn(async move { caller.run().await });
    let mut faults = Faults::new(began);
    let mut recoveries = Recoveries::default();
    let mut random = Pcg64Mcg::seed_from_u64(options.seed);
    sleep(QUIET_TIME).await;
    while began.elapsed() + QUIET_TIME * 3 < duration {
        round(
            options,
            &mut site,
            &mut faults,
            &mut recoveries,
            &mut random,
        )
        .await;
    }
    let report = running.await.expect("the caller does not panic");
    if let Some(directory) = &options.keep_logs {
        site.copy_logs(directory);
    }
    let records = records_of(&site).await;
    let violations = checker::check(&site, &plan, &report, &records, &faults);
    let text = summary::text(
        options.seed,
        &plan,
        &report,
        &violations,
        &recoveries,
        &faults,
    );
    (text, violations.is_empty())
}

/// Injects one or two faults and records how long the system takes to recover after their start and after their end.
async fn round(
    options: &Options,
    site: &mut Site,
    faults: &mut Faults,
    recoveries: &mut Recoveries,
    random: &mut Pcg64Mcg,
) {
    let kinds = if options.fault.is_empty() {
        FaultKind::ALL.to_vec()
    } else {
        options.fault.clone()
    };
    let count = 1 + usize::from(random.random_bool(TWO_FAULTS_SHARE));
    let chosen: Vec<FaultKind> = kinds.choose_multiple(random, count).copied().collect();
    let duration = Duration::from_millis(random.random_range(FAULT_DURATION_MS));
    let mut ongoing = Vec::new();
    for kind in &chosen {
        ongoing.push(faults.begin(site, *kind, random).await);
    }
    let round_began_s = faults.elapsed().as_secs();
    let began = Instant::now();
    let name = match &chosen[..] {
        [kind] => kind.name().to_owned(),
        _ => "two_at_once".to_owned(),
    };
    let unaffected = faults.unaffected(site, &ongoing);
    let with_orders = !chosen.iter().any(|kind| kind.blocks_orders());
    let took = probe::time_to_recover(site, &unaffected, with_orders).await;
    recoveries.during(&name, took);
    let took_during = took;
    sleep(duration.saturating_sub(began.elapsed())).await;
    for fault in &ongoing {
        faults.end(site, fault).await;
    }
    let all: Vec<usize> = (0..site.nodes.len()).collect();
    let took = probe::time_to_recover(site, &all, true).await;
    recoveries.after(&name, took);
    recoveries.round(format!(
        "{round_began_s} s, {ongoing:?}, {took_during:?}, {took:?}"
    ));
    faults.close_windows();
}
