//! The keys of the requests that this node received.

use {
    super::homes::HOMES_OF_KEY,
    crate::{
        ids::{GroupId, NodeId, RequestId},
        message::{KeyState, KnownKey},
        request::{Outcome, Ran, Refusal, RefusalCode, RequestKey},
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
};

/// Rounds for which an entry waits for a competing entry or an open answer before it denies the request.
const SPLIT_WAIT_ROUNDS: u32 = 4;
/// Most keys that one node remembers of its own requests; beyond that, new requests with keys are refused.
const MAX_KEYS: usize = 50_000;

/// The keys of this node's requests, with the answers of their homes.
#[derive(Debug, Default)]
pub(super) struct OwnKeys {
    keys: BTreeMap<RequestKey, OwnKey>,
    registering: BTreeSet<RequestKey>,
    ended: VecDeque<(Duration, RequestKey)>,
}

/// A key of one of this node's requests.
#[derive(Debug)]
pub(super) struct OwnKey {
    /// The request that uses the key.
    pub request: RequestId,
    /// Its homes, with the last answer of each.
    pub homes: Vec<(GroupId, HomeAnswer)>,
    stage: Stage,
    rounds: u32,
}

/// Stage of a key's registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Registering,
    Owned,
    Ended { outcome: Outcome, at: Duration },
}

/// The last answer of a home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum HomeAnswer {
    /// The home has not answered yet.
    Pending,
    /// The key belongs to this request.
    Owned,
    /// A request at the named entry has the key.
    Running(NodeId),
    /// The home recorded the key but can't confirm the ownership yet.
    NotReady,
    /// A request with the key ended.
    Ended(Outcome),
}

/// Result of combining the answers of the homes.
#[derive(Debug)]
pub(super) enum Verdict {
    Wait,
    Granted,
    Denied(Refusal),
}

impl OwnKeys {
    /// Reserves a key for a request.
    ///
    /// # Errors
    /// Returns a refusal when another request of this node has or had the key, or when too many keys are
    /// kept.
    pub fn reserve(
        &mut self,
        key: &RequestKey,
        request: RequestId,
        homes: Vec<GroupId>,
    ) -> Result<(), Refusal> {
        if let Some(own) = self.keys.get(key) {
            return Err(own.repeat_refusal());
        }
        if self.keys.len() >= MAX_KEYS {
            return Err(Refusal::not_run(RefusalCode::Overloaded));
        }
        let own = OwnKey {
            request,
            homes: homes
                .into_iter()
                .map(|home| (home, HomeAnswer::Pending))
                .collect(),
            stage: Stage::Registering,
            rounds: 0,
        };
        self.keys.insert(key.clone(), own);
        self.registering.insert(key.clone());
        Ok(())
    }

    /// The key, if this request has it.
    pub fn get(&self, key: &RequestKey, request: RequestId) -> Option<&OwnKey> {
        self.keys.get(key).filter(|own| own.request == request)
    }

    /// Records a home's answer and returns the combined verdict.
    pub fn answered(
        &mut self,
        own_node: &NodeId,
        key: &RequestKey,
        request: RequestId,
        home: &GroupId,
        state: KeyState,
    ) -> Verdict {
        let Some(own) = self.keys.get_mut(key) else {
            return Verdict::Wait;
        };
        if own.request != request || own.stage != Stage::Registering {
            return Verdict::Wait;
        }
        let Some((_, answer)) = own.homes.iter_mut().find(|(known, _)| known == home) else {
            return Verdict::Wait;
        };
        *answer = match state {
            KeyState::Owned => HomeAnswer::Owned,
            KeyState::Running { entry } => HomeAnswer::Running(entry),
            KeyState::Ended { outcome } => HomeAnswer::Ended(outcome),
            KeyState::NotReady => HomeAnswer::NotReady,
        };
        self.evaluate(own_node, key)
    }

    /// Counts a round without a verdict and evaluates the answers again.
    pub fn round(&mut self, own_node: &NodeId, key: &RequestKey) -> Verdict {
        if let Some(own) = self.keys.get_mut(key) {
            own.rounds += 1;
        }
        self.evaluate(own_node, key)
    }

    fn evaluate(&mut self, own_node: &NodeId, key: &RequestKey) -> Verdict {
        let Some(own) = self.keys.get_mut(key) else {
            return Verdict::Wait;
        };
        let verdict = own.verdict(own_node);
        if matches!(verdict, Verdict::Granted) {
            own.stage = Stage::Owned;
            self.registering.remove(key);
        }
        verdict
    }

    /// Keys that have been registered and not granted yet.
    pub fn registering(&self) -> Vec<RequestKey> {
        self.registering.iter().cloned().collect()
    }

    /// The request of a key, and the homes that have not confirmed its ownership.
    pub fn unsettled_homes(&self, key: &RequestKey) -> Option<(RequestId, Vec<GroupId>)> {
        let own = self.keys.get(key)?;
        let homes = own
            .homes
            .iter()
            .filter(|(_, answer)| *answer != HomeAnswer::Owned)
            .map(|(home, _)| home.clone())
            .collect();
        Some((own.request, homes))
    }

