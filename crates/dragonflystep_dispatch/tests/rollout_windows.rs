//! The analysis of a roll-out beside a simpler one: fixed windows with fixed thresholds, on the same plays.
//!
//! `DRAGONFLYSTEP_SEEDS=0..50` plays others by hand and prints a table.

mod support;

use {
    dragonflystep_dispatch::RolloutPhase,
    std::ops::Range,
    support::rollout_player::{
        Fault, GOOD, Outcome, Player, RunSample, Site, application, engines, failing, seeds, slow,
    },
};

/// Length of a window, in seconds.
const WINDOW_S: f64 = 2.0;

/// Answers of the new version in a window by which it is judged.
const LEAST_ANSWERS: usize = 10;

/// Share of answers that may fail beyond that of the old version, and how many times as long they may take.
const TOLERATED_FAILURES: f64 = 0.1;
const TOLERATED_SLOWDOWN: f64 = 1.5;

/// Share that failed, and mean time of the others; for streams the time of an event.
fn rates(samples: &[RunSample]) -> (f64, f64) {
    let failed = samples.iter().filter(|sample| sample.has_failed).count();
    let served = samples.iter().filter(|sample| !sample.has_failed);
    let unit_s = |sample: &RunSample| sample.took_s / f64::from(sample.events.max(1));
    let times: Vec<f64> = served.map(unit_s).collect();
    let mean_s = times.iter().sum::<f64>() / times.len().max(1) as f64;
    (failed as f64 / samples.len().max(1) as f64, mean_s)
}

/// When fixed windows would have taken the version for bad, in seconds after the order.
fn bad_by_windows(site: &Site, outcome: &Outcome) -> Option<f64> {
    let last_s = outcome.ends.last().map_or(0.0, |end| end.at_s);
    let windows = (1..).map(|number| f64::from(number) * WINDOW_S);
    windows.take_while(|end_s| *end_s < last_s).find(|end_s| {
        (0..site.routes.len()).any(|route| {
            let of = |is_new: bool| -> Vec<RunSample> {
                let ends = outcome.ends.iter().filter(|end| {
                    end.route == route
                        && end.is_new == is_new
                        && (end_s - WINDOW_S..*end_s).contains(&end.at_s)
                });
                ends.copied().collect()
            };
            let (new, old) = (of(true), of(false));
            if new.len() < LEAST_ANSWERS || old.len() < LEAST_ANSWERS {
                return false;
            }
            let ((new_failed, new_s), (old_failed, old_s)) = (rates(&new), rates(&old));
            new_failed > old_failed + TOLERATED_FAILURES || new_s > old_s * TOLERATED_SLOWDOWN
        })
    })
}

/// Wrong verdicts of both ways.
fn compare(name: &str, site: &Site, fault: Fault, is_bad: bool, usual: Range<u64>) -> (u32, u32) {
    let (mut sequential, mut windows) = (0, 0);
    let (mut decided_s, mut found_s, mut found) = (0.0, 0.0, 0);
    let seeds = seeds(usual);
    let count = seeds.end - seeds.start;
    for seed in seeds {
        let outcome = Player::new(site, fault, seed).play();
        let is_rolled_back = outcome.phase == Some(RolloutPhase::RolledBack);
        sequential += u32::from(is_rolled_back != is_bad);
        decided_s += outcome.decided_at_s;
        let by_windows = bad_by_windows(site, &outcome);
        windows += u32::from(by_windows.is_some() != is_bad);
        if let Some(at_s) = by_windows {
            found_s += at_s;
            found += 1;
        }
    }
    #[expect(clippy::print_stdout, reason = "the table of plays by hand")]
    {
        println!(
            "{name}: of {count} wrong: sequential {sequential}, decided after {:.1} s; windows {windows}, found after {:.1} s",
            decided_s / count as f64,
            found_s / f64::from(found.max(1))
        );
    }
    (sequential, windows)
}

#[test]
fn the_sequential_analysis_is_wrong_no_more_often_than_fixed_windows() {
    let (engines, application) = (engines(), application());
    let kinds = [
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
    for (name, site, fault, is_bad) in kinds {
        let wrong = compare(name, site, fault, is_bad, 0..2);
        sequential += wrong.0;
        windows += wrong.1;
    }
    assert!(sequential <= windows, "{sequential} against {windows}");
}
