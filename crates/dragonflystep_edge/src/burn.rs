//! The burn report: how fast each route spends its error budget, computed from the metrics pages of all nodes.

use {
    serde::Serialize,
    std::{collections::BTreeMap, fmt::Write},
};

/// Counter of requests that were answered whole and in time.
pub(crate) const IN_TIME: &str = "in_time_total";
/// Counter of requests that were answered whole, but late.
pub(crate) const LATE: &str = "late_total";
/// Counter of requests that were refused and did not run.
pub(crate) const REFUSED: &str = "refused_total";
/// Counter of requests that failed, whose stream was truncated, or that may have run without an answer.
pub(crate) const FAILED: &str = "failed_total";
/// Counter of requests whose callers disconnected during a stream; they count neither for nor against the objective.
pub(crate) const CALLER_LEFT: &str = "caller_left_total";

/// Numbers of requests of a route by how they ended. A request that a caller repeats is counted each time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RouteBurn {
    /// Answered whole and in time.
    pub in_time: u64,
    /// Answered whole, but late.
    pub late: u64,
    /// Refused; they did not run.
    pub refused: u64,
    /// Failed, truncated, or ended without an answer though they may have run.
    pub failed: u64,
    /// Callers that disconnected during a stream; not part of `share_in_time`.
    pub caller_left: u64,
    /// Share of requests in time among those in time, late, refused and failed; 1 without any.
    pub share_in_time: f64,
    /// Burn rate: the share that missed the objective, divided by the share that may miss it. 1 spends exactly the
    /// error budget.
    pub burn: f64,
}

/// The burn report over the metrics pages of several nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct EdgeBurnReport {
    /// Share of requests that has to be in time.
    pub objective_share: f64,
    /// The request counts of each route, by its name.
    pub routes: BTreeMap<String, RouteBurn>,
    /// Nodes whose metrics page could not be read; their requests are not counted.
    pub missing_nodes: Vec<String>,
}

impl EdgeBurnReport {
    /// Computes the report from metrics pages, for the objective that `objective_share` of the requests are in time.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_edge::EdgeBurnReport;
    ///
    /// let page = "in_time_total{kind=\"quotes\"} 97\nlate_total{kind=\"quotes\"} 3\n";
    /// let report = EdgeBurnReport::from_pages(0.99, &[page.to_owned()], Vec::new());
    /// assert_eq!(report.routes["quotes"].share_in_time, 0.97);
    /// assert!((report.routes["quotes"].burn - 3.0).abs() < 1e-9);
    /// ```
    pub fn from_pages(objective_share: f64, pages: &[String], missing_nodes: Vec<String>) -> Self {
        let mut routes: BTreeMap<String, RouteBurn> = BTreeMap::new();
        for (name, route, value) in pages
            .iter()
            .flat_map(|page| page.lines().filter_map(parse_counter))
        {
            let burn = routes.entry(route.to_owned()).or_default();
            let count = match name {
                IN_TIME => &mut burn.in_time,
                LATE => &mut burn.late,
                REFUSED => &mut burn.refused,
                FAILED => &mut burn.failed,
                _ => &mut burn.caller_left,
            };
            *count += value;
        }
        for burn in routes.values_mut() {
            let counted = burn.in_time + burn.late + burn.refused + burn.failed;
            if counted == 0 {
                burn.share_in_time = 1.0;
                continue;
            }
            burn.share_in_time = burn.in_time as f64 / counted as f64;
            burn.burn = (1.0 - burn.share_in_time) / (1.0 - objective_share);
        }
        Self {
            objective_share,
            routes,
            missing_nodes,
        }
    }

    /// Formats the report as a table.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "objective: {:.4} in time\n{:<24} {:>9} {:>8} {:>8} {:>8} {:>8} {:>9} {:>8}\n",
            self.objective_share,
            "route",
            "in time",
            "late",
            "refused",
            "failed",
            "left",
            "share",
            "burn"
        );
        for (route, burn) in &self.routes {
            let _ = writeln!(
                text,
                "{route:<24} {:>9} {:>8} {:>8} {:>8} {:>8} {:>9.4} {:>8.2}",
                burn.in_time,
                burn.late,
                burn.refused,
                burn.failed,
                burn.caller_left,
                burn.share_in_time,
                burn.burn
            );
        }
        for node in &self.missing_nodes {
            let _ = writeln!(text, "missing: {node}");
        }
        text
    }
}

/// Parses a line of a metrics page that holds a counter of this report into name, route and value; none for other
/// lines.
fn parse_counter(line: &str) -> Option<(&str, &str, u64)> {
    let (name, rest) = line.split_once("{kind=\"")?;
    let (route, value) = rest.split_once("\"} ")?;
    let is_of_report = [IN_TIME, LATE, REFUSED, FAILED, CALLER_LEFT].contains(&name);
    is_of_report.then_some((name, route, value.parse().ok()?))
}
