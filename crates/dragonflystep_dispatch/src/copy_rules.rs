//! Settings of the copies of runs' KV caches.

/// Which runs are copied to a second upstream, and how much memory the copies may take there.
///
/// # Examples
/// ```
/// use dragonflystep_dispatch::CopyRules;
///
/// let rules = CopyRules::default();
/// assert!(rules.max_memory_share < 1.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CopyRules {
    /// Smallest probability that a run's upstream breaks off before its end from which on the run is copied, from 0, which
    /// copies all runs, to 1, which copies none.
    pub min_break_probability: f64,
    /// Largest share of an upstream's memory that copies of other upstreams' runs may take.
    pub max_memory_share: f64,
}

impl Default for CopyRules {
    /// Copies runs while upstreams crash, in the memory that prompts seldom need.
    fn default() -> Self {
        Self {
            min_break_probability: 0.01,
            max_memory_share: 0.25,
        }
    }
}