    /// Discards a home's earlier answers and returns the keys that have to be registered there again.
    pub fn home_changed(&mut self, home: &GroupId) -> Vec<(RequestKey, RequestId)> {
        let mut open = Vec::new();
        for key in &self.registering {
            let Some(own) = self.keys.get_mut(key) else {
                continue;
            };
            let answer = own.homes.iter_mut().find(|(known, _)| known == home);
            if let Some((_, answer)) = answer {
                *answer = HomeAnswer::Pending;
                open.push((key.clone(), own.request));
            }
        }
        open
    }

    /// Records the end of a request. Returns the homes to notify, if the request had the key.
    pub fn end(
        &mut self,
        now: Duration,
        key: &RequestKey,
        request: RequestId,
        outcome: Option<Outcome>,
    ) -> Vec<GroupId> {
        let Some(own) = self.keys.get_mut(key) else {
            return Vec::new();
        };
        let ended = matches!(own.stage, Stage::Ended { .. });
        if own.request != request || ended {
            return Vec::new();
        }
        self.registering.remove(key);
        let homes = own.homes.iter().map(|(home, _)| home.clone()).collect();
        match outcome {
            Some(outcome) => {
                own.stage = Stage::Ended { outcome, at: now };
                self.ended.push_back((now, key.clone()));
            }
            None => {
                self.keys.remove(key);
            }
        }
        homes
    }

    /// The granted keys that a new holder of `home` needs. Requests that still wait for their key register
    /// again.
    pub fn known_keys(&self, own_node: &NodeId, home: &GroupId) -> Vec<KnownKey> {
        self.keys
            .iter()
            .filter(|(_, own)| own.stage != Stage::Registering)
            .filter(|(_, own)| own.homes.iter().any(|(known, _)| known == home))
            .map(|(key, own)| KnownKey {
                key: key.clone(),
                entry: own_node.clone(),
                request: own.request,
                outcome: match own.stage {
                    Stage::Ended { outcome, .. } => Some(outcome),
                    Stage::Registering | Stage::Owned => None,
                },
            })
            .collect()
    }

    /// Removes keys that ended long ago.
    pub fn remove_expired(&mut self, now: Duration, memory: Duration) {
        while let Some((at, key)) = self.ended.front() {
            if now.saturating_sub(*at) < memory {
                return;
            }
            let stage = self.keys.get(key).map(|own| own.stage);
            if matches!(stage, Some(Stage::Ended { at: ended_at, .. }) if ended_at == *at) {
                self.keys.remove(key);
            }
            self.ended.pop_front();
        }
    }
}

impl OwnKey {
    fn repeat_refusal(&self) -> Refusal {
        match self.stage {
            Stage::Registering | Stage::Owned => in_progress(),
            Stage::Ended { outcome, .. } => already_ran(outcome),
        }
    }

    /// Combines the answers; see the table in the documentation of [`crate::keys`].
    fn verdict(&self, own_node: &NodeId) -> Verdict {
        let mut owned = 0;
        let mut pending = 0;
        let mut competitor = None;
        for (_, answer) in &self.homes {
            match answer {
                HomeAnswer::Pending => pending += 1,
                HomeAnswer::Owned => owned += 1,
                HomeAnswer::NotReady => (),
                HomeAnswer::Running(entry) => competitor = Some(entry),
                HomeAnswer::Ended(outcome) => return Verdict::Denied(already_ran(*outcome)),
            }
        }
        let may_wait = self.rounds < SPLIT_WAIT_ROUNDS;
        match competitor {
            Some(entry) if owned > 0 && own_node < entry && may_wait => Verdict::Wait,
            // An earlier request of this node freed the key, and the home has not received that message yet.
            Some(entry) if own_node == entry && may_wait => Verdict::Wait,
            Some(_) if pending > 0 && may_wait => Verdict::Wait,
            Some(_) => Verdict::Denied(in_progress()),
            None if owned > 0 && pending == 0 => Verdict::Granted,
            None => Verdict::Wait,
        }
    }
}

/// Refusal of a repeat while the first request is open. This node can't tell whether it was dispatched.
fn in_progress() -> Refusal {
    Refusal::with_ran(RefusalCode::InProgress, Ran::Unknown)
}

/// Refusal of a repeat after the first request ended.
fn already_ran(outcome: Outcome) -> Refusal {
    let ran = match outcome {
        Outcome::Failed => Ran::Unknown,
        Outcome::Completed | Outcome::Rejected | Outcome::Cancelled => Ran::Yes,
    };
    Refusal::with_ran(RefusalCode::AlreadyRan, ran)
}

const _: () = assert!(
    HOMES_OF_KEY > 1,
    "A rule for split answers needs two homes."
);
