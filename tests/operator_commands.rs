//! Guards against operator commands that report wrong or incomplete data without saying so.
//!
//! The diff of two catalogue versions has to name the changed fields and the authors. The burn report has to name each
//! node whose figures are missing, because it was not asked or is down, or partial, because it restarted.

mod support;

use {
    rustix::process::Signal,
    serde_json::{Value, json},
    std::{fs, process::Command},
    support::{CONDITION_TIMEOUT, EDIT_KEY, READ_KEY, Site, SiteSettings, traffic, wait_for},
};

fn small_site() -> SiteSettings {
    SiteSettings {
        nodes: 2,
        engines: 1,
        services: 1,
        ..SiteSettings::default()
    }
}

fn admin_address(site: &Site, node: usize) -> String {
    let text = fs::read_to_string(site.nodes[node].settings_path())
        .expect("the settings file can be read");
    let settings: Value = serde_json::from_str(&text).expect("the settings are JSON");
    let address = settings["admin_address"].as_str();
    address
        .expect("the settings contain an administration address")
        .to_owned()
}

/// Runs the binary with an administration key and returns its exit code, standard output and standard error.
fn run(key: &str, arguments: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_dragonflystep"))
        .env("DRAGONFLYSTEP_ADMIN_KEY", key)
        .args(arguments)
        .output()
        .expect("the command starts");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr),
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn the_difference_of_two_versions_names_fields_and_authors() {
    let site = Site::start(small_site()).await;
    let edits = json!([{"put_tier": {"id": "extra", "rank": 9, "default_deadline_ms": 5_000,
        "objective": {"first_token_ms": 700, "token_gap_ms": 45, "good_share": 0.9}}}]);
    let answer = site.nodes[0].admin.change(1, "a slower tier", &edits).await;
    assert!(answer.is_some_and(|(status, _)| status.is_success()));
    let admin = admin_address(&site, 0);
    let diff = |from, to| {
        run(
            READ_KEY,
            &["catalogue", "--admin", &admin, "diff", from, to],
        )
    };
    let (code, stdout, stderr) = diff("1", "2");
    assert_eq!(code, Some(0), "{stderr}");
    assert!(
        stdout.starts_with("from version 1 to 2\ntiers/extra: added {"),
        "{stdout}"
    );
    assert!(
        stdout.contains("version 2 by proofs: a slower tier"),
        "{stdout}"
    );
    let (code, _, stderr) = diff("1", "3");
    assert_eq!(code, Some(2));
    assert!(
        stderr.contains("the change to version 3 is not in the history"),
        "{stderr}"
    );
    let (code, stdout, _) = run(EDIT_KEY, &["catalogue", "--admin", &admin, "history"]);
    assert_eq!(code, Some(0));
    assert!(stdout.contains("\"author\": \"proofs\""), "{stdout}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_burn_report_names_missing_and_partial_nodes() {
    let mut site = Site::start(small_site()).await;
    let report = site.caller(traffic(3, 40, 40.0)).run().await;
    assert!(report.tiers.values().any(|tier| tier.sent > 0));
    let first_admin = admin_address(&site, 0);
    let second_admin = admin_address(&site, 1);
    let burn = |addresses: &[&str]| {
        let named = addresses.iter().flat_map(|address| ["--admin", address]);
        let arguments: Vec<&str> = ["report", "burn"].into_iter().chain(named).collect();
        let (code, stdout, stderr) = run(READ_KEY, &arguments);
        assert_eq!(code, Some(0), "{stderr}");
        (stdout, stderr)
    };

    let (stdout, _) = burn(&[&first_admin, &second_admin]);
    assert!(stdout.contains("nodes: entry-1, entry-2\n"), "{stdout}");
    assert!(!stdout.contains("missing:"), "{stdout}");
    assert!(stdout.contains("error budget over 360 min"), "{stdout}");
    let (stdout, _) = burn(&[&first_admin]);
    assert!(
        stdout.contains("missing: entry-2"),
        "the report does not name entry-2, which was not asked: {stdout}"
    );

    site.nodes[1].process.signal(Signal::KILL);
    site.nodes[1].process.wait_for_exit(CONDITION_TIMEOUT).await;
    let (stdout, stderr) = burn(&[&first_admin, &second_admin]);
    assert!(
        stdout.contains("missing: ") && stdout.contains(&second_admin),
        "{stdout}"
    );
    assert!(
        stderr.contains(&format!("{second_admin} is missing: ")),
        "{stderr}"
    );

    site.nodes[1].restart();
    wait_for("the restarted node answers", CONDITION_TIMEOUT, || async {
        site.nodes[1].admin.version().await
    })
    .await;
    let (stdout, _) = burn(&[&first_admin, &second_admin]);
    assert!(
        stdout.contains("partial: entry-2 counts only since its start"),
        "{stdout}"
    );
}
