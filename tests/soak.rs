//! A short run of the soak with a fixed seed, and the seeds that ever broke a promise.

use std::process::Command;

/// Seeds that are run: one with planned work only, and one with faults of all kinds.
const SEEDS: [&str; 2] = ["3", "8"];

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
