//! The burn report as one self-contained page with plots.

use {
    crate::burn::{BurnReport, Indicator, LONGEST_WINDOW_MINUTES, SeriesBurn, WindowBurn},
    std::fmt::{self, Write},
};

const PLOT_WIDTH: f64 = 720.0;
const PLOT_HEIGHT: f64 = 120.0;
const STYLE: &str = "body{font:15px sans-serif;max-width:60em;margin:2em auto;color:#222}\
table{border-collapse:collapse;margin:.6em 0}td,th{padding:.25em .8em;border-bottom:1px solid #ddd;\
text-align:right}td:first-child,th:first-child{text-align:left}.bad{color:#b00020;font-weight:bold}\
svg{background:#fafafa;border:1px solid #ddd}.note{background:#fff4d6;padding:.4em .8em}";

/// The report as one HTML page; it loads nothing from elsewhere.
///
/// # Errors
/// None in practice: writing to a string does not fail.
///
/// # Examples
/// ```
/// use dragonflystep_report::{page, BurnReport};
/// let html = page::render(&BurnReport::join(&[], &[], 60))?;
/// assert!(html.starts_with("<!doctype html>"));
/// # Ok::<(), std::fmt::Error>(())
/// ```
pub fn render(report: &BurnReport) -> Result<String, fmt::Error> {
    let mut out = String::new();
    write!(
        out,
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
    )?;
    write!(
        out,
        "<title>Service-level burn</title><style>{STYLE}</style></head><body>"
    )?;
    write!(out, "<h1>Service-level burn</h1>")?;
    render_notes(&mut out, report)?;
    for series in &report.series {
        render_series(&mut out, series)?;
    }
    write!(out, "</body></html>")?;
    Ok(out)
}

fn render_notes(out: &mut String, report: &BurnReport) -> fmt::Result {
    write!(out, "<p>Nodes: {}</p>", escaped(&report.nodes.join(", ")))?;
    if !report.missing_nodes.is_empty() {
        let nodes = escaped(&report.missing_nodes.join(", "));
        write!(
            out,
            "<p class=\"note\">Missing, not counted here: {nodes}</p>"
        )?;
    }
    for (node, minutes) in &report.restarted_nodes {
        let node = escaped(node);
        write!(
            out,
            "<p class=\"note\">{node} counts only since its start {minutes} min ago.</p>"
        )?;
    }
    Ok(())
}

fn render_series(out: &mut String, series: &SeriesBurn) -> fmt::Result {
    write!(
        out,
        "<h2>{} / {}</h2>",
        escaped(&series.service),
        escaped(&series.tier)
    )?;
    render_objective(out, series)?;
    write!(
        out,
        "<table><tr><th>indicator</th><th>window</th><th>good</th><th>all</th><th>burn rate</th></tr>"
    )?;
    for window in &series.windows {
        render_window(out, window)?;
    }
    write!(out, "</table>")?;
    render_budgets(out, series)?;
    let [first_p50, first_p95, first_p99] = series.first_token_ms;
    let [gap_p50, gap_p95, gap_p99] = series.token_gap_ms;
    write!(
        out,
        "<p>First token: p50 {first_p50} ms, p95 {first_p95} ms, p99 {first_p99} ms. "
    )?;
    write!(
        out,
        "Token gap: p50 {gap_p50} ms, p95 {gap_p95} ms, p99 {gap_p99} ms.</p>"
    )?;
    render_refusals(out, series)?;
    render_plot(out, series)
}

fn render_objective(out: &mut String, series: &SeriesBurn) -> fmt::Result {
    let Some(objective) = &series.objective else {
        return write!(out, "<p>No objective in the catalogue.</p>");
    };
    write!(
        out,
        "<p>Objective: {:.2}% good; first token {} ms, token gap {} ms.</p>",
        objective.good_share * 100.0,
        objective.first_token_ms,
        objective.token_gap_ms
    )
}

fn render_budgets(out: &mut String, series: &SeriesBurn) -> fmt::Result {
    if series.budgets.is_empty() {
        return Ok(());
    }
    write!(
        out,
        "<table><tr><th>error budget over {LONGEST_WINDOW_MINUTES} min</th><th>allowed</th>\
         <th>spent</th><th>left</th></tr>"
    )?;
    for budget in &series.budgets {
        let left = budget
            .left_share
            .map_or_else(|| "-".to_owned(), |left| format!("{:.0}%", left * 100.0));
        write!(
            out,
            "<tr><td>{}</td><td>{:.1}</td><td>{}</td><td>{left}</td></tr>",
            budget.indicator.name(),
            budget.allowed,
            budget.spent
        )?;
    }
    write!(out, "</table>")
}

fn render_window(out: &mut String, window: &WindowBurn) -> fmt::Result {
    let class = if window.burn_rate.is_some_and(|rate| rate > 1.0) {
        " class=\"bad\""
    } else {
        ""
    };
    let rate = window
        .burn_rate
        .map_or_else(|| "-".to_owned(), |rate| format!("{rate:.2}"));
    write!(
        out,
        "<tr><td>{}</td><td>{} min</td><td>{}</td><td>{}</td><td{class}>{rate}</td></tr>",
        window.indicator.name(),
        window.window_minutes,
        window.good,
        window.total
    )
}

fn render_refusals(out: &mut String, series: &SeriesBurn) -> fmt::Result {
    if series.refusals.is_empty() {
        return Ok(());
    }
    write!(out, "<table><tr><th>refused</th><th>count</th></tr>")?;
    for (code, count) in &series.refusals {
        write!(out, "<tr><td>{}</td><td>{count}</td></tr>", escaped(code))?;
    }
    write!(out, "</table>")
}

/// Plots the good share of each indicator by minute.
fn render_plot(out: &mut String, series: &SeriesBurn) -> fmt::Result {
    let (Some(first), Some(last)) = (series.minutes.first(), series.minutes.last()) else {
        return Ok(());
    };
    let span = (last.minute - first.minute).max(1) as f64;
    write!(
        out,
        "<svg width=\"{PLOT_WIDTH}\" height=\"{PLOT_HEIGHT}\" role=\"img\" "
    )?;
    write!(out, "aria-label=\"Good share by minute\">")?;
    if let Some(objective) = &series.objective {
        let y = plot_height(objective.good_share);
        write!(
            out,
            "<line x1=\"0\" x2=\"{PLOT_WIDTH}\" y1=\"{y:.1}\" y2=\"{y:.1}\" stroke=\"#b00020\" \
             stroke-dasharray=\"6 4\"><title>objective</title></line>"
        )?;
    }
    for (indicator, colour) in Indicator::ALL
        .into_iter()
        .zip(["#0b6e4f", "#1f5fbf", "#b35c00"])
    {
        write!(
            out,
            "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"{colour}\" points=\""
        )?;
        for counts in &series.minutes {
            let (good, total) = indicator.good_and_total(counts);
            let share = if total == 0 {
                1.0
            } else {
                good as f64 / total as f64
            };
            let x = (counts.minute - first.minute) as f64 / span * PLOT_WIDTH;
            let y = plot_height(share);
            write!(out, "{x:.1},{y:.1} ")?;
        }
        write!(out, "\"><title>{}</title></polyline>", indicator.name())?;
    }
    write!(
        out,
        "</svg><p>Good share by minute, 100% at the top: green answered, blue first token, "
    )?;
    write!(out, "orange token gap, dashed the objective.</p>")
}

fn plot_height(share: f64) -> f64 {
    (1.0 - share) * (PLOT_HEIGHT - 4.0) + 2.0
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
