//! Guards against streams that are joined from two software versions after all nodes were lost at the end of a release.
//!
//! Runs the `releases` command with two fixed seeds, in which the last upstream of the old version leaves while all nodes are
//! away.

use std::process::{Command, Stdio};

const SEEDS: [&str; 2] = ["20", "31"];

#[test]
fn streams_keep_to_one_version_over_a_loss_of_all_nodes_at_the_end_of_a_release() {
    let running = SEEDS.map(|seed| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dragonflystep"));
        command.args(["releases", "--seed", seed, "--releases", "1"]);
        let releases = command.stdout(Stdio::piped()).spawn();
        releases.expect("the run starts")
    });
    // All runs end before the first one is judged, so that none goes on beside another test.
    let outputs = running.map(|releases| releases.wait_with_output().expect("the run ends"));
    for output in outputs {
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "{text}");
    }
}
