//! Plays a scenario and writes the report to standard output.
//!
//! `cargo run --release -p dragonflystep_experiment --example experiment -- FILE [SEEDS] [POLICIES] [SECONDS] [THREADS]`

use {
    dragonflystep_experiment::{ExperimentError, ExperimentOptions, run_command},
    std::io::Write,
};

fn main() -> Result<(), ExperimentError> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let scenario = arguments.first().map(String::as_str);
    let scenario = scenario.unwrap_or("experiments/scenarios/lindqvist_steady.json");
    let mut options = ExperimentOptions::new(scenario.into());
    if let Some(seeds) = arguments.get(1) {
        options.seeds = seeds.split(',').filter_map(|it| it.parse().ok()).collect();
    }
    if let Some(policies) = arguments.get(2).filter(|it| *it != "all") {
        options.policies = policies.split(',').map(String::from).collect();
    }
    options.seconds = arguments.get(3).and_then(|it| it.parse().ok());
    options.threads = arguments.get(4).and_then(|it| it.parse().ok()).unwrap_or(2);
    let report = run_command(&options)?;
    let _ = std::io::stdout().write_all(report.as_bytes());
    Ok(())
}
