//! Reports held grants to brokers, both periodically and to a new broker.

use {
    super::{Entry, call::Call, phase::Phase},
    crate::{
        context::Context,
        ids::{GroupId, NodeId, RequestId},
        message::{HeldGrant, Holding, Message, Reregister},
    },
    std::time::Duration,
};

impl Entry {
    /// Sends each group's broker one report of all grants that this node holds.
    pub(super) fn report_holdings(&mut self, context: &mut Context<'_>) {
        for group in self.groups.reports_due() {
            if let Some(broker) = self.groups.broker(context.view, &group) {
                self.report_holding(context, &group, &broker);
            }
        }
    }

    fn report_holding(&mut self, context: &mut Context<'_>, group: &GroupId, broker: &NodeId) {
        let Some(record) = self.groups.get(group) else {
            return;
        };
        let grants = record
            .requests
            .iter()
            .filter_map(|request| self.calls.get(request))
            .filter_map(|call| held_grant(context.now, call))
            .collect();
        let holding = Holding {
            group: group.clone(),
            epoch: record.epoch,
            grants,
            seen_grant: record.seen_grant,
        };
        self.groups.reported(group);
        context.send(broker, Message::Holding(holding));
    }

    /// Reports running requests to a new broker, drops unused grants of older epochs, and asks again.
    pub(super) fn report_to_new_broker(
        &mut self,
        context: &mut Context<'_>,
        from: &NodeId,
        reregister: &Reregister,
    ) {
        let group = &reregister.group;
        if !self.groups.record_epoch(group, reregister.epoch, from) {
            return;
        }
        let stale = self.drop_stale_grants(group, reregister);
        self.report_holding(context, group, from);
        for request in stale {
            if let Some(call) = self.calls.remove(&request) {
                self.advance(context, request, call);
            }
        }
        self.ask_again_if(context, |ask| {
            ask.name.group == *group && ask.broker != *from
        });
    }

    /// Drops unused grants of older epochs. They are not returned, since their broker has been replaced.
    fn drop_stale_grants(&mut self, group: &GroupId, reregister: &Reregister) -> Vec<RequestId> {
        let Some(record) = self.groups.get(group) else {
            return Vec::new();
        };
        let stale: Vec<RequestId> = record
            .requests
            .iter()
            .filter(|request| {
                self.calls.get(request).is_some_and(|call| {
                    matches!(&call.phase, Phase::Granted(unsent)
                        if unsent.0.name.epoch < reregister.epoch)
                })
            })
            .copied()
            .collect();
        for request in &stale {
            self.groups.release(group, *request);
            if let Some(call) = self.calls.get_mut(request) {
                call.phase = Phase::Waiting;
            }
        }
        stale
    }
}

fn held_grant(now: Duration, call: &Call) -> Option<HeldGrant> {
    let grant = call.grant()?;
    let stream = call.stream();
    Some(HeldGrant {
        epoch: grant.name.epoch,
        grant: grant.name.grant,
        upstream: grant.upstream.clone(),
        tier: call.facts.tier,
        cancellable: call.facts.idempotent,
        account: call.facts.account.clone(),
        prompt_tokens: call.facts.prompt_tokens,
        output_tokens: call.facts.output_tokens,
        tokens: stream.map_or(0, |stream| stream.tokens),
        silent_for: stream.map_or(Duration::ZERO, |stream| {
            now.saturating_sub(stream.progress_at)
        }),
    })
}
