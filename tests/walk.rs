//! Guards against a broken `tools/walk`, the script that shows newcomers a small deployment.
//!
//! The script starts three nodes with stand-ins, kills one node, and waits until the others take over.

use std::process::Command;

#[test]
fn the_walk_script_completes() {
    let root = env!("CARGO_MANIFEST_DIR");
    let output = Command::new(format!("{root}/tools/walk"))
        .arg(env!("CARGO_BIN_EXE_dragonflystep"))
        .output()
        .expect("the script tools/walk starts");
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{stdout}\n{stderr}");
    assert!(stdout.contains("walk: the others took over"), "{stdout}");
    assert!(stdout.contains("walk: done"), "{stdout}");
}
