//! Where wasted prefill went: prompt tokens that engines computed and no good answer needed, by cause.
//!
//! A block of a prompt counts as repeated when any engine of the service had computed it before in the
//! run. The cause is the nearest place that had it: the same engine, which evicted or lost it since,
//! another engine of the same group, or another group.

use {
    crate::record::{RunRecord, StreamRecord},
    dragonflystep_fakes::engine_model::BLOCK_TOKENS,
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, HashSet},
};

/// Wasted prompt tokens by cause; the sum is what was computed less what was useful.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waste {
    /// Computed again on an engine that had computed it before.
    pub evicted: u64,
    /// Computed again while another engine of the group had computed it.
    pub same_group: u64,
    /// Computed again while only engines of other groups had computed it.
    pub other_group: u64,
    /// Computed for the first time, for no good answer.
    pub no_answer: u64,
    /// Computed in part, for a prompt that never came to its end.
    pub cut_short: u64,
}

/// Breaks the waste of the streams of some services down.
///
/// `computed` and `useful` are the prompt tokens of the same services.
pub fn waste(
    record: &RunRecord,
    counts: impl Fn(&StreamRecord) -> bool,
    computed: u64,
    useful: u64,
) -> Waste {
    let mut waste = Waste::default();
    let mut streams: Vec<&StreamRecord> = record.streams.iter().filter(|it| counts(it)).collect();
    // An engine computes prompts in the order in which they reach it.
    streams.sort_by_key(|it| it.began_at);
    let mut places: HashMap<u64, HashSet<usize>> = HashMap::new();
    let mut first = 0;
    let mut ended = 0;
    for stream in streams {
        let Some(cached) = stream.cached_tokens else {
            continue;
        };
        let facts = &record.requests[stream.request].arrival.facts;
        ended += u64::from(facts.prompt_tokens - cached);
        let whole = facts.prefix_blocks.len() as u32 * BLOCK_TOKENS;
        first += u64::from(facts.prompt_tokens - whole.max(cached));
        let held = (cached / BLOCK_TOKENS) as usize;
        for block in facts.prefix_blocks.iter().skip(held) {
            let known = places.entry(*block).or_default();
            let tokens = u64::from(BLOCK_TOKENS);
            *cause(record, &mut waste, known, stream.upstream).unwrap_or(&mut first) += tokens;
            known.insert(stream.upstream);
        }
    }
    waste.no_answer = first.saturating_sub(useful);
    waste.cut_short = computed.saturating_sub(ended);
    waste
}

/// The cause under which a block counts that these upstreams have computed; none for a first time.
fn cause<'a>(
    record: &RunRecord,
    waste: &'a mut Waste,
    known: &HashSet<usize>,
    upstream: usize,
) -> Option<&'a mut u64> {
    if known.is_empty() {
        return None;
    }
    if known.contains(&upstream) {
        return Some(&mut waste.evicted);
    }
    let group = &record.upstreams[upstream].group;
    let is_near = known.iter().any(|it| record.upstreams[*it].group == *group);
    Some(if is_near {
        &mut waste.same_group
    } else {
        &mut waste.other_group
    })
}
