//! Slots: every grant that may occupy an upstream, and the capacity that it uses.
//!
//! A slot is removed only on evidence that its stream does not run: a message of its entry node, a confirmed
//! cancellation, or a load report that was sampled after the slot became unattended. On an upstream that never
//! reports its load, an unattended slot is removed after a fixed time instead.

use {
    crate::ids::{
        AccountId, Epoch, Fingerprint, GrantId, Incarnation, NodeId, RequestId, Tier, UpstreamId,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Maximum number of ended grants that are remembered, so that a late list of grants does not restore one.
const MAX_ENDED_GRANTS: usize = 4096;

/// Identifies a slot within its group: the epoch and the number of its grant.
pub type SlotKey = (Epoch, GrantId);
/// Identifies an ask within its group: the entry node, its request and the ask's time stamp.
pub type AskKey = (NodeId, RequestId, Duration);

/// What is known of the stream in a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SlotState {
    /// Granted; the entry node has not reported on it yet.
    Granted,
    /// The entry node holds the grant but may not have dispatched the request yet.
    Listed,
    /// The entry node reported that the stream runs.
    Running {
        /// When the broker first knew this.
        since: Duration,
    },
    /// The entry node gave up an incomplete stream, which the upstream may still run.
    Released {
        /// When the entry node reported this.
        since: Duration,
    },
    /// The entry node is gone, or never reported what happened to the grant.
    Doubtful {
        /// Time after which nothing can be started under the grant.
        since: Duration,
    },
}

/// A grant that may occupy an upstream, with the request's data and what is known of its stream.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Entry node that has the grant.
    pub entry: NodeId,
    /// Incarnation of the entry node when it got the grant; `None` if unknown.
    pub incarnation: Option<Incarnation>,
    /// Upstream that was granted.
    pub upstream: UpstreamId,
    /// Tier of the request.
    pub tier: Tier,
    /// Client account of the request.
    pub account: AccountId,
    /// Whether the broker may cancel the stream, at its entry node or at the upstream.
    pub cancellable: bool,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer, in tokens.
    pub output_tokens: u32,
    /// Prompt tokens that the upstream was predicted to have cached.
    pub cached_tokens: u32,
    /// Predicted time to compute its prompt, in seconds, from when the upstream starts on it.
    pub prefill_seconds: f64,
    /// Predicted time, at the grant, that the upstream needed for prompts granted earlier, in seconds.
    pub backlog_seconds: f64,
    /// Fingerprint of the request; `None` if the slot was learned from an entry node's list.
    pub fingerprint: Option<Fingerprint>,
    /// Whether nothing else may run on the upstream, as the request is suspected of crashing upstreams.
    pub exclusive: bool,
    /// When it was granted, or first reported by its entry node.
    pub granted_at: Duration,
    /// Time from which the entry node can no longer start the request under this grant.
    pub expires_at: Duration,
    /// When its entry node last reported that it holds the grant.
    pub last_reported_at: Duration,
    /// Tokens received so far, by the entry node's last report.
    pub tokens: u32,
    /// Whether the entry node was told to cancel the stream.
    pub cancelled: bool,
    /// What is known of the stream.
    pub state: SlotState,
}

impl Slot {
    /// Tokens that the stream may hold on its upstream at most.
    pub fn held_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }

    /// Prompt tokens that are still to be computed; 0 once the first token came.
    pub fn prefill_tokens(&self) -> u64 {
        if self.tokens > 0 {
            return 0;
        }
        u64::from(self.prompt_tokens.saturating_sub(self.cached_tokens))
    }

    /// Predicted seconds of prefill; 0 once the first token came.
    pub fn prefill_seconds_left(&self) -> f64 {
        if self.tokens > 0 {
            return 0.0;
        }
        self.prefill_seconds
    }

    /// Whether the entry node is gone, or never reported what happened to the grant.
    pub fn is_doubtful(&self) -> bool {
        matches!(self.state, SlotState::Doubtful { .. })
    }

    /// Since when only the upstream can tell whether the stream runs; `None` while its entry node can.
    pub fn unattended_since(&self) -> Option<Duration> {
        match self.state {
            SlotState::Released { since } | SlotState::Doubtful { since } => Some(since),
            SlotState::Granted | SlotState::Listed | SlotState::Running { .. } => None,
        }
    }
}

/// Capacity of one upstream that its slots use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Number of slots, each of which may run a request.
    pub running: u32,
    /// Tokens that the streams may hold at most.
    pub held_tokens: u64,
    /// Number of slots that exclude other work on the upstream.
    pub exclusive: u32,
    /// Uncached prompt tokens of the slots without a first token.
    pub prefill_tokens: u64,
    /// Predicted time to compute those prompts, in seconds.
    pub prefill_seconds: f64,
}

