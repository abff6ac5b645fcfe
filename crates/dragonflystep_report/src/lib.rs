//! Service-level burn report and metrics from the nodes' own counts, and what changed in the catalogue.
//!
//! Each node keeps [`Counts`] in memory and hands them out as a [`NodeReport`]. A [`BurnReport`] joins
//! the reports of all nodes; it says which nodes are missing, so that a gap is never read as silence.
//! It is shown as text, JSON or one self-contained page.

pub mod burn;
pub mod catalogue_diff;
pub mod counts;
pub mod metrics;
pub mod page;
pub mod text;

pub use self::{
    burn::{BurnReport, ErrorBudget, Indicator, SeriesBurn, WindowBurn},
    catalogue_diff::{CatalogueDiff, DiffError},
    counts::{Counts, MinuteCounts, NodeReport, SeriesReport, TierObjective},
    metrics::Metrics,
};
