//! Upstreams of a group: changes in the catalogue, which upstreams accept work, crashes and cache reports.

use {
    super::{
        choice::held_tokens, group::Group, quarantine::Crash, shared::Shared, slots::SlotState,
        upstream::UpstreamModel,
    },
    crate::{
        catalogue::{ServiceKind, Upstream, UpstreamState},
        context::{Context, View},
        effect::Effect,
        ids::{BlockHash, Fingerprint, UpstreamId},
        message::{Ask, AskRefusal},
        request::RefusalCode,
    },
    std::time::Duration,
};

/// Whether an upstream accepts new work: it is active in the catalogue and has not announced that it leaves.
pub(super) fn accepts_work(view: &View, upstream: &Upstream) -> bool {
    let Some(entry) = view.catalogue.upstream(&upstream.id) else {
        return false;
    };
    entry.state == UpstreamState::Active && !view.leaving_upstreams.contains(&upstream.id)
}

/// Whether an ask fits into the limits of an empty upstream.
fn fits(entry: &Upstream, ask: &Ask) -> bool {
    let limit = entry.limits.held_tokens;
    entry.limits.running_requests > 0 && limit.is_none_or(|limit| held_tokens(ask) <= limit)
}

/// Kind of a service; `Plain` if the catalogue does not contain it.
pub(super) fn service_kind(view: &View, service: &str) -> ServiceKind {
    view.catalogue
        .service(service)
        .map_or(ServiceKind::Plain, |each| each.kind)
}

impl Group {
    /// Applies added, changed and removed upstreams of the catalogue.
    pub fn catalogue_applied(&mut self, context: &mut Context<'_>, shared: &Shared) {
        self.least_urgent_tier = shared.directory.least_urgent_tier();
        let entries = shared.directory.upstreams(&self.id);
        if let Some(first) = entries.first() {
            self.service = first.service.clone();
            self.kind = service_kind(context.view, &self.service);
        }
        let gone: Vec<UpstreamId> = self
            .upstreams
            .keys()
            .filter(|id| entries.iter().all(|entry| entry.id != **id))
            .cloned()
            .collect();
        for upstream in gone {
            self.upstreams.remove(&upstream);
            context.effect(Effect::UnwatchUpstream { upstream });
        }
        for entry in entries {
            if let Some(model) = self.upstreams.get_mut(&entry.id) {
                let moved = model.entry.address != entry.address;
                model.set_entry(entry.clone());
                if moved {
                    model.cache.clear();
                    let upstream = entry.id.clone();
                    context.effect(Effect::UnwatchUpstream { upstream });
                    self.watch(context, entry);
                }
                continue;
            }
            let untracked = self.takeover.untracked_on_new_upstream();
            let class = shared.class_rates(&entry.class);
            let model = UpstreamModel::new(entry.clone(), &class, untracked);
            self.upstreams.insert(entry.id.clone(), model);
            self.watch(context, entry);
        }
    }

    fn watch(&self, context: &mut Context<'_>, entry: &Upstream) {
        context.effect(Effect::WatchUpstream {
            upstream: entry.id.clone(),
            address: entry.address.clone(),
            kind: self.kind,
        });
    }

    /// Whether any upstream of the group accepts work and is large enough for the ask.
    pub(super) fn can_fit(&self, view: &View, ask: &Ask) -> bool {
        self.upstreams
            .values()
            .any(|model| accepts_work(view, &model.entry) && fits(&model.entry, ask))
    }

    /// Refusal of an ask that fits no upstream of this group: names another group that could take it, if there is one.
    pub(super) fn refusal_without_fit(
        &self,
        view: &View,
        shared: &Shared,
        ask: &Ask,
    ) -> AskRefusal {
        let groups = shared.directory.groups(&self.service);
        let other = groups.iter().find(|group| {
            let upstreams = shared.directory.upstreams(group);
            **group != self.id
                && upstreams
                    .iter()
                    .any(|entry| accepts_work(view, entry) && fits(entry, ask))
        });
        match other {
            Some(group) => AskRefusal::Elsewhere {
                group: group.clone(),
            },
            None => AskRefusal::Final {
                code: RefusalCode::NoUpstream,
            },
        }
    }

    /// Combines an entry node's report of a crash, in which it saw `seen` of its own requests on the upstream, with
    /// what the group knows of the upstream and of the request with this fingerprint.
    pub(super) fn describe_crash(
        &self,
        upstream: &UpstreamId,
        fingerprint: Fingerprint,
        seen: u32,
        now: Duration,
    ) -> Crash {
        let on_upstream = || {
            let slots = self.slots.iter().map(|(_, slot)| slot);
            slots.filter(|slot| slot.upstream == *upstream)
        };
        let model = self.upstreams.get(upstream);
        let failed = model.and_then(|model| model.failed_grant(fingerprint, now));
        let last_grant = on_upstream()
            .filter(|slot| slot.fingerprint == Some(fingerprint))
            .map(|slot| (slot.granted_at, slot.exclusive))
            .chain(failed)
            .max();
        let exclusive = seen <= 1 && last_grant.is_some_and(|(_, exclusive)| exclusive);
        // A stream that broke off stays as a released slot until the upstream has certainly ended it.
        let attended =
            on_upstream().filter(|slot| !matches!(slot.state, SlotState::Released { .. }));
        let failures = model.map_or(0, |model| model.recent_failure_count(now));
        let known = u32::try_from(attended.count()).unwrap_or(u32::MAX);
        Crash {
            upstream: upstream.clone(),
            request_count: if exclusive {
                1
            } else {
                seen.max(known.saturating_add(failures))
            },
            granted_at: last_grant.map(|(granted_at, _)| granted_at),
            exclusive,
        }
    }

    /// Clears the cache model of an upstream that crashed.
    pub fn upstream_crashed(&mut self, upstream: &str) {
        if let Some(model) = self.upstreams.get_mut(upstream) {
            model.cache.clear();
        }
    }

    /// Handles an upstream's report of stored and evicted cache blocks.
    pub fn cache_reported(
        &mut self,
        upstream: &UpstreamId,
        sequence: u64,
        stored: &[BlockHash],
        evicted: &[BlockHash],
    ) {
        if let Some(model) = self.upstreams.get_mut(upstream) {
            model.cache.apply_report(sequence, stored, evicted);
        }
    }
}