/// All slots of one group, with the usage of each upstream kept up to date.
#[derive(Debug, Default)]
pub struct SlotTable {
    slots: BTreeMap<SlotKey, Slot>,
    usage: BTreeMap<UpstreamId, Usage>,
    ended: BTreeSet<SlotKey>,
}

impl SlotTable {
    /// Adds a slot, replacing one with the same key.
    pub fn insert(&mut self, key: SlotKey, slot: Slot) {
        self.remove(key);
        let usage = self.usage.entry(slot.upstream.clone()).or_default();
        usage.running += 1;
        usage.held_tokens += slot.held_tokens();
        usage.exclusive += u32::from(slot.exclusive);
        usage.prefill_tokens += slot.prefill_tokens();
        usage.prefill_seconds += slot.prefill_seconds_left();
        self.slots.insert(key, slot);
    }

    /// Removes a slot whose stream is known not to run; a later list of its entry node may restore it.
    pub fn remove(&mut self, key: SlotKey) -> Option<Slot> {
        let slot = self.slots.remove(&key)?;
        if let Some(usage) = self.usage.get_mut(&slot.upstream) {
            usage.running -= 1;
            usage.held_tokens -= slot.held_tokens();
            usage.exclusive -= u32::from(slot.exclusive);
            usage.prefill_tokens -= slot.prefill_tokens();
            usage.prefill_seconds -= slot.prefill_seconds_left();
            if usage.running == 0 {
                self.usage.remove(&slot.upstream);
            }
        }
        Some(slot)
    }

    /// Removes a slot whose stream has ended; a late list of its entry node cannot restore it.
    pub fn end(&mut self, key: SlotKey) -> Option<Slot> {
        self.ended.insert(key);
        if self.ended.len() > MAX_ENDED_GRANTS {
            self.ended.pop_first();
        }
        self.remove(key)
    }

    /// Marks a slot as released: its entry node gave up the stream, but the upstream may still run it.
    pub fn release(&mut self, key: SlotKey, since: Duration) {
        // Its prompt needs no more prefill: it was cancelled or is done.
        self.record_tokens(key, 1);
        if let Some(slot) = self.slots.get_mut(&key) {
            slot.state = SlotState::Released { since };
        }
    }

    /// Whether the slot was ended, which a late list must not undo.
    pub fn has_ended(&self, key: SlotKey) -> bool {
        self.ended.contains(&key)
    }

    /// Looks up a slot.
    pub fn get(&self, key: SlotKey) -> Option<&Slot> {
        self.slots.get(&key)
    }

    /// Records how many tokens a stream has produced, and updates the remaining prefill.
    pub fn record_tokens(&mut self, key: SlotKey, tokens: u32) {
        let Some(slot) = self.slots.get_mut(&key) else {
            return;
        };
        let before = (slot.prefill_tokens(), slot.prefill_seconds_left());
        slot.tokens = slot.tokens.max(tokens);
        let after = (slot.prefill_tokens(), slot.prefill_seconds_left());
        if let Some(usage) = self.usage.get_mut(&slot.upstream) {
            usage.prefill_tokens -= before.0 - after.0;
            usage.prefill_seconds -= before.1 - after.1;
        }
    }

    /// Mutable access to a slot. The fields that its usage is computed from must not be changed.
    pub fn get_mut(&mut self, key: SlotKey) -> Option<&mut Slot> {
        self.slots.get_mut(&key)
    }

    /// Iterates over all slots in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (SlotKey, &Slot)> {
        self.slots.iter().map(|(key, slot)| (*key, slot))
    }

    /// Capacity of an upstream that its slots use.
    pub fn usage(&self, upstream: &str) -> Usage {
        self.usage.get(upstream).copied().unwrap_or_default()
    }

    /// Number of slots.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether the group has no slots.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Whether any slot that is not released serves a tier less urgent than `tier`.
    pub fn serves_below(&self, tier: Tier) -> bool {
        let mut slots = self.slots.values();
        slots.any(|slot| slot.tier > tier && !matches!(slot.state, SlotState::Released { .. }))
    }

    /// Number of streams that certainly ran on an upstream at `sampled_at`, since their entry nodes reported them as
    /// running both before and after that time.
    ///
    /// Streams that may have ended before are not counted, so that too many are never subtracted from a load report.
    pub fn running_at(&self, upstream: &str, sampled_at: Duration, margin: Duration) -> u32 {
        let known = self.slots.values().filter(|slot| {
            slot.upstream.as_ref() == upstream
                && slot.last_reported_at >= sampled_at + margin
                && matches!(slot.state, SlotState::Running { since } if since + margin <= sampled_at)
        });
        u32::try_from(known.count()).unwrap_or(u32::MAX)
    }
}
