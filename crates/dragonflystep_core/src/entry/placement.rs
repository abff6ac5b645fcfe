//! Chooses the group to ask: the home of the prompt's prefix or the group with the least predicted wait.

use {
    super::{groups::Groups, ring::GroupRing},
    crate::{
        catalogue::{Catalogue, UpstreamState},
        context::View,
        ids::{CatalogueVersion, Epoch, GroupId, ServiceId, Tier},
        message::Summary,
        request::RequestFacts,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Number of prefix blocks that choose the home; enough to tell the prompts of different accounts apart.
const LEADING_BLOCKS: usize = 4;
/// Tokens in one block of the prefix.
const TOKENS_PER_BLOCK: u32 = 64;
/// Age beyond which a broker's load summary is ignored.
const SUMMARY_LIFETIME: Duration = Duration::from_secs(3);
/// Share of its deadline that a request may wait longer at the home of its prefix than at another group.
/// Computing one document in several groups costs all requests more than the wait costs this one.
const HOME_WAIT_SHARE: f64 = 0.5;
/// Most candidates examined for one decision; bounds its cost.
const MAX_CANDIDATES: usize = 8;
/// Predicted waits are compared in steps of this size, so that similar waits tie.
const WAIT_STEP: Duration = Duration::from_millis(5);

/// Sort key of a group: the predicted wait in steps, groups in other data centres after local ones, and a tie
/// breaker that differs between nodes, so that they don't all choose the same group.
type WaitRank = (u128, bool, u64, GroupId);

/// Index of the groups of each service, with the latest loads that their brokers reported.
#[derive(Debug, Default)]
pub(super) struct Placement {
    indexed: Option<CatalogueVersion>,
    services: BTreeMap<ServiceId, ServiceGroups>,
    loads: BTreeMap<GroupId, GroupLoad>,
}

/// The groups of one service that take new requests.
#[derive(Debug, Default)]
struct ServiceGroups {
    ring: GroupRing,
    groups: BTreeMap<GroupId, GroupSite>,
    by_wait: BTreeMap<Tier, BTreeSet<WaitRank>>,
}

/// Location of a group relative to this node, and its tie breaker.
#[derive(Clone, Copy, Debug)]
struct GroupSite {
    is_remote: bool,
    tie_breaker: u64,
}

/// The last load summary from the broker of a group.
#[derive(Debug)]
struct GroupLoad {
    service: ServiceId,
    epoch: Epoch,
    heard_at: Duration,
    predicted_wait: Vec<Duration>,
    prefill_per_thousand: Duration,
}

/// State outside the index that a decision reads.
pub(super) struct PlacementInputs<'a> {
    /// Shared state of the node: catalogue, members and lease holders.
    pub view: &'a View,
    /// Epochs and brokers of the groups known to this node.
    pub groups: &'a Groups,
    /// Time of the decision.
    pub now: Duration,
}

impl Placement {
    /// Rebuilds the index before the next decision.
    pub fn catalogue_changed(&mut self) {
        self.indexed = None;
    }

    /// Whether any upstream of the service takes new requests.
    pub fn is_served(&mut self, view: &View, service: &str) -> bool {
        self.refresh(view);
        self.services
            .get(service)
            .is_some_and(|service| !service.groups.is_empty())
    }

    /// Whether any upstream of the group takes new requests.
    pub fn is_active(&mut self, view: &View, service: &str, group: &str) -> bool {
        self.refresh(view);
        self.services
            .get(service)
            .is_some_and(|service| service.groups.contains_key(group))
    }

    /// Records a broker's load summary, unless it is of an older epoch than the last one.
    pub fn record_summary(&mut self, view: &View, now: Duration, summary: Summary) {
        self.refresh(view);
        if self
            .loads
            .get(&summary.group)
            .is_some_and(|load| load.epoch > summary.epoch)
        {
            return;
        }
        self.remove_load(&summary.group);
        let load = GroupLoad {
            service: summary.service,
            epoch: summary.epoch,
            heard_at: now,
            predicted_wait: summary.predicted_wait,
            prefill_per_thousand: summary.prefill_per_thousand,
        };
        if let Some(service) = self.services.get_mut(&load.service) {
            service.insert(&summary.group, &load);
        }
        self.loads.insert(summary.group, load);
    }

    /// Removes the load of a group whose summary is no longer valid.
    pub fn remove_load(&mut self, group: &GroupId) {
        let Some(load) = self.loads.remove(group) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&load.service) {
            service.remove(group, &load);
        }
    }

    /// The least predicted wait for the request's service and tier; `None` without a recent summary.
    pub fn least_wait(
        &self,
        inputs: &PlacementInputs<'_>,
        facts: &RequestFacts,
    ) -> Option<Duration> {
        self.least_wait_group(inputs, facts, None)
            .map(|(_, wait)| wait)
    }

    /// Chooses the group to ask, avoiding `avoid` if another one is available: the home of the prefix, unless
    /// another group starts so much sooner that computing the prefix again costs less.
    pub fn choose(
        &mut self,
        inputs: &PlacementInputs<'_>,
        facts: &RequestFacts,
        avoid: Option<&GroupId>,
    ) -> Option<GroupId> {
        self.refresh(inputs.view);
        let other = self.choose_avoiding(inputs, facts, avoid);
        if other.is_none() && avoid.is_some() {
            return self.choose_avoiding(inputs, facts, None);
        }
        other
    }

    fn choose_avoiding(
        &self,
        inputs: &PlacementInputs<'_>,
        facts: &RequestFacts,
        avoid: Option<&GroupId>,
    ) -> Option<GroupId> {
        let home = self.home(inputs, facts, avoid);
        let Some((best, best_wait)) = self.least_wait_group(inputs, facts, avoid) else {
            return home;
        };
        let Some(home) = home else {
            return Some(best);
        };
        let Some(home_wait) = self.wait(inputs, &home, facts.tier) else {
            // Brokers send their waits only to entries that asked them recently, so a group that is never
            // asked would stay unknown.
            let explore = !facts.prefix_blocks.is_empty() || best_wait >= WAIT_STEP;
            return Some(if explore { home } else { best });
        };
        if facts.prefix_blocks.is_empty() {
            return Some(best);
        }
        let saving = self.prefix_saving(&home, facts);
        let home_allowance = facts.deadline.mul_f64(HOME_WAIT_SHARE);
        if home_wait > best_wait + saving.max(home_allowance) {
            return Some(best);
        }
        Some(home)
    }

    /// The first reachable group on the ring after the hash of the leading blocks.
    fn home(
        &self,
        inputs: &PlacementInputs<'_>,
        facts: &RequestFacts,
        avoid: Option<&GroupId>,
    ) -> Option<GroupId> {
        let service = self.services.get(&facts.service)?;
        service
            .ring
            .iter_from(leading_hash(facts))
            .take(MAX_CANDIDATES)
            .filter(|group| Some(*group) != avoid)
            .find(|group| inputs.groups.reachable_broker(inputs.view, group).is_some())
            .cloned()
    }

    /// The reachable group with the least predicted wait.
    pub fn least_wait_group(
        &self,
        inputs: &PlacementInputs<'_>,
        facts: &RequestFacts,
        avoid: Option<&GroupId>,
    ) -> Option<(GroupId, Duration)> {
        let ranks = self
            .services
            .get(&facts.service)?
            .by_wait
            .get(&facts.tier)?;
        ranks
            .iter()
            .map(|(_, _, _, group)| group)
            .take(MAX_CANDIDATES)
            .filter(|group| Some(*group) != avoid)
            .filter(|group| inputs.groups.reachable_broker(inputs.view, group).is_some())
            .find_map(|group| Some((group.clone(), self.wait(inputs, group, facts.tier)?)))
    }

    /// The predicted wait for a tier, if the broker's summary is recent enough.
    fn wait(&self, inputs: &PlacementInputs<'_>, group: &str, tier: Tier) -> Option<Duration> {
        let load = self.loads.get(group)?;
        if inputs.now.saturating_sub(load.heard_at) > SUMMARY_LIFETIME {
            return None;
        }
        load.predicted_wait.get(usize::from(tier)).copied()
    }

    /// Upper bound of the prefill time that the home's prefix cache saves.
    fn prefix_saving(&self, home: &str, facts: &RequestFacts) -> Duration {
        let Some(load) = self.loads.get(home) else {
            return Duration::ZERO;
        };
        let blocks = u32::try_from(facts.prefix_blocks.len()).unwrap_or(u32::MAX);
        let tokens = blocks
            .saturating_mul(TOKENS_PER_BLOCK)
            .min(facts.prompt_tokens);
        load.prefill_per_thousand.saturating_mul(tokens) / 1000
    }

    /// Removes expired summaries, so that dead groups don't occupy the top of the order.
    pub fn remove_expired(&mut self, now: Duration) {
        let old: Vec<GroupId> = self
            .loads
            .iter()
            .filter(|(_, load)| now.saturating_sub(load.heard_at) > SUMMARY_LIFETIME)
            .map(|(group, _)| group.clone())
            .collect();
        for group in old {
            self.remove_load(&group);
        }
    }

    fn refresh(&mut self, view: &View) {
        if self.indexed == Some(view.catalogue.version) {
            return;
        }
        self.indexed = Some(view.catalogue.version);
        self.services = active_groups(view)
            .into_iter()
            .map(|(service, groups)| (service, ServiceGroups::new(groups)))
            .collect();
        for (group, load) in &self.loads {
            if let Some(service) = self.services.get_mut(&load.service) {
                service.insert(group, load);
            }
        }
    }
}

