//! Guards against names of tests on the page on proofs that no longer exist in the code.
//!
//! The test collects the names in backticks on the page and looks for a test file or function of each name.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// Replaces the middle part of a long name on the page.
const ELLIPSIS: char = '…';

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).to_owned()
}

fn test_files(directory: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).into_iter().flatten().flatten() {
        let path = entry.path();
        if path.is_dir() {
            test_files(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Returns the names of all files below the `tests` directories and of the functions in them.
fn known_names() -> BTreeSet<String> {
    let mut files = Vec::new();
    test_files(&root().join("tests"), &mut files);
    for entry in fs::read_dir(root().join("crates"))
        .expect("the directory of crates can be read")
        .flatten()
    {
        test_files(&entry.path().join("tests"), &mut files);
    }
    let mut names = BTreeSet::new();
    for file in files {
        let stem = file
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        names.insert(stem);
        let text = fs::read_to_string(&file).expect("the file can be read");
        for line in text.lines().filter_map(|line| line.split("fn ").nth(1)) {
            names.insert(line.split('(').next().unwrap_or_default().to_owned());
        }
    }
    names
}

/// Returns the names in backticks that look like a test: at least three words in lower case, joined by underscores.
fn claimed_names(page: &str) -> Vec<String> {
    page.split('`')
        .skip(1)
        .step_by(2)
        .filter(|name| name.matches('_').count() >= 2)
        .filter(|name| {
            name.chars()
                .all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_' || c == ELLIPSIS)
        })
        .map(str::to_owned)
        .collect()
}

fn matches_name(claimed: &str, known: &str) -> bool {
    match claimed.split_once(ELLIPSIS) {
        Some((start, end)) => known.starts_with(start) && known.ends_with(end),
        None => claimed == known,
    }
}

#[test]
fn every_test_on_the_page_exists() {
    let page = fs::read_to_string(root().join("docs/PROOF.md")).expect("the page can be read");
    let known = known_names();
    let claimed = claimed_names(&page);
    assert!(
        claimed.len() > 40,
        "only {} names were found on the page",
        claimed.len()
    );
    let missing: Vec<_> = claimed
        .iter()
        .filter(|name| !known.iter().any(|known| matches_name(name, known)))
        .collect();
    assert!(missing.is_empty(), "no such tests: {missing:#?}");
}
