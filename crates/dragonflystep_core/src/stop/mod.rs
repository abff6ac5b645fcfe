//! Planned stop: drains the node without cutting off a request.
//!
//! A stopping node refuses new requests as not run, finishes those that it has accepted, hands over its
//! leases and settles its claims. Only then does it exit.

use {
    crate::{
        context::{Context, Signal},
        effect::{Effect, LogLevel},
        message::Message,
        timer::Timer,
    },
    std::time::Duration,
};

/// How often the node checks whether it can exit.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for the platform once no request is open. An expired lease and a claim that still says
/// `claimed` can be left behind safely; a request can't.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// How far the planned stop of this node has come.
#[derive(Debug, Default)]
pub struct Stop {
    stage: Stage,
}

/// Stage of the stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    /// No stop was requested.
    #[default]
    Serving,
    /// Requests are still open.
    Draining,
    /// No request is open, but leases or claims are.
    Settling {
        /// When the last request ended, as seen by the poll.
        since: Duration,
    },
    /// The node was told to exit.
    Exited,
}

impl Stop {
    /// Starts the stop and tells all members that this node is leaving.
    pub fn requested(&mut self, context: &mut Context<'_>) {
        if self.stage != Stage::Serving {
            return;
        }
        self.stage = Stage::Draining;
        context.view.stopping = true;
        context.signal(Signal::StopBegan);
        self.notify_members(context);
        context.start_timer(POLL_INTERVAL, Timer::StopRound);
        context.log(LogLevel::Info, "stop began", Vec::new());
    }

    /// Exits once no request is open and leases and claims are settled, or after the timeout.
    pub fn round_due(
        &mut self,
        context: &mut Context<'_>,
        open_requests: usize,
        unsettled_writes: usize,
    ) {
        let settled = context.view.held.is_empty() && unsettled_writes == 0;
        self.stage = match self.stage {
            Stage::Serving | Stage::Exited => return,
            _ if open_requests > 0 => Stage::Draining,
            Stage::Draining => Stage::Settling { since: context.now },
            settling @ Stage::Settling { .. } => settling,
        };
        if let Stage::Settling { since } = self.stage {
            let waited = context.now.saturating_sub(since);
            if settled || waited >= SETTLE_TIMEOUT {
                return self.exit(context, settled);
            }
        }
        context.start_timer(POLL_INTERVAL, Timer::StopRound);
    }

    /// Tells a node that joins during the stop that this node is leaving.
    pub fn signal(&mut self, context: &mut Context<'_>, signal: &Signal) {
        if let Signal::MemberJoined { node } = signal
            && context.view.stopping
        {
            let own_node = context.view.node.id.clone();
            context.send(node, Message::Leaving(own_node));
        }
    }

    fn exit(&mut self, context: &mut Context<'_>, settled: bool) {
        self.stage = Stage::Exited;
        if !settled {
            context.log(
                LogLevel::Warn,
                "stopped with leases or claims left to the platform",
                Vec::new(),
            );
        }
        context.effect(Effect::Exit);
    }

    fn notify_members(&self, context: &mut Context<'_>) {
        let own_node = context.view.node.id.clone();
        let members: Vec<_> = context.view.members.keys().cloned().collect();
        for member in members {
            context.send(&member, Message::Leaving(own_node.clone()));
        }
    }
}
