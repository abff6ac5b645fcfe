//! The burn report as text for a terminal.

use {
    crate::burn::{
        BurnReport, ErrorBudget, Indicator, LONGEST_WINDOW_MINUTES, SeriesBurn, WINDOWS_MINUTES,
        WindowBurn,
    },
    std::fmt::{self, Write},
};

/// The report as text.
///
/// # Errors
/// None in practice: writing to a string does not fail.
///
/// # Examples
/// ```
/// use dragonflystep_report::{text, BurnReport};
/// let report = BurnReport::join(&[], &["entry-1".to_owned()], 60);
/// assert!(text::render(&report)?.contains("missing: entry-1"));
/// # Ok::<(), std::fmt::Error>(())
/// ```
pub fn render(report: &BurnReport) -> Result<String, fmt::Error> {
    let mut out = String::new();
    writeln!(out, "nodes: {}", listed(&report.nodes))?;
    if !report.missing_nodes.is_empty() {
        writeln!(
            out,
            "missing: {} (their counts are not in this report)",
            listed(&report.missing_nodes)
        )?;
    }
    for (node, minutes) in &report.restarted_nodes {
        writeln!(
            out,
            "partial: {node} counts only since its start {minutes} min ago"
        )?;
    }
    for series in &report.series {
        writeln!(out)?;
        render_series(&mut out, series)?;
    }
    Ok(out)
}

fn listed(names: &[String]) -> String {
    if names.is_empty() {
        "none".to_owned()
    } else {
        names.join(", ")
    }
}

fn render_series(out: &mut String, series: &SeriesBurn) -> fmt::Result {
    write!(out, "{} / {}", series.service, series.tier)?;
    match &series.objective {
        Some(objective) => writeln!(
            out,
            ": {:.2}% good; first token {} ms, token gap {} ms",
            objective.good_share * 100.0,
            objective.first_token_ms,
            objective.token_gap_ms
        )?,
        None => writeln!(out, ": no objective in the catalogue")?,
    }
    render_windows(out, series)?;
    render_budgets(out, &series.budgets)?;
    render_percentiles(out, "first token", series.first_token_ms)?;
    render_percentiles(out, "token gap", series.token_gap_ms)?;
    if let Some(share) = series.wasted_prefill_share {
        writeln!(out, "  wasted prefill       {:.2}%", share * 100.0)?;
    }
    for (code, count) in &series.refusals {
        writeln!(out, "  refused {code:<22} {count}")?;
    }
    Ok(())
}

fn render_windows(out: &mut String, series: &SeriesBurn) -> fmt::Result {
    write!(out, "  {:<20}", "burn rate over")?;
    for window in WINDOWS_MINUTES {
        write!(out, " {:>24}", format!("{window} min"))?;
    }
    writeln!(out)?;
    for indicator in Indicator::ALL {
        write!(out, "  {:<20}", indicator.name())?;
        for window in series
            .windows
            .iter()
            .filter(|window| window.indicator == indicator)
        {
            write!(out, " {:>24}", window_cell(window))?;
        }
        writeln!(out)?;
    }
    Ok(())
}

fn render_budgets(out: &mut String, budgets: &[ErrorBudget]) -> fmt::Result {
    if budgets.is_empty() {
        return Ok(());
    }
    writeln!(out, "  error budget over {LONGEST_WINDOW_MINUTES} min")?;
    for budget in budgets {
        let name = budget.indicator.name();
        write!(
            out,
            "  {name:<20} {} spent of {:.1}",
            budget.spent, budget.allowed
        )?;
        match budget.left_share {
            Some(left) => writeln!(out, ", {:.0}% left", left * 100.0)?,
            None => writeln!(out)?,
        }
    }
    Ok(())
}

fn window_cell(window: &WindowBurn) -> String {
    match window.burn_rate {
        Some(rate) => format!("{rate:.2} ({}/{})", window.good, window.total),
        None => format!("- ({}/{})", window.good, window.total),
    }
}

fn render_percentiles(out: &mut String, name: &str, [p50, p95, p99]: [u64; 3]) -> fmt::Result {
    writeln!(out, "  {name:<20} p50 {p50} ms, p95 {p95} ms, p99 {p99} ms")
}
