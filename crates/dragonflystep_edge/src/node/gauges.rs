//! The gauges on a node's metrics page.

use super::Node;

impl Node {
    /// Current values of the gauges on the metrics page.
    pub(crate) fn gauges(&self) -> Vec<(&'static str, f64)> {
        let now = self.owner.now();
        let (refused_content, crashes) = self.owner.crash_counts();
        vec![
            (
                "platform_silent_s",
                now.saturating_sub(self.platform_answered_at.get())
                    .as_secs_f64(),
            ),
            ("catalogue_version", self.views.catalogue_version() as f64),
            (
                "catalogue_behind_s",
                self.list_fetches
                    .catalogue
                    .time_without_progress(now)
                    .as_secs_f64(),
            ),
            ("registry_version", self.views.registry().version as f64),
            ("members_known", self.members.listed_count() as f64),
            (
                "members_visible",
                self.members.mutually_visible_count(now) as f64,
            ),
            ("refused_content", refused_content as f64),
            ("upstream_crashes_known", crashes as f64),
            ("accounts_held_back", self.owner.held_back_accounts() as f64),
            ("streams_known", self.owner.stream_count() as f64),
            ("runs_of_this_entry", self.entry_runs.count() as f64),
            (
                "evacuated_data_centres",
                self.evacuated_data_centres().len() as f64,
            ),
            (
                "runs_in_evacuated_data_centres",
                self.runs_in_evacuated_data_centres() as f64,
            ),
            ("held_bytes", self.held_bytes.held_bytes() as f64),
            ("requests_waiting_here", self.owner.waiting_count() as f64),
            ("services_known", self.owner.service_count() as f64),
            (
                "cut_off_from_upstreams",
                f64::from(u8::from(self.upstream_paths.borrow().is_cut_off())),
            ),
            (
                "upstreams_blocked",
                self.upstream_paths.borrow().blocked_count() as f64,
            ),
            ("tunnels_open", self.open_tunnels.borrow().count() as f64),
        ]
    }
}
