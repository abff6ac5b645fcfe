//! An edge node: accepts requests from callers, acquires a slot at an upstream for each of them from the node that
//! owns the services, and relays the answers.
//!
//! All nodes run the same program. [`run_node`] starts its parts: the [`Node`] with its state, the listeners for
//! callers, the directory and readiness checks, the connections to other nodes, and the platform behind the
//! [`Platform`] trait. Names that are specific to a platform are known only to its [`Dialect`].

mod answer;
mod answer_buffer;
mod attempts;
mod body_framing;
mod burn;
mod caller_stream;
mod catalogue_list;
mod connection_io;
mod continuation;
mod crash_reports;
mod dialect;
mod down_upstreams;
mod entry_runs;
mod evacuations;
mod event_order;
mod event_stream;
mod exchange;
mod framing_check;
mod held_bytes;
mod job;
mod job_end;
mod kept_streams;
mod left_upstreams;
mod limits;
mod list_fetch;
mod list_version;
mod local_reply;
mod logs;
mod members;
mod metered_stream;
mod metrics;
mod node;
mod not_run;
mod owner;
mod peer_service;
mod platform;
mod regions;
mod relay;
mod request;
mod rollouts;
mod server;
mod settings;
mod settings_file;
mod slots;
mod stop;
mod stream_try;
mod stream_versions;
mod suspicion;
mod tunnels;
mod upstream_answer;
mod upstream_connections;
mod upstream_dialer;
mod upstream_health;
mod upstream_notices;
mod upstream_path_checks;
mod upstream_paths;
mod versioned_list;
mod views;

pub use self::{
    answer::{AnswerBody, IncompleteAnswer, end_to_end_headers},
    burn::{EdgeBurnReport, RouteBurn},
    dialect::{
        AnswerFacts, CopyLocation, Dialect, DialectError, DirectoryQuery, RequestFacts, RunStop,
        Stated, StopRunCall, UpstreamFacts,
    },
    held_bytes::HeldChunk,
    limits::OWNER_FEED_WAIT,
    list_version::{ListReading, era_of, is_older_copy, is_same_order, knows_before, order_number},
    logs::{LogBuffer, LogError, start_log},
    metrics::Metrics,
    node::{Node, NodeError, run_node},
    platform::{Platform, PlatformFuture},
    rollouts::RolloutStatus,
    settings::{MemberRecord, NodeSettings},
    settings_file::{SettingsError, read_settings},
    slots::{RunStats, Slot, acquire_slot},
    stop::stop_signal,
};
