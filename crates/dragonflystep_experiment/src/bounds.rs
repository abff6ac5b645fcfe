//! Regression bounds: figures of short runs that must stay within what was measured.

use {
    crate::{
        error::ExperimentError,
        figures::Figures,
        report::run_once,
        scenario::{Plan, read_document},
    },
    serde::{Deserialize, Serialize},
    std::path::{Path, PathBuf},
};

/// A document of bounds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// The runs.
    pub runs: Vec<BoundedRun>,
}

/// One short run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundedRun {
    /// File of the scenario, relative to the document.
    pub scenario: PathBuf,
    /// How long callers send, in seconds.
    pub seconds: f64,
    /// The seed.
    pub seed: u64,
    /// The policy.
    pub policy: String,
    /// Bounds on its figures.
    pub bounds: Vec<Bound>,
}

/// Bounds on one figure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// The figure.
    pub figure: Figure,
    /// Least value.
    #[serde(default)]
    pub min: Option<f64>,
    /// Largest value.
    #[serde(default)]
    pub max: Option<f64>,
}

/// A figure that can be bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Figure {
    /// The user's weighted measure.
    Measure,
    /// Good requests as a share of all.
    Goodput,
    /// Good requests of the most urgent tier as a share of its requests.
    UrgentGoodput,
    /// Share of the computed prompt tokens that was wasted.
    WastedPrefill,
    /// Work of the good requests as a share of the bound.
    WorkOfBound,
    /// 95th percentile of the most urgent tier's first token, in milliseconds.
    UrgentFirstTokenP95Ms,
    /// Broken promises.
    Violations,
}

impl Figure {
    /// The value of the figure in a run.
    pub fn of(self, figures: &Figures) -> f64 {
        match self {
            Self::Measure => figures.measure,
            Self::Goodput => figures.goodput,
            Self::UrgentGoodput => figures.tiers[0].goodput,
            Self::WastedPrefill => figures.wasted_prefill,
            Self::WorkOfBound => figures.work_of_bound,
            Self::UrgentFirstTokenP95Ms => figures.tiers[0].first_token_ms.p95,
            Self::Violations => figures.violations.values().sum::<usize>() as f64,
        }
    }
}

/// A figure outside of its bounds.
#[derive(Clone, Debug, PartialEq)]
pub struct BoundFault {
    /// The run.
    pub run: String,
    /// The bound.
    pub bound: Bound,
    /// The value.
    pub value: f64,
}

/// Plays all runs of a document and gives the figures outside of their bounds.
///
/// # Errors
/// When a document can't be read or names an unknown policy.
pub fn check(path: &Path) -> Result<Vec<BoundFault>, ExperimentError> {
    let bounds: Bounds = read_document(path)?;
    let mut faults = Vec::new();
    for run in &bounds.runs {
        let file = path.parent().unwrap_or(Path::new("")).join(&run.scenario);
        let mut plan = Plan::read(&file)?;
        plan.scenario.seconds = run.seconds;
        let figures = run_once(&plan, &run.policy, run.seed)?;
        for bound in &run.bounds {
            let value = bound.figure.of(&figures);
            let too_small = bound.min.is_some_and(|min| value < min);
            let too_large = bound.max.is_some_and(|max| value > max);
            if too_small || too_large || value.is_nan() {
                faults.push(BoundFault {
                    run: format!("{} {}", plan.scenario.name, run.policy),
                    bound: bound.clone(),
                    value,
                });
            }
        }
    }
    Ok(faults)
}
