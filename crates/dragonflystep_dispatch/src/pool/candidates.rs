//! Finds the upstreams with free slots that are compared for a waiting request.
//!
//! It is designed for an owner of thousands of upstreams that decides hundreds of requests per second. In a small pool,
//! all upstreams are compared. In a large one, that would take longer than the time between two requests, so a sample is
//! compared instead: those where a run has just ended, and others drawn at random. The best of a sample is nearly as good
//! as the best of all (power of d choices).

use {
    super::ServicePool,
    crate::{
        ids::MonotonicTime,
        limits::{MAX_CANDIDATES, MAX_PROBES, SMALL_POOL_UPSTREAMS},
        messages::SlotRequest,
        upstream::LiveUpstream,
    },
    std::{cell::Cell, collections::VecDeque},
};

/// Steps through the upstreams of a pool; the second is used if the size of the pool is a multiple of the first.
const PROBE_STEPS: [usize; 2] = [7_919, 7_907];

/// Upstreams that have free slots now, as indices into the pool's list.
#[derive(Default)]
pub(super) struct FreeUpstreams {
    /// Upstreams that take all requests other than canaries.
    pub(super) main: Vec<usize>,
    /// Upstreams of the new version, for canaries only.
    pub(super) canary: Vec<usize>,
    /// Prefill time of the fastest full upstream, in milliseconds per token; absent if none is full.
    pub(super) fastest_full_ms_per_token: Option<f64>,
}

/// Where the next search through a large pool begins, and how many upstreams were examined.
#[derive(Debug, Default)]
pub(super) struct Search {
    /// State of the generator that draws the first upstream of a search.
    random: Cell<u64>,
    /// Upstreams where runs ended lately, the latest last. When nearly all slots are taken, these are the free ones.
    freed: VecDeque<usize>,
    examined: Cell<u64>,
}

impl Search {
    /// Records that a run ended at the upstream with this index.
    pub(super) fn note_freed(&mut self, index: usize) {
        self.freed.push_back(index);
        if self.freed.len() > MAX_CANDIDATES {
            self.freed.pop_front();
        }
    }

    /// Forgets all indices, because the list of upstreams changed.
    pub(super) fn reset(&mut self) {
        self.freed.clear();
    }

    /// Returns the number of upstreams that were examined since the last call.
    pub(super) fn take_examined(&self) -> u64 {
        self.examined.take()
    }

    pub(super) fn draw(&self, count: usize) -> usize {
        let next = self
            .random
            .get()
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.random.set(next);
        (next >> 33) as usize % count
    }
}

impl ServicePool {
    /// Whether the pool has too many upstreams to go through all of them for each request.
    pub(super) fn is_large(&self) -> bool {
        self.upstreams.len() > SMALL_POOL_UPSTREAMS
    }

    /// Finds the upstreams that have free slots now: all of them in a small pool, otherwise a sample.
    pub(super) fn free_upstreams(&self, now: MonotonicTime) -> FreeUpstreams {
        let mut free_upstreams = FreeUpstreams {
            canary: self.free_canary_upstreams(now),
            ..FreeUpstreams::default()
        };
        if self.has_used_slot_share() {
            return free_upstreams;
        }
        if self.is_large() {
            self.sample(now, &mut free_upstreams);
            if !free_upstreams.main.is_empty() {
                return free_upstreams;
            }
        }
        for (index, upstream) in self.upstreams.iter().enumerate() {
            self.examine(now, index, upstream, &mut free_upstreams);
        }
        if free_upstreams.main.is_empty() && free_upstreams.fastest_full_ms_per_token.is_none() {
            // No upstream is usable. Upstreams that are backed off may still answer part of the requests, while backing
            // off the only upstream of a service would refuse all of its requests.
            let upstreams = self.upstreams.iter().enumerate();
            let fallback = upstreams.filter(|(_, upstream)| {
                self.takes_main_traffic(upstream) && upstream.has_fallback_slot(now)
            });
            free_upstreams.main.extend(fallback.map(|(index, _)| index));
        }
        free_upstreams
    }

    /// Finds all upstreams that have free slots now and may go on with a stream. If none that may do so is usable, upstreams
    /// that are backed off are among them.
    ///
    /// Resumed streams are rare, so all upstreams of a large pool are examined: a sample may hold none of the version.
    pub(super) fn free_upstreams_for_stream(
        &self,
        now: MonotonicTime,
        request: &SlotRequest,
    ) -> Vec<usize> {
        if self.has_used_slot_share() {
            return Vec::new();
        }
        let upstreams = self.upstreams.iter().enumerate();
        let takes = upstreams.filter(|(_, upstream)| {
            let id = &upstream.entry.id;
            request.permits(&upstream.entry)
                && !request.excluded_upstreams.contains(id)
                && self.takes_resumed_streams(upstream)
        });
        let takes: Vec<_> = takes.collect();
        let is_any_usable = takes.iter().any(|(_, upstream)| upstream.is_usable(now));
        let has_slot = |upstream: &LiveUpstream| {
            if is_any_usable {
                upstream.has_free_slot(now)
            } else {
                upstream.has_fallback_slot(now)
            }
        };
        let free = takes.iter().filter(|(_, upstream)| has_slot(upstream));
        free.map(|(index, _)| *index).collect()
    }

    /// Whether this owner sees no majority and uses its share of the slots already.
    fn has_used_slot_share(&self) -> bool {
        let Some(share) = self.slot_share else {
            return false;
        };
        let running = self.run_index.len();
        running as f64 >= (self.total_slots as f64 * share).ceil()
    }

    /// Adds an upstream to those with free slots, or takes note of its speed if it is full.
    fn examine(
        &self,
        now: MonotonicTime,
        index: usize,
        upstream: &LiveUpstream,
        found: &mut FreeUpstreams,
    ) {
        self.search.examined.set(self.search.examined.get() + 1);
        if !self.takes_main_traffic(upstream) {
            return;
        }
        if upstream.has_free_slot(now) {
            found.main.push(index);
        } else if upstream.is_usable(now) && upstream.has_permit(now) {
            let speed = upstream.speed.prefill_ms_per_token;
            let fastest = found.fastest_full_ms_per_token.unwrap_or(f64::INFINITY);
            found.fastest_full_ms_per_token = Some(fastest.min(speed));
        }
    }

    /// Examines up to [`MAX_PROBES`] upstreams until [`MAX_CANDIDATES`] with free slots are found.
    fn sample(&self, now: MonotonicTime, found: &mut FreeUpstreams) {
        let count = self.upstreams.len();
        for &index in self.search.freed.iter().rev() {
            if !found.main.contains(&index) {
                self.examine(now, index, &self.upstreams[index], found);
            }
        }
        let step = PROBE_STEPS
            .into_iter()
            .find(|step| !count.is_multiple_of(*step))
            .unwrap_or(1);
        let first = self.search.draw(count);
        for probe in 0..MAX_PROBES.min(count) {
            if found.main.len() >= MAX_CANDIDATES {
                return;
            }
            let index = (first + probe * step) % count;
            if !found.main.contains(&index) {
                self.examine(now, index, &self.upstreams[index], found);
            }
        }
    }
}
