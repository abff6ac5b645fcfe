//! Counts, metrics and log lines that the reducer's effects ask for.

use {
    crate::clock::unix_time_s,
    dragonflystep_core::{
        View,
        effect::{LogLevel, LogLine, Record},
    },
    dragonflystep_mesh::MeshCounters,
    dragonflystep_report::{Counts, Metrics, metrics},
    std::sync::{Arc, Mutex, PoisonError},
};

/// Where records and log lines go.
#[derive(Debug)]
pub struct Observer {
    counts: Arc<Mutex<Counts>>,
    metrics: Metrics,
}

impl Observer {
    /// An observer that counts into `counts`.
    pub fn new(counts: Arc<Mutex<Counts>>, metrics: Metrics) -> Self {
        Self { counts, metrics }
    }

    /// Counts a record.
    pub fn record(&self, view: &View, record: &Record) {
        self.metrics.record(record);
        // Counts are plain numbers, so that a panic elsewhere leaves them usable.
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.record(&view.catalogue, unix_time_s(), record);
    }

    /// Sends the gauges.
    pub fn gauges(&self, view: &View, open_requests: usize, mesh: &MeshCounters) {
        self.metrics
            .gauge(metrics::LEASES_HELD, view.held.len() as u64);
        self.metrics
            .gauge(metrics::CATALOGUE_VERSION, view.catalogue.version);
        self.metrics
            .gauge(metrics::MEMBERS, view.members.len() as u64);
        self.metrics
            .gauge(metrics::OPEN_REQUESTS, open_requests as u64);
        self.metrics
            .gauge(metrics::MESH_BYTES_SENT, mesh.sent_bytes);
        self.metrics
            .gauge(metrics::MESH_BYTES_RECEIVED, mesh.received_bytes);
        self.metrics
            .gauge(metrics::MESH_MESSAGES_DROPPED, mesh.messages_dropped);
    }
}

/// Writes a log line of the reducer.
pub fn write_log(line: &LogLine) {
    let level = match line.level {
        LogLevel::Debug => log::Level::Debug,
        LogLevel::Info => log::Level::Info,
        LogLevel::Warn => log::Level::Warn,
        LogLevel::Error => log::Level::Error,
    };
    let fields: Vec<_> = line
        .fields
        .iter()
        .map(|(name, value)| (*name, value.as_str()))
        .collect();
    log::logger().log(
        &log::Record::builder()
            .level(level)
            .target("dragonflystep")
            .args(format_args!("{}", line.text))
            .key_values(&fields)
            .build(),
    );
}
