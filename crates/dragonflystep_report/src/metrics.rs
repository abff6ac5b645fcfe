//! Metrics of one node, sent in the statsd format.

use {
    crate::counts::code_text,
    cadence::{Counted, Gauged, NopMetricSink, StatsdClient, Timed, UdpMetricSink},
    dragonflystep_core::effect::Record,
    std::{
        io,
        net::{SocketAddr, UdpSocket},
    },
};

/// One metric that a node sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetricDescription {
    /// Name after the prefix.
    pub name: &'static str,
    /// Kind in the statsd format.
    pub kind: &'static str,
    /// Unit.
    pub unit: &'static str,
    /// What it counts.
    pub meaning: &'static str,
}

macro_rules! metrics {
    ($($constant:ident = $name:literal, $kind:literal, $unit:literal, $meaning:literal;)*) => {
        $(#[doc = $meaning] pub const $constant: &str = $name;)*
        /// All metrics that a node sends.
        pub const ALL: &[MetricDescription] = &[
            $(MetricDescription { name: $name, kind: $kind, unit: $unit, meaning: $meaning },)*
        ];
    };
}

metrics! {
    REQUESTS_ANSWERED = "requests.answered", "counter", "requests", "Requests that got their whole answer.";
    REQUESTS_REFUSED = "requests.refused", "counter", "requests", "Requests that were refused or broke off, by tag `code`.";
    FIRST_TOKEN = "first_token", "timer", "ms", "Time from receipt to the first token of whole answers.";
    TOKENS = "tokens", "counter", "tokens", "Tokens received in whole answers.";
    WASTED_PREFILL = "wasted_prefill", "counter", "tokens", "Prompt tokens computed and thrown away.";
    LEASES_HELD = "leases.held", "gauge", "groups", "Groups that this node grants for.";
    CATALOGUE_VERSION = "catalogue.version", "gauge", "version", "Catalogue version in force on this node.";
    MEMBERS = "members", "gauge", "nodes", "Other nodes that this node knows.";
    OPEN_REQUESTS = "requests.open", "gauge", "requests", "Requests without a final answer.";
    MESH_BYTES_SENT = "mesh.bytes_sent", "gauge", "bytes", "Bytes sent to other nodes since start.";
    MESH_BYTES_RECEIVED = "mesh.bytes_received", "gauge", "bytes", "Bytes received from other nodes since start.";
    MESH_MESSAGES_DROPPED = "mesh.messages_dropped", "gauge", "messages", "Messages to other nodes dropped since start.";
}

/// Sends the metrics of one node.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Metrics that go nowhere.
    pub fn discarded(prefix: &str) -> Self {
        Self {
            client: StatsdClient::from_sink(prefix, NopMetricSink),
        }
    }

    /// Metrics that go to a statsd receiver by UDP.
    ///
    /// # Errors
    /// When no local UDP socket can be had.
    pub fn to_address(prefix: &str, address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(("0.0.0.0", 0))?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        Ok(Self {
            client: StatsdClient::from_sink(prefix, sink),
        })
    }

    /// Counts a record of the reducer.
    pub fn record(&self, record: &Record) {
        let Record::RequestEnded {
            refusal,
            first_token_after,
            tokens,
            wasted_prefill_tokens,
            ..
        } = record
        else {
            return;
        };
        // A lost metric is no reason to fail a request.
        let _ = self
            .client
            .count(WASTED_PREFILL, u64::from(*wasted_prefill_tokens));
        match refusal {
            Some(refusal) => {
                let code = code_text(refusal.code);
                let _ = self
                    .client
                    .count_with_tags(REQUESTS_REFUSED, 1)
                    .with_tag("code", &code)
                    .try_send();
            }
            None => {
                let _ = self.client.count(REQUESTS_ANSWERED, 1);
                let _ = self.client.count(TOKENS, u64::from(*tokens));
                let _ = self
                    .client
                    .time(FIRST_TOKEN, first_token_after.unwrap_or_default());
            }
        }
    }

    /// Sets a gauge by its name in this module.
    pub fn gauge(&self, name: &'static str, value: u64) {
        let _ = self.client.gauge(name, value);
    }
}
