//! Guards against an `explain` command that leaves out or misorders log lines of a request.
//!
//! The command merges the logs of several nodes and prints the lines of one request in order of time, after the last
//! lines on catalogue versions and upstream notices that its nodes logged before.

use std::{fs, process::Command};

fn explain(request: &str, logs: &[(&str, &str)]) -> (Option<i32>, String) {
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    let mut command = Command::new(env!("CARGO_BIN_EXE_dragonflystep"));
    command.args(["explain", "--request", request]);
    for (name, text) in logs {
        let path = directory.path().join(name);
        fs::write(&path, text).expect("the log file can be written");
        command.arg(path);
    }
    let output = command.output().expect("the command starts");
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    (output.status.code(), stdout)
}

#[test]
fn lines_of_a_request_come_in_order_after_the_catalogue_version_in_force() {
    let first = concat!(
        r#"{"time_ms":1,"node":"a","message":"catalogue in force","version":7}"#,
        "\n",
        r#"{"time_ms":2,"node":"a","message":"catalogue in force","version":8}"#,
        "\n",
        "no JSON at all\n",
        r#"{"time_ms":9,"node":"a","message":"request ended","request":"r1","status":502}"#,
        "\n",
        r#"{"time_ms":9,"node":"a","message":"request ended","request":"r2","status":200}"#,
        "\n",
    );
    let second = concat!(
        r#"  3.4 node-b {"time_ms":5,"node":"b","message":"upstream broke off","request":"r1"}"#,
        "\n",
        r#"{"time_ms":3,"node":"c","message":"catalogue in force","version":1}"#,
        "\n",
    );
    let (code, stdout) = explain("r1", &[("a.log", first), ("b.log", second)]);
    assert_eq!(code, Some(0));
    let lines: Vec<&str> = stdout.lines().collect();
    assert_eq!(lines.len(), 3, "{stdout}");
    assert!(lines[0].contains("\"version\":8"));
    assert!(lines[1].contains("upstream broke off"));
    assert!(lines[2].contains("request ended"));
}

#[test]
fn a_request_that_no_log_names_is_bad_input() {
    let (code, stdout) = explain("r1", &[("a.log", "")]);
    assert_eq!(code, Some(2));
    assert_eq!(stdout, "");
}

#[test]
fn the_last_notice_of_each_upstream_comes_before_the_lines_of_a_request() {
    let log = concat!(
        r#"{"time_ms":1,"node":"a","message":"upstream limits its rate","upstream":"u1"}"#,
        "\n",
        r#"{"time_ms":2,"node":"a","message":"upstream limits its rate","upstream":"u2"}"#,
        "\n",
        r#"{"time_ms":3,"node":"a","message":"upstream no longer limits its rate","upstream":"u1"}"#,
        "\n",
        r#"{"time_ms":9,"node":"a","message":"request refused","request":"r1"}"#,
        "\n",
    );
    let (code, stdout) = explain("r1", &[("a.log", log)]);
    assert_eq!(code, Some(0));
    let lines: Vec<&str> = stdout.lines().collect();
    assert_eq!(lines.len(), 3, "{stdout}");
    assert!(lines[0].contains("u2"), "{stdout}");
    assert!(lines[1].contains("no longer"), "{stdout}");
}

#[test]
fn the_last_known_reach_of_upstreams_comes_before_the_lines_of_a_request() {
    let cut_off = concat!(
        r#"{"time_ms":1,"node":"a","message":"this node reaches no upstream directly; it connects to them through other nodes"}"#,
        "\n",
        r#"{"time_ms":2,"node":"a","message":"upstream limits its rejections","upstream":"u1","rejections_per_s":3}"#,
        "\n",
        r#"{"time_ms":3,"node":"a","message":"upstream was reached through another node","request":"r1","forwarder":"b"}"#,
        "\n",
        r#"{"time_ms":4,"node":"a","message":"this node reaches upstreams directly again","cut_off_for_ms":3}"#,
        "\n",
        r#"{"time_ms":5,"node":"a","message":"request ended","request":"r2","status":200}"#,
        "\n",
    );
    let (_, first) = explain("r1", &[("a.log", cut_off)]);
    let lines: Vec<&str> = first.lines().collect();
    assert_eq!(lines.len(), 3, "{first}");
    assert!(lines[0].contains("reaches no upstream"));
    assert!(lines[1].contains("limits its rejections"));
    let (_, second) = explain("r2", &[("a.log", cut_off)]);
    assert!(!second.contains("reaches no upstream"), "{second}");
    assert!(second.contains("directly again"), "{second}");
}

