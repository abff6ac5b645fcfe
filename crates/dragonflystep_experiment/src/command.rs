//! The `experiment` command: a scenario in, a report out.

use {
    crate::{
        error::ExperimentError,
        report::{POLICY_NAMES, run},
        scenario::Plan,
    },
    std::path::PathBuf,
};

/// What the command is asked for.
#[derive(Clone, Debug)]
pub struct ExperimentOptions {
    /// File of the scenario.
    pub scenario: PathBuf,
    /// Seeds.
    pub seeds: Vec<u64>,
    /// Names of policies; empty for all.
    pub policies: Vec<String>,
    /// How long callers send, in seconds, in place of the scenario's own time.
    pub seconds: Option<f64>,
    /// Threads.
    pub threads: usize,
    /// Whether the report is JSON; otherwise it is a text table.
    pub json: bool,
}

impl ExperimentOptions {
    /// Options for a scenario with three seeds, all policies and a text table.
    pub fn new(scenario: PathBuf) -> Self {
        Self {
            scenario,
            seeds: vec![1, 2, 3],
            policies: Vec::new(),
            seconds: None,
            threads: 1,
            json: false,
        }
    }
}

/// Plays a scenario and gives the report as text.
///
/// # Errors
/// When the scenario can't be read or used, or a policy is not known.
///
/// # Examples
/// ```
/// use dragonflystep_experiment::{ExperimentOptions, run_command};
/// let mut options = ExperimentOptions::new("../../experiments/scenarios/lindqvist_steady.json".into());
/// options.seconds = Some(2.0);
/// options.seeds = vec![1];
/// options.policies = vec!["round_robin".into()];
/// let report = run_command(&options)?;
/// assert!(report.contains("round_robin"));
/// # Ok::<(), dragonflystep_experiment::ExperimentError>(())
/// ```
pub fn run_command(options: &ExperimentOptions) -> Result<String, ExperimentError> {
    let mut plan = Plan::read(&options.scenario)?;
    if let Some(seconds) = options.seconds {
        plan.scenario.seconds = seconds;
    }
    let all = options.policies.is_empty();
    let policies: Vec<&str> = if all {
        POLICY_NAMES.to_vec()
    } else {
        options.policies.iter().map(String::as_str).collect()
    };
    let report = run(&plan, &options.seeds, &policies, options.threads)?;
    if options.json {
        Ok(serde_json::to_string_pretty(&report)?)
    } else {
        Ok(report.text())
    }
}
