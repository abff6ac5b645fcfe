//! The upstreams of a run: engine models with their streams, and what they were seen to do.

use {
    crate::{record::UpstreamRecord, scenario::Plan},
    dragonflystep_core::{
        catalogue::{ServiceKind, Upstream, UpstreamLimits, UpstreamState},
        message::GrantName,
    },
    dragonflystep_fakes::engine_model::{CacheEvent, EngineModel},
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// Cache events that an upstream keeps for its readers.
const KEPT_CACHE_EVENTS: usize = 2_000;

/// One upstream.
#[derive(Debug)]
pub struct FleetMember {
    /// Its entry in the catalogue.
    pub entry: Arc<Upstream>,
    /// What kind of service it answers for.
    pub kind: ServiceKind,
    /// Index of its data centre.
    pub data_centre: usize,
    /// The engine.
    pub model: EngineModel,
    /// Whether it answers at all.
    pub alive: bool,
    /// Streams that it has: the running ones, by their number.
    pub running: HashMap<u64, u64>,
    /// Ended streams that can still be read, with the number of their tokens.
    pub finished: HashMap<u64, (u32, u32)>,
    /// Numbers of the streams by the names of their grants.
    pub by_grant: HashMap<(Arc<str>, u64, u64), u64>,
    /// When the next look at the model is due.
    pub wake_at: Option<Duration>,
    /// Cache events that readers can still get.
    pub cache_events: VecDeque<CacheEvent>,
}

impl FleetMember {
    /// Notes what the model's cache did.
    pub fn collect_cache_events(&mut self) {
        self.cache_events.extend(self.model.take_cache_events());
        while self.cache_events.len() > KEPT_CACHE_EVENTS {
            self.cache_events.pop_front();
        }
    }

    /// Number of the stream of a grant, if it ever reached this upstream.
    pub fn stream_of(&self, grant: &GrantName) -> Option<u64> {
        let name = (grant.group.clone(), grant.epoch, grant.grant);
        self.by_grant.get(&name).copied()
    }

    /// Tokens that its running streams may hold.
    pub fn held_tokens(&self) -> u64 {
        self.running.values().sum()
    }
}

/// All upstreams of a site, with their records.
pub fn build(plan: &Plan) -> (Vec<FleetMember>, Vec<UpstreamRecord>) {
    let mut members = Vec::new();
    let mut records = Vec::new();
    let centres = &plan.site.data_centres;
    for service in &plan.site.services {
        let mut counted = vec![0u32; centres.len()];
        let mut placed = 0;
        for (class_index, class) in service.classes.iter().enumerate() {
            for number in 0..class.count {
                let centre = placed % centres.len();
                placed += 1;
                let group_number = counted[centre] / service.group_size;
                counted[centre] += 1;
                let id: Arc<str> = format!("{}-{}-{number}", service.id, class.class).into();
                let group: Arc<str> =
                    format!("{}-{}-{group_number}", service.id, centres[centre].id).into();
                let index = members.len();
                members.push(FleetMember {
                    entry: Arc::new(Upstream {
                        id: id.clone(),
                        service: service.id.as_str().into(),
                        owner: "department".into(),
                        class: class.class.as_str().into(),
                        address: format!("10.1.{}.{}:8000", index / 250, index % 250 + 1).into(),
                        data_centre: centres[centre].id.as_str().into(),
                        group: group.clone(),
                        limits: UpstreamLimits {
                            running_requests: class.running_requests,
                            held_tokens: class.held_tokens,
                        },
                        state: UpstreamState::Active,
                        checks_fencing: false,
                        vm: Some(format!("vm-{id}").into()),
                    }),
                    kind: service.kind,
                    data_centre: centre,
                    model: EngineModel::new(class.shape()),
                    alive: true,
                    running: HashMap::new(),
                    finished: HashMap::new(),
                    by_grant: HashMap::new(),
                    wake_at: None,
                    cache_events: VecDeque::new(),
                });
                records.push(UpstreamRecord {
                    id,
                    service: service.id.as_str().into(),
                    group,
                    class: class_index,
                    running_limit: class.running_requests,
                    prefilled_tokens: 0,
                    leaving_from: None,
                });
            }
        }
    }
    (members, records)
}
