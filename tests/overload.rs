//! Guards against requests that ran although their callers were told that they had not run.
//!
//! Runs the `overload` command with few nodes, fixed seeds and upstreams whose answers are hard to tell apart.

use std::process::{Command, Stdio};

/// Runs of a small system near the limit of its plain service, with chosen troubles, at the same time.
fn assert_refused_requests_did_not_run(seeds: [&str; 2], troubles: &[&str]) {
    let running = seeds.map(|seed| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dragonflystep"));
        command.args(["overload", "--seed", seed, "--nodes", "6", "--engines", "6"]);
        command.args(["--length-s", "9", "--load", "1.6"]);
        command.args(["--troubles", "6", "--intensity", "10"]);
        for trouble in troubles {
            command.args(["--only", trouble]);
        }
        let overload = command.stdout(Stdio::piped()).spawn();
        overload.expect("the overload starts")
    });
    // All runs end before the first one is judged, so that none goes on beside another test.
    let outputs = running.map(|overload| overload.wait_with_output().expect("the overload ends"));
    for output in outputs {
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "{text}");
    }
}

#[test]
fn requests_whose_connection_repeats_an_earlier_rejection_are_not_refused_if_they_ran() {
    assert_refused_requests_did_not_run(["11", "12"], &["copies", "unnamed", "early"]);
}

#[test]
fn requests_before_whose_answers_stray_rejections_arrive_are_not_refused_if_they_ran() {
    assert_refused_requests_did_not_run(["13", "14"], &["stray", "stray_named"]);
}