#[test]
fn the_tries_of_a_resumed_stream_are_printed_together() {
    let first = concat!(
        r#"{"time_ms":1,"node":"a","message":"a stream broke off","request":"r1"}"#,
        "\n",
        r#"{"time_ms":2,"node":"a","message":"stream ended","request":"r9"}"#,
        "\n",
    );
    let second = concat!(
        r#"{"time_ms":3,"node":"b","message":"a caller resumes a stream","request":"r2","resumes":"r1"}"#,
        "\n",
        r#"{"time_ms":5,"node":"b","message":"a caller resumes a stream","request":"r3","resumes":"r1"}"#,
        "\n",
        r#"{"time_ms":6,"node":"b","message":"stream ended","request":"r3"}"#,
        "\n",
        r#"{"time_ms":7,"node":"b","message":"a caller resumes a stream","request":"r4","resumes":""}"#,
        "\n",
    );
    for request in ["r1", "r2", "r3"] {
        let (_, stdout) = explain(request, &[("a.log", first), ("b.log", second)]);
        let lines: Vec<&str> = stdout.lines().collect();
        assert_eq!(lines.len(), 4, "{request}: {stdout}");
        assert!(lines[0].contains("broke off") && lines[3].contains("stream ended"));
    }
    let (_, stdout) = explain("r4", &[("b.log", second)]);
    assert_eq!(stdout.lines().count(), 1, "{stdout}");
}

#[test]
fn what_owners_concluded_about_the_content_of_a_request_comes_before_its_lines() {
    let owner = concat!(
        r#"{"time_ms":1,"node":"o","message":"requests with content that crashed upstreams are refused","content":"00ab"}"#,
        "\n",
        r#"{"time_ms":2,"node":"o","message":"requests with content that crashed upstreams are refused","content":"00cd"}"#,
        "\n",
    );
    let entry = concat!(
        r#"{"time_ms":8,"node":"a","message":"the request holds content that crashes upstreams","request":"r1","content":"5/00cd,request/77"}"#,
        "\n",
        r#"{"time_ms":9,"node":"a","message":"request refused","request":"r1","reason":"breaks_upstreams"}"#,
        "\n",
    );
    let (code, stdout) = explain("r1", &[("o.log", owner), ("a.log", entry)]);
    assert_eq!(code, Some(0));
    let lines: Vec<&str> = stdout.lines().collect();
    assert_eq!(lines.len(), 3, "{stdout}");
    assert!(lines[0].contains("00cd"), "{stdout}");
}

#[test]
fn the_share_of_the_account_comes_before_the_lines_of_a_refused_request() {
    let owner = concat!(
        r#"{"time_ms":1,"node":"o","message":"an account's share changed","account":"mill","tier":258,"is_held_back":false}"#,
        "\n",
        r#"{"time_ms":2,"node":"o","message":"an account's share changed","account":"mill","tier":258,"is_held_back":true}"#,
        "\n",
        r#"{"time_ms":3,"node":"o","message":"an account's share changed","account":"mill","tier":257,"is_held_back":false}"#,
        "\n",
        r#"{"time_ms":4,"node":"o","message":"an account's share changed","account":"other","tier":258,"is_held_back":false}"#,
        "\n",
        r#"{"time_ms":8,"node":"o","message":"request refused","request":"r1","account":"mill","tier":258}"#,
        "\n",
    );
    let (_, stdout) = explain("r1", &[("o.log", owner)]);
    let lines: Vec<&str> = stdout.lines().collect();
    assert_eq!(lines.len(), 2, "{stdout}");
    assert!(lines[0].contains("\"is_held_back\":true"), "{stdout}");
}
