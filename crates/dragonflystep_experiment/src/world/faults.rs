//! What fails in a run.

use {
    super::{
        World,
        heap::{Happening, NodeInput},
    },
    crate::{record::StreamEnd, scenario::FaultKind},
    dragonflystep_core::Event,
    std::time::Duration,
};

impl World {
    pub(super) fn fault(&mut self, fault: &FaultKind) {
        match fault {
            FaultKind::Slowdown {
                class,
                count,
                factor,
            } => self.slow_down(class, *count, *factor),
            FaultKind::KillEvery { service, one_in } => {
                let of_service = |at: &usize| self.fleet[*at].entry.service.as_ref() == service;
                let members: Vec<usize> = (0..self.fleet.len()).filter(of_service).collect();
                for upstream in members.into_iter().step_by(*one_in as usize) {
                    self.kill_upstream(upstream);
                }
            }
            FaultKind::LoseDataCentre { data_centre } => self.lose_data_centre(data_centre),
            FaultKind::KillNode { node, back_after_s } => {
                self.kill_node(*node);
                if let Some(after_s) = back_after_s {
                    let at = self.now + Duration::from_secs_f64(*after_s);
                    self.heap.push(at, Happening::NodeStarts { node: *node });
                }
            }
            FaultKind::PauseNode { node, lasts_s } => self.pause_node(*node, *lasts_s),
            FaultKind::CutNodes {
                one,
                other,
                lasts_s,
            } => {
                let until = self.now + Duration::from_secs_f64(*lasts_s);
                self.cuts.push((*one, *other, until));
            }
            FaultKind::TableOutage { lasts_s } => {
                let until = self.now + Duration::from_secs_f64(*lasts_s);
                self.table_out_until = self.table_out_until.max(until);
            }
            FaultKind::LostAnswers { lasts_s } => {
                let until = self.now + Duration::from_secs_f64(*lasts_s);
                self.answers_lost_until = self.answers_lost_until.max(until);
            }
            FaultKind::CrashUpstream { upstream } => self.crash_upstream(*upstream),
            FaultKind::BreakStreams { upstream, silent } => {
                for stream in self.running_streams(*upstream) {
                    self.break_connection(*upstream, stream, *silent);
                }
            }
            FaultKind::StopNode { node } => {
                let incarnation = self.nodes[*node].incarnation;
                let input = NodeInput::Event(Event::StopRequested);
                self.push_node(self.now, *node, incarnation, input);
            }
        }
    }

    fn slow_down(&mut self, class: &str, count: u32, factor: f64) {
        let of_class = |at: &usize| self.fleet[*at].entry.class.as_ref() == class;
        let members: Vec<usize> = (0..self.fleet.len()).filter(of_class).collect();
        for upstream in members.into_iter().take(count as usize) {
            self.run_engine(upstream);
            self.fleet[upstream].model.set_slowdown(self.now, factor);
            self.schedule_engine(upstream);
        }
    }

    fn lose_data_centre(&mut self, data_centre: &str) {
        let centres = &self.plan.site.data_centres;
        let Some(centre) = centres.iter().position(|it| it.id == data_centre) else {
            return;
        };
        for upstream in 0..self.fleet.len() {
            if self.fleet[upstream].data_centre == centre {
                self.kill_upstream(upstream);
            }
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].data_centre == centre {
                self.kill_node(node);
            }
        }
    }

    fn kill_upstream(&mut self, upstream: usize) {
        if self.fleet[upstream].alive {
            self.crash_upstream(upstream);
            self.fleet[upstream].alive = false;
        }
    }

    fn crash_upstream(&mut self, upstream: usize) {
        let Some(member) = self.fleet.get(upstream) else {
            return;
        };
        if !member.alive {
            return;
        }
        self.run_engine(upstream);
        for stream in self.running_streams(upstream) {
            self.record.streams[stream].ended = Some((self.now, StreamEnd::Lost));
            self.break_connection(upstream, stream, false);
        }
        let member = &mut self.fleet[upstream];
        member.model.crash(self.now);
        member.running.clear();
        member.finished.clear();
        member.wake_at = None;
    }

    /// Streams of an upstream, in the order of their numbers.
    fn running_streams(&self, upstream: usize) -> Vec<usize> {
        let Some(member) = self.fleet.get(upstream) else {
            return Vec::new();
        };
        let mut streams: Vec<usize> = member.running.keys().map(|id| *id as usize).collect();
        // The order of a hash map must not reach the run.
        streams.sort_unstable();
        streams
    }

    fn kill_node(&mut self, node: usize) {
        if self.nodes.get(node).is_some_and(|it| it.is_up()) {
            self.turn_off(node);
        }
    }

    fn pause_node(&mut self, node: usize, lasts_s: f64) {
        if !self.nodes.get(node).is_some_and(|it| it.is_up()) {
            return;
        }
        for request in self.open_calls(node) {
            self.record.requests[request].entry_failed = true;
        }
        let until = self.now + Duration::from_secs_f64(lasts_s);
        let place = &mut self.nodes[node];
        let until = place.paused_until.map_or(until, |old| old.max(until));
        place.paused_until = Some(until);
        self.heap.push(until, Happening::Wake { node });
    }
}