impl ServiceGroups {
    fn new(groups: BTreeMap<GroupId, GroupSite>) -> Self {
        Self {
            ring: GroupRing::new(groups.keys().cloned()),
            groups,
            by_wait: BTreeMap::new(),
        }
    }

    fn insert(&mut self, group: &GroupId, load: &GroupLoad) {
        let Some(site) = self.groups.get(group) else {
            return;
        };
        for (tier, wait) in (0..=Tier::MAX).zip(&load.predicted_wait) {
            let rank = wait_rank(group, *site, *wait);
            self.by_wait.entry(tier).or_default().insert(rank);
        }
    }

    fn remove(&mut self, group: &GroupId, load: &GroupLoad) {
        let Some(site) = self.groups.get(group) else {
            return;
        };
        for (tier, wait) in (0..=Tier::MAX).zip(&load.predicted_wait) {
            if let Some(ranks) = self.by_wait.get_mut(&tier) {
                ranks.remove(&wait_rank(group, *site, *wait));
            }
        }
    }
}

fn wait_rank(group: &GroupId, site: GroupSite, wait: Duration) -> WaitRank {
    let steps = wait.as_millis() / WAIT_STEP.as_millis();
    (steps, site.is_remote, site.tie_breaker, group.clone())
}

fn leading_hash(facts: &RequestFacts) -> u64 {
    let last = facts.prefix_blocks.len().min(LEADING_BLOCKS);
    match facts.prefix_blocks.get(last.wrapping_sub(1)) {
        Some(hash) => *hash,
        None => facts.fingerprint,
    }
}

/// The groups of each service that have at least one upstream that takes new requests.
fn active_groups(view: &View) -> BTreeMap<ServiceId, BTreeMap<GroupId, GroupSite>> {
    let catalogue: &Catalogue = &view.catalogue;
    let mut services: BTreeMap<ServiceId, BTreeMap<GroupId, GroupSite>> = BTreeMap::new();
    for upstream in catalogue.all_upstreams() {
        let leaving = upstream.state == UpstreamState::Leaving
            || view.leaving_upstreams.contains(&upstream.id);
        if leaving {
            continue;
        }
        let groups = services.entry(Arc::clone(&upstream.service)).or_default();
        let tie_breaker = node_seed(view);
        let site = groups.entry(upstream.group.clone()).or_insert(GroupSite {
            is_remote: true,
            tie_breaker: xxh3_64_with_seed(upstream.group.as_bytes(), tie_breaker),
        });
        site.is_remote &= upstream.data_centre != view.node.data_centre;
    }
    services
}

fn node_seed(view: &View) -> u64 {
    xxh3_64_with_seed(view.node.id.as_bytes(), view.node.incarnation)
}
