//! A short run of the soak with a fixed seed, and the seeds that ever broke a promise.

use std::process::Command;

/// Seeds that are run: one with planned work only (3), one with faults of all kinds (8), and those that ever broke a
/// promise: 7, two owners beside each other that both counted themselves to the majority (quota exceeded).
const SEEDS: [&str; 3] = ["3", "7", "8"];

#[test]
fn nodes_keep_their_promises_under_faults_from_outside() {
    let running: Vec<_> = SEEDS
        .map(|seed| {
            Command::new(env!("CARGO_BIN_EXE_dragonflystep"))
                .args(["soak", "--seed", seed])
                .stdout(std::process::Stdio::piped())
                .spawn()
                .expect("the soak starts")
        })
        .into();
    for soak in running {
        let output = soak.wait_with_output().expect("the soak ends");
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "{text}");
    }
}
