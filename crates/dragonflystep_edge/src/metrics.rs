//! Counters and latency histograms of a node, served as text.

use std::{cell::RefCell, collections::BTreeMap, fmt::Write, time::Duration};

/// Upper bounds of the latency buckets, in milliseconds; they cover objectives from 150 ms to 1.2 s.
const BUCKETS_MS: [u64; 12] = [
    5, 10, 25, 50, 100, 200, 400, 600, 1_000, 2_500, 5_000, 10_000,
];

/// Counters and histograms by name and label.
#[derive(Debug, Default)]
pub struct Metrics {
    counters: RefCell<BTreeMap<(&'static str, String), u64>>,
    histograms: RefCell<BTreeMap<(&'static str, String), Histogram>>,
}

#[derive(Debug, Default)]
struct Histogram {
    /// Durations up to each upper bound, cumulative.
    buckets: [u64; BUCKETS_MS.len()],
    count: u64,
    sum_ms: f64,
}

impl Metrics {
    /// Adds one to a counter.
    pub fn count(&self, name: &'static str, label: &str) {
        self.count_by(name, label, 1);
    }

    /// Adds an amount to a counter.
    pub fn count_by(&self, name: &'static str, label: &str, amount: u64) {
        let mut counters = self.counters.borrow_mut();
        *counters.entry((name, label.to_owned())).or_default() += amount;
    }

    /// Adds a duration to a histogram.
    pub fn observe(&self, name: &'static str, label: &str, duration: Duration) {
        let mut histograms = self.histograms.borrow_mut();
        let histogram = histograms.entry((name, label.to_owned())).or_default();
        let ms = duration.as_secs_f64() * 1e3;
        histogram.count += 1;
        histogram.sum_ms += ms;
        for (bucket, bound_ms) in histogram.buckets.iter_mut().zip(BUCKETS_MS) {
            if ms <= bound_ms as f64 {
                *bucket += 1;
            }
        }
    }

    /// Formats `gauges`, counters and histograms as text, one value per line: name, label in braces, value. The
    /// buckets of a histogram are cumulative.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_edge::Metrics;
    ///
    /// let metrics = Metrics::default();
    /// metrics.count("requests_total", "served");
    /// assert_eq!(metrics.to_text(&[]), "requests_total{kind=\"served\"} 1\n");
    /// ```
    pub fn to_text(&self, gauges: &[(&str, f64)]) -> String {
        let mut text = String::new();
        for (name, value) in gauges {
            let _ = writeln!(text, "{name} {value}");
        }
        for ((name, label), value) in &*self.counters.borrow() {
            let _ = writeln!(text, "{name}{{kind=\"{label}\"}} {value}");
        }
        for ((name, label), histogram) in &*self.histograms.borrow() {
            for (count, bound_ms) in histogram.buckets.iter().zip(BUCKETS_MS) {
                let _ = writeln!(
                    text,
                    "{name}_bucket{{kind=\"{label}\",le=\"{bound_ms}\"}} {count}"
                );
            }
            let _ = writeln!(text, "{name}_count{{kind=\"{label}\"}} {}", histogram.count);
            let _ = writeln!(
                text,
                "{name}_sum{{kind=\"{label}\"}} {:.1}",
                histogram.sum_ms
            );
        }
        text
    }
}
