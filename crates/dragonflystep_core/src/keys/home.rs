//! The key records that a node keeps for the homes it holds.

use {
    crate::{
        context::{Context, View},
        ids::{Epoch, GroupId, Incarnation, NodeId, RequestId},
        message::{KeyAnswer, KeyEnded, KeyRegister, KeyState, KnownKey},
        request::{Outcome, RequestKey},
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
};

/// How long a new home waits for the records of nodes that are suspected to be unreachable. It waits for all
/// other nodes until they have sent theirs.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Most key records that one node keeps as a home. Beyond that it does not take in new keys; it never evicts
/// a record to make space.
const MAX_RECORDS: usize = 50_000;
/// A key whose end was never reported is removed after this multiple of the time for which an ended key is
/// kept.
const UNENDED_MEMORY_FACTOR: u32 = 6;

/// The homes that this node holds, and former ones whose new holder has not asked for their records yet.
#[derive(Debug, Default)]
pub(super) struct HeldHomes {
    homes: BTreeMap<GroupId, Home>,
    ended: VecDeque<(Duration, GroupId, RequestKey)>,
    registered: VecDeque<(Duration, GroupId, RequestKey)>,
    record_count: usize,
}

/// The key records of one home, and the nodes that still have to send theirs.
#[derive(Debug)]
struct Home {
    epoch: Epoch,
    since: Duration,
    awaiting_refill: BTreeSet<NodeId>,
    records: BTreeMap<RequestKey, Record>,
}

/// What a home knows of one key.
#[derive(Clone, Debug)]
struct Record {
    entry: NodeId,
    request: RequestId,
    incarnation: Option<Incarnation>,
    at: Duration,
    outcome: Option<Outcome>,
    /// Whether the record was neither confirmed by the entry that owns the key nor taken in by a home that
    /// was ready.
    tentative: bool,
}

impl Home {
    /// Whether every node has sent its records, except nodes that are gone or were suspected when the timeout
    /// passed.
    fn is_ready(&self, view: &View, now: Duration) -> bool {
        let within_timeout = now.saturating_sub(self.since) < UNREACHABLE_TIMEOUT;
        self.awaiting_refill
            .iter()
            .filter_map(|node| view.members.get(node))
            .all(|member| member.suspected && !within_timeout)
    }
}

impl HeldHomes {
    /// Starts a term as the holder of a home. Records of an earlier term are kept.
    pub fn begin(&mut self, view: &View, now: Duration, group: &GroupId, epoch: Epoch) {
        let awaiting_refill = view.members.keys().cloned().collect();
        let records = self.homes.remove(group).map(|home| home.records);
        let home = Home {
            epoch,
            since: now,
            awaiting_refill,
            records: records.unwrap_or_default(),
        };
        self.homes.insert(group.clone(), home);
    }

    /// Answers an entry that wants to own a key. The first entry to register owns it.
    pub fn register(
        &mut self,
        context: &Context<'_>,
        from: &NodeId,
        register: KeyRegister,
    ) -> KeyAnswer {
        let answer = self
            .granting_epoch(context, &register.home)
            .and_then(|epoch| Some((epoch, self.state_for(context, from, &register)?)));
        let (epoch, state) = answer.unwrap_or((0, KeyState::NotReady));
        KeyAnswer {
            home: register.home,
            epoch,
            key: register.key,
            request: register.request,
            state,
        }
    }

    /// The epoch of the home, while this node's lease for it is valid.
    fn granting_epoch(&self, context: &Context<'_>, group: &GroupId) -> Option<Epoch> {
        let epoch = context.view.granting_epoch(group, context.now)?;
        let home = self.homes.get(group)?;
        (home.epoch == epoch).then_some(epoch)
    }

    /// State of the key after this registration; `None` when the home has no space for a new key.
    fn state_for(
        &mut self,
        context: &Context<'_>,
        from: &NodeId,
        register: &KeyRegister,
    ) -> Option<KeyState> {
        let now = context.now;
        let home = self.homes.get_mut(&register.home)?;
        let ready = home.is_ready(context.view, now);
        let Some(record) = home.records.get(&register.key) else {
            if self.record_count >= MAX_RECORDS {
                return None;
            }
            let record = Record {
                entry: from.clone(),
                request: register.request,
                incarnation: Some(register.incarnation),
                at: now,
                outcome: None,
                tentative: !ready,
            };
            self.insert(&register.home, register.key.clone(), record);
            return Some(owned_if_ready(ready));
        };
        if let Some(outcome) = record.outcome {
            return Some(KeyState::Ended { outcome });
        }
        if record.entry == *from && record.request == register.request {
            return Some(owned_if_ready(ready));
        }
        Some(KeyState::Running {
            entry: record.entry.clone(),
        })
    }

    /// Records the end of a request, or frees the key of a request that was never dispatched.
    pub fn ended(&mut self, now: Duration, from: &NodeId, ended: KeyEnded) {
        let Some(home) = self.homes.get_mut(&ended.home) else {
            return;
        };
        let record = home.records.get(&ended.key);
        let is_owner =
            record.is_some_and(|record| record.entry == *from && record.request == ended.request);
        match ended.outcome {
            None if is_owner => {
                home.records.remove(&ended.key);
                self.record_count -= 1;
            }
            None => (),
            Some(outcome) => {
                let already = record.is_some_and(|record| record.outcome.is_some());
                if !already {
                    let record = Record {
                        entry: from.clone(),
                        request: ended.request,
                        incarnation: None,
                        at: now,
                        outcome: Some(outcome),
                        tentative: false,
                    };
                    self.insert(&ended.home, ended.key, record);
                }
            }
        }
    }

    /// Merges the records that another node sent for the keys of a home.
    ///
    /// An entry is authoritative for the keys that its own requests were granted, and the end of a request is
    /// final. What a home reports of other entries may be the registration of a request that was never
    /// granted the key. Such a record only fills gaps, since a registration here may have been the second
    /// half of a grant.
    pub fn refill(
        &mut self,
        now: Duration,
        from: &NodeId,
        group: &GroupId,
        epoch: Epoch,
        keys: Vec<KnownKey>,
    ) {
        let Some(home) = self.homes.get_mut(group) else {
            return;
        };
        if home.epoch != epoch {
            return;
        }
        home.awaiting_refill.remove(from);
        for known in keys {
            let authoritative = known.entry == *from || known.outcome.is_some();
            self.refill_key(now, group, known, authoritative);
        }
    }

    fn refill_key(&mut self, now: Duration, group: &GroupId, known: KnownKey, authoritative: bool) {
        let present = self
            .homes
            .get(group)
            .and_then(|home| home.records.get(&known.key));
        let replaces = match present {
            None => true,
            Some(record) if record.outcome.is_some() => false,
            Some(record) => (record.tentative && authoritative) || known.outcome.is_some(),
        };
        if !replaces {
            return;
        }
        let record = Record {
            entry: known.entry,
            request: known.request,
            incarnation: None,
            at: now,
            outcome: known.outcome,
            tentative: !authoritative,
        };
        self.insert(group, known.key, record);
    }

    /// Nodes that have not sent their records yet, for each held home with its epoch.
    pub fn awaiting_refill(&self, context: &Context<'_>) -> Vec<(GroupId, Epoch, Vec<NodeId>)> {
        let mut awaiting_refill = Vec::new();
        for (group, home) in &self.homes {
            let held = self.granting_epoch(context, group).is_some();
            if held && !home.awaiting_refill.is_empty() {
                let nodes = home.awaiting_refill.iter().cloned().collect();
                awaiting_refill.push((group.clone(), home.epoch, nodes));
            }
        }
        awaiting_refill
    }

    /// The records of this node's homes for the keys of `wanted`; `shares_home` says whether a key that is kept at
    /// a home also belongs to `wanted`.
    ///
    /// Registrations of this node's own requests are left out, since the receiver would take this node as
    /// authoritative for them.
    pub fn known_keys(
        &self,
        own_node: &NodeId,
        wanted: &GroupId,
        mut shares_home: impl FnMut(&RequestKey, &GroupId) -> bool,
    ) -> Vec<KnownKey> {
        let mut known = Vec::new();
        for (group, home) in &self.homes {
            for (key, record) in &home.records {
                let foreign = record.entry != *own_node || record.outcome.is_some();
                if foreign && (group == wanted || shares_home(key, group)) {
                    known.push(KnownKey {
                        key: key.clone(),
                        entry: record.entry.clone(),
                        request: record.request,
                        outcome: record.outcome,
                    });
                }
            }
        }
        known
    }

    /// Drops the records of a home after they were sent to its new holder.
    pub fn drop_handed_over(&mut self, group: &GroupId, new_epoch: Epoch) {
        if self
            .homes
            .get(group)
            .is_some_and(|home| home.epoch < new_epoch)
            && let Some(home) = self.homes.remove(group)
        {
            self.record_count -= home.records.len();
        }
    }

    /// Marks the open requests of a lost entry as failed, since nobody can tell how they ended.
    pub fn entry_gone(&mut self, now: Duration, node: &NodeId, incarnation: Incarnation) {
        for (group, home) in &mut self.homes {
            home.awaiting_refill.remove(node);
            for (key, record) in &mut home.records {
                let theirs = record.entry == *node
                    && record.incarnation.is_none_or(|known| known == incarnation);
                if theirs && record.outcome.is_none() {
                    record.outcome = Some(Outcome::Failed);
                    record.at = now;
                    self.ended.push_back((now, group.clone(), key.clone()));
                }
            }
        }
    }

    /// Removes keys that ended long ago, or whose end was never reported.
    pub fn remove_expired(&mut self, now: Duration, memory: Duration) {
        let ended = pop_older(&mut self.ended, now, memory);
        let lost = pop_older(&mut self.registered, now, memory * UNENDED_MEMORY_FACTOR);
        for (at, group, key) in ended.into_iter().chain(lost) {
            let Some(home) = self.homes.get_mut(&group) else {
                continue;
            };
            if home.records.get(&key).is_some_and(|record| record.at == at) {
                home.records.remove(&key);
                self.record_count -= 1;
            }
        }
    }

    fn insert(&mut self, group: &GroupId, key: RequestKey, record: Record) {
        let Some(home) = self.homes.get_mut(group) else {
            return;
        };
        let queue = match record.outcome {
            Some(_) => &mut self.ended,
            None => &mut self.registered,
        };
        queue.push_back((record.at, group.clone(), key.clone()));
        if home.records.insert(key, record).is_none() {
            self.record_count += 1;
        }
    }
}

/// A home that is not ready records the key but can't confirm the ownership.
fn owned_if_ready(ready: bool) -> KeyState {
    match ready {
        true => KeyState::Owned,
        false => KeyState::NotReady,
    }
}

fn pop_older(
    queue: &mut VecDeque<(Duration, GroupId, RequestKey)>,
    now: Duration,
    memory: Duration,
) -> Vec<(Duration, GroupId, RequestKey)> {
    let count = queue.partition_point(|(at, _, _)| now.saturating_sub(*at) >= memory);
    queue.drain(..count).collect()
}
