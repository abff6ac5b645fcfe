//! Compares the sequential analysis of roll-outs with fixed windows and fixed thresholds, on the same simulations.
//!
//! Guards against a sequential analysis that decides wrongly more often than this simpler method.
//! `DRAGONFLYSTEP_SEEDS=0..50` selects other seeds, and `--nocapture` shows the table of results.

mod support;

use {
    dragonflystep_dispatch::RolloutPhase,
    std::ops::Range,
    support::rollout_simulation::{
        Deployment, Fault, GOOD, Outcome, RolloutSimulation, RunSample, application, engines,
        failing, seeds, slow,
    },
};

/// Length of a window, in seconds.
const WINDOW_S: f64 = 2.0;

/// Fewest answers of each version on a route for which a window is evaluated.
const MIN_ANSWERS: usize = 10;

/// Share of answers that may fail beyond that of the old version, and factor by which their mean time may exceed
/// that of the old version.
const TOLERATED_FAILURES: f64 = 0.1;
const TOLERATED_SLOWDOWN: f64 = 1.5;

/// Returns the share of runs that failed and the mean time of the others, which for streams is the time per event.
fn rates(samples: &[RunSample]) -> (f64, f64) {
    let failed = samples.iter().filter(|sample| sample.has_failed).count();
    let served = samples.iter().filter(|sample| !sample.has_failed);
    let unit_s = |sample: &RunSample| sample.took_s / f64::from(sample.events.max(1));
    let times: Vec<f64> = served.map(unit_s).collect();
    let mean_s = times.iter().sum::<f64>() / times.len().max(1) as f64;
    (failed as f64 / samples.len().max(1) as f64, mean_s)
}

/// Returns when fixed windows find the version bad, in seconds after the order, or `None` if they do not.
fn found_bad_by_windows_s(deployment: &Deployment, outcome: &Outcome) -> Option<f64> {
    let last_s = outcome.samples.last().map_or(0.0, |sample| sample.at_s);
    let windows = (1..).map(|number| f64::from(number) * WINDOW_S);
    windows.take_while(|end_s| *end_s < last_s).find(|end_s| {
        (0..deployment.routes.len()).any(|route| {
            let samples_of = |is_new: bool| -> Vec<RunSample> {
                let samples = outcome.samples.iter().filter(|sample| {
                    sample.route == route
                        && sample.is_new == is_new
                        && (end_s - WINDOW_S..*end_s).contains(&sample.at_s)
                });
                samples.copied().collect()
            };
            let (new, old) = (samples_of(true), samples_of(false));
            if new.len() < MIN_ANSWERS || old.len() < MIN_ANSWERS {
                return false;
            }
            let ((new_failed, new_s), (old_failed, old_s)) = (rates(&new), rates(&old));
            new_failed > old_failed + TOLERATED_FAILURES || new_s > old_s * TOLERATED_SLOWDOWN
        })
    })
}

/// Returns the number of wrong decisions of the sequential analysis and of the fixed windows.
fn compare(
    name: &str,
    deployment: &Deployment,
    fault: Fault,
    is_bad: bool,
    usual: Range<u64>,
) -> (u32, u32) {
    let (mut sequential, mut windows) = (0, 0);
    let (mut decided_s, mut found_s, mut found) = (0.0, 0.0, 0);
    let seeds = seeds(usual);
    let count = seeds.end - seeds.start;
    for seed in seeds {
        let outcome = RolloutSimulation::new(deployment, fault, seed).run();
        let is_rolled_back = outcome.phase == Some(RolloutPhase::RolledBack);
        sequential += u32::from(is_rolled_back != is_bad);
        decided_s += outcome.decided_at_s;
        let by_windows = found_bad_by_windows_s(deployment, &outcome);
        windows += u32::from(by_windows.is_some() != is_bad);
        if let Some(at_s) = by_windows {
            found_s += at_s;
            found += 1;
        }
    }
    #[expect(clippy::print_stdout, reason = "a table for runs with other seeds")]
    {
        println!(
            "{name}: wrong decisions in {count} simulations: sequential {sequential}, decided after {:.1} s; windows {windows}, found bad after {:.1} s",
            decided_s / count as f64,
            found_s / f64::from(found.max(1))
        );
    }
    (sequential, windows)
}

#[test]
fn the_sequential_analysis_is_wrong_no_more_often_than_fixed_windows() {
    let (engines, application) = (engines(), application());
    let cases = [
        ("good engines", &engines, GOOD, false),
        ("good application", &application, GOOD, false),
        ("engines, a fifth fail", &engines, failing(0.2), true),
        (
            "application, a fifth fail",
            &application,
            failing(0.2),
            true,
        ),
        ("engines, a twentieth fail", &engines, failing(0.05), true),
        ("engines, all twice as slow", &engines, slow(1.0, 2.0), true),
        (
            "application, all four times as slow",
            &application,
            slow(1.0, 4.0),
            true,
        ),
    ];
    let (mut sequential, mut windows) = (0, 0);
    for (name, deployment, fault, is_bad) in cases {
        let wrong = compare(name, deployment, fault, is_bad, 0..2);
        sequential += wrong.0;
        windows += wrong.1;
    }
    assert!(
        sequential <= windows,
        "wrong decisions: sequential analysis {sequential}, fixed windows {windows}"
    );
}
