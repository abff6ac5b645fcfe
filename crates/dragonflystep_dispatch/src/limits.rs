//! Constants of the scheduling decisions, with their units and the reasons for values that are not obvious.

use std::time::Duration;

/// Slots of an upstream that does not state how many requests it runs at once; small enough for any engine.
pub(crate) const DEFAULT_SLOTS: u32 = 4;

/// Prefill time per prompt token that is assumed until runs have been observed, in milliseconds; the speed of a
/// current engine on four accelerators.
pub(crate) const INITIAL_PREFILL_MS_PER_TOKEN: f64 = 0.02;

/// Time between two events of a stream that is assumed until runs have been observed, in milliseconds.
pub(crate) const INITIAL_MS_PER_EVENT: f64 = 18.0;

/// Duration of a plain call that is assumed until runs have been observed, in milliseconds.
pub(crate) const INITIAL_PLAIN_MS: f64 = 60.0;

/// Part of the time to the first event that does not depend on the prompt, in milliseconds: the engine's own
/// scheduling and one network round trip.
pub(crate) const FIRST_EVENT_BASE_MS: f64 = 20.0;

/// Weight of a new sample in an exponentially weighted mean. About the last seven samples dominate, which is a
/// second of an engine's work.
pub(crate) const MEAN_WEIGHT: f64 = 0.15;

/// Shortest prompt from which the prefill speed is learned, in tokens; shorter prompts say little about it.
pub(crate) const MIN_MEASURED_PROMPT_TOKENS: f64 = 300.0;

/// Prompt tokens that an engine prefills in one step between two decode steps of other requests; the usual
/// default of engines with chunked prefill.
pub(crate) const PREFILL_CHUNK_TOKENS: f64 = 1024.0;

/// Largest predicted pause at which a placement still counts as on time, as a share of the permitted pause; the
/// rest covers prediction errors.
pub(crate) const MAX_PREDICTED_PAUSE_SHARE: f64 = 0.9;

/// Consecutive failures after which an upstream is backed off. Where one answer in seven fails, two in a row can
/// be chance.
pub(crate) const FAILURES_BEFORE_BACK_OFF: u32 = 4;

/// Share of a service's upstreams that may be backed off for failed answers at the same time. When all of them fail
/// part of their answers, backing off gains nothing and leaves no slots for waiting requests.
pub(crate) const MAX_SUSPENDED_SHARE: f64 = 0.34;

/// First back-off of a failing upstream. A restart takes some seconds, and a probe costs only one request.
pub(crate) const INITIAL_BACK_OFF: Duration = Duration::from_millis(500);

/// Longest back-off of a failing upstream.
pub(crate) const MAX_BACK_OFF: Duration = Duration::from_secs(4);

/// Back-off after an upstream answered that it is full; about the time between two completions at an upstream with
/// five slots.
pub(crate) const REJECTION_BACK_OFF: Duration = Duration::from_millis(60);

/// Placement cost of an upstream that fails every request, in milliseconds of predicted time.
pub(crate) const FAILURE_PENALTY_MS: f64 = 2_000.0;

/// Share of a run's predicted duration that is added to its placement cost.
///
/// In a burst all slots are taken while the engines still have spare computing power, so the scarce resource is the
/// time for which a generation holds a slot, and engines differ severalfold in it. With a larger share, requests at
/// engines with few slots are late.
pub(crate) const RUN_COST_SHARE: f64 = 0.05;

/// Share of the slots that may be taken while slots count as plentiful.
pub(crate) const PLENTIFUL_SLOTS_SHARE: f64 = 0.25;

/// Share that is added to [`RUN_COST_SHARE`] at a service without any runs; it falls to zero where slots are no longer
/// plentiful. While slots are plentiful, a long generation goes to a fast upstream, since on a slow one it may not end before
/// its caller gives up.
pub(crate) const IDLE_RUN_COST_SHARE: f64 = 0.25;

/// Placement cost of an upstream in another data centre, in milliseconds: the round trip, and a charge for the
/// traffic between data centres.
pub(crate) const OTHER_DATA_CENTRE_COST_MS: f64 = 4.0;

/// Longest time that a request waits in the queue, as a share of the time until its caller gives up; leaves the
/// caller time for one more attempt elsewhere.
pub(crate) const MAX_WAIT_SHARE: f64 = 0.5;

/// Like [`MAX_WAIT_SHARE`], for a request that was refused before and has come back.
pub(crate) const MAX_RETURNED_WAIT_SHARE: f64 = 0.75;

/// Shortest retry-after time of a refusal.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Longest retry-after time of a refusal; callers rarely wait longer.
pub(crate) const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Time constant of the average of a tier's arriving work, in seconds; shorter than the bursts it has to follow.
pub(crate) const ARRIVAL_WINDOW_S: f64 = 1.5;

/// Smallest share of the slots that is assumed to be available to a tier when its waiting time is estimated.
pub(crate) const MIN_CAPACITY_SHARE: f64 = 0.05;

/// Number of crashes after which a whole request is refused.
pub(crate) const REQUEST_CRASHES: usize = 3;

/// Number of crashes after which a prompt segment may be refused.
pub(crate) const CONTENT_CRASHES: usize = 4;

/// Number of crashes from which requests with suspected content are sent one at a time.
pub(crate) const CRASHES_BEFORE_SERIALIZING: usize = 2;

/// Evidence from which content is refused, as the natural logarithm: a probability of 1 in 100 that it was being processed
/// at the crashes by chance.
pub(crate) const CONTENT_PROOF: f64 = 4.6;

/// Time after a crash until the owner takes it as evidence. By then, runs that were about to begin have begun.
pub(crate) const OWNER_CRASH_SETTLE: Duration = Duration::from_millis(300);

/// The same for a node that is not the owner, which learns by gossip what proved to be sound.
pub(crate) const OTHER_CRASH_SETTLE: Duration = Duration::from_millis(1_500);

/// Longest time for which a conclusion from the crashes stands while nothing new is learned.
pub(crate) const CONCLUSION_INTERVAL: Duration = Duration::from_millis(25);

/// Number of whole events after which the content of a run counts as sound. An upstream may have written a first one when
/// it crashes.
pub const SOUND_EVENTS: u32 = 2;

/// Breaks of runs at an upstream within this time belong to the same crash; it takes longer to start again.
pub(crate) const CRASH_MERGE_TIME: Duration = Duration::from_secs(1);

/// Longest time between two crashes of one moment.
pub(crate) const CRASH_MOMENT: Duration = Duration::from_millis(50);

/// Time before and after a crash within which other crashes of the service make it weaker evidence.
pub(crate) const SIMULTANEOUS_CRASHES: Duration = Duration::from_millis(150);

/// Time after the last crash from which one request with refused content is let through. A version on which everything
/// crashes is usually taken back within minutes, and until a trial shows it, the content of all requests is refused.
pub(crate) const FIRST_CONTENT_TRIAL: Duration = Duration::from_secs(15);

/// Longest time until such a trial.
pub(crate) const MAX_CONTENT_TRIAL: Duration = Duration::from_secs(8 * 3_600);

/// Shortest time between the crash of a trial and the crash before it.
pub(crate) const TRIAL_GAP: Duration = Duration::from_secs(10);

/// Time until the next trial, as a multiple of the time between the last two.
pub(crate) const TRIAL_GAP_FACTOR: i64 = 8;

/// How long a crash is remembered; longer than the longest time until a trial.
pub(crate) const CRASH_MEMORY: Duration = Duration::from_secs(24 * 3_600);

/// Largest number of remembered crashes, and of suspects of each; about 70 KB.
pub(crate) const MAX_CRASHES: usize = 64;
pub(crate) const MAX_SUSPECTS: usize = 64;

/// Largest number of crashes, and of cleared suspects, in one message to another node.
pub(crate) const MAX_CRASHES_SHARED: usize = 32;
pub(crate) const MAX_SOUND_SHARED: usize = 64;

/// Time by which a run's first event may be later than predicted before the next request with suspected content is sent.
pub(crate) const LATE_FIRST_EVENT: Duration = Duration::from_millis(500);

/// Retry-after time stated to the caller of a request with content that crashes upstreams.
pub(crate) const CRASHING_CONTENT_RETRY_AFTER: Duration = Duration::from_secs(15);

/// Largest number of refused requests that are remembered; about a megabyte.
pub(crate) const MAX_REFUSED_REMEMBERED: usize = 16_384;

/// Interval at which the accounts that are above their shares are found; some decisions of an owner that is full.
pub(crate) const SHARE_INTERVAL: Duration = Duration::from_millis(50);

/// Share by which an account may exceed what it is owed before its requests go behind others: single requests differ in
/// size.
pub(crate) const SHARE_TOLERANCE: f64 = 0.1;

/// Range of the weight of an account, as a multiple of the usual one: a quota that stands for no limit leaves something to
/// the others, and a small one still gets some.
pub(crate) const MIN_ACCOUNT_WEIGHT: f64 = 0.01;
pub(crate) const MAX_ACCOUNT_WEIGHT: f64 = 100.0;

/// Work below which what an account received is forgotten, in milliseconds of one slot.
pub(crate) const FORGOTTEN_WORK_MS: f64 = 1.0;

/// Time constant of the mean rate at which upstreams break off.
pub(crate) const BREAK_RATE_WINDOW: Duration = Duration::from_secs(10);

/// Number of upstreams that are compared for a copy; the best of a few random ones spreads copies evenly.
pub(crate) const COPY_CANDIDATES: usize = 16;

/// Factor by which a run of the lowest tier has to be likelier to be lost than one of the highest to be worth a copy.
pub(crate) const LOWEST_TIER_COPY_FACTOR: f64 = 4.0;

/// The same factor for runs that may be repeated elsewhere: without a copy they lose time but seldom the answer.
pub(crate) const REPEATABLE_COPY_FACTOR: f64 = 2.0;

/// Failure rate from which on an upstream gets no copies.
pub(crate) const MAX_COPY_FAILURE_RATE: f64 = 0.5;

/// Largest number of runs at an upstream that another one goes on at, per slot; the rest wait there for a slot.
pub(crate) const MAX_CONTINUED_PER_SLOT: u32 = 2;

/// Share of the permitted retries that one owner grants; the rest covers a change of owner.
pub(crate) const RETRY_BUDGET_USE: f64 = 0.7;

/// A network partition without a majority may use this share of the limits common to all nodes, multiplied by its
/// fraction of the nodes. Beside a majority, all such partitions together stay within an eighth of a quota, which the
/// quotas' tolerance covers.
pub(crate) const MINORITY_LIMIT_SHARE: f64 = 0.25;

/// Share of the quota tolerance that an owner uses at least. With a larger share, two changes of owner give accounts
/// with large quotas more than the tolerance.
pub(crate) const QUOTA_TOLERANCE_USE: f64 = 0.4;

/// Share of the quota tolerance with which an account begins at an owner that has no usage reports yet.
/// Six such owners within a window use less than a third of the tolerance. Without this credit, the first request of
/// an account after a start of all nodes would be refused.
pub(crate) const UNREPORTED_START_SHARE: f64 = 0.05;

/// Number of owners without usage reports within a window for which the tolerance has room, whatever the size of the
/// account's quota.
pub(crate) const UNREPORTED_STARTS_COVERED: f64 = 4.0;

/// Largest share of an account's quota that all partitions without a majority may grant together beside a majority that
/// uses the whole quota: they hold less than half of the nodes, and each grants [`MINORITY_LIMIT_SHARE`] of its fraction.
pub(crate) const ALL_MINORITIES_QUOTA_SHARE: f64 = MINORITY_LIMIT_SHARE / 2.0;

/// Window in which an upstream counts its rejections against the number that it bears.
pub(crate) const REJECTION_WINDOW: Duration = Duration::from_millis(1_100);

/// Time within which an owner usually learns that an upstream rejected a request; several round trips.
pub(crate) const REJECTION_REPORT_TIME: Duration = Duration::from_millis(25);

/// Share of the rejections that an upstream bears which all owners together use. The rest is for requests that were on
/// their way when the first of them was rejected.
pub(crate) const REJECTION_LIMIT_USE: f64 = 0.5;

/// Number of owners that may begin within [`REJECTION_WINDOW`] and share the rejections that [`REJECTION_LIMIT_USE`] leaves.
pub(crate) const OWNER_STARTS_COVERED: f64 = 4.0;

/// Longest time for which an upstream is assumed to go on working on a cancelled run. Most upstreams drop it at once.
pub(crate) const MAX_LINGERING_TIME: Duration = Duration::from_secs(1);

/// Assumed size of the prefix cache of an upstream whose engine is not configured, in tokens.
pub(crate) const DEFAULT_CACHE_TOKENS: u64 = 400_000;

/// Longest time after its predicted end for which a run is still counted when the report of its end was lost.
pub(crate) const LOST_RUN_GRACE: Duration = Duration::from_secs(30);

/// Additional time that a request may wait beyond its objective, as a multiple of the objective; in a burst, predicted
/// waits are off by about that much.
pub(crate) const EXTRA_WAIT_OBJECTIVES: f64 = 1.0;

/// How long the grant of a slot to a lower tier prevents the refusal of a higher one; the time of several completions.
pub(crate) const LOWER_TIER_GRANT_MEMORY: Duration = Duration::from_millis(250);

/// How long the runs of others at an upstream are counted after the upstream reported waiting requests; about the
/// duration of a run.
pub(crate) const FOREIGN_LOAD_MEMORY: Duration = Duration::from_millis(600);

/// Lowest rate at which a rate-limited upstream gets requests, in requests per second of all nodes together. Only
/// answers to such requests show when the limit is over.
pub(crate) const MIN_TRIAL_RATE_PER_S: f64 = 0.1;

/// Time after an entry node reported runs of another owner during which that owner may still grant slots; twice the
/// time in which all entry nodes learn who the owner is.
pub(crate) const OWNER_OVERLAP: Duration = Duration::from_secs(4);

/// Share of the upstreams' rate limits that an owner uses during [`OWNER_OVERLAP`], since the other owner may be using
/// them in full.
pub(crate) const OVERLAP_RATE_SHARE: f64 = 0.5;

/// Length of the burst that a rate-limited upstream may get, in seconds at the limited rate; spans several passes over
/// the queue.
pub(crate) const PACED_BURST_S: f64 = 0.1;

/// Share of the rate that a cold upstream bears at which an owner sends requests there. The rest covers requests that a
/// pause or a slow link held back and that arrive together.
pub(crate) const COLD_RATE_USE: f64 = 0.8;

/// Lowest rate at which a cold upstream gets requests, in requests per second. One that gets none never shows that it is
/// well.
pub(crate) const MIN_COLD_RATE_PER_S: f64 = 0.1;

/// Number of nodes that an upstream has to refuse at the same time to count as refusing all nodes.
pub(crate) const MIN_REFUSED_NODES: usize = 2;

/// Time after which the first request after a back-off or a rejection counts as accepted if the upstream has not refused
/// it; several round trips.
pub(crate) const BACK_OFF_PROBE_TIME: Duration = Duration::from_millis(250);

/// How long the notices of an upstream are kept after the latest one, if the upstream has left the registry or none of
/// them applies any more.
pub(crate) const NOTICE_MEMORY: Duration = Duration::from_secs(60);

/// Largest number of upstream notices in one message to another node; about 4 KB.
pub(crate) const MAX_NOTICES_SHARED: usize = 64;

/// Largest random increase of the placement cost at a node that sees no majority, as a share of the cost. Without it,
/// many such nodes would all choose the same upstream.
pub(crate) const MINORITY_COST_SPREAD: f64 = 1.0;

/// An upstream is clearly faster than another if its prefill time per token is below this share of the other's.
pub(crate) const CLEARLY_FASTER_RATIO: f64 = 0.7;

/// Largest number of waiting requests that one pass over the queue skips because no free upstream suits them; bounds
/// the work of an owner with hundreds of waiting requests.
pub(crate) const MAX_SKIPPED_REQUESTS: usize = 24;

/// Largest number of upstreams that are all compared for a request; about 0.1 ms of work.
pub(crate) const SMALL_POOL_UPSTREAMS: usize = 256;

/// Number of upstreams with free slots that are compared for a request in a larger pool. The best of 64 drawn at random
/// is among the best 5 in 100 with a probability of 0.96.
pub(crate) const MAX_CANDIDATES: usize = 64;

/// Number of upstreams that are examined to find that many. If none of them has a free slot, all are examined.
pub(crate) const MAX_PROBES: usize = 512;

/// Time for which the mean speed of a large pool is used before it is computed again, per upstream; keeps that work
/// below one part in a hundred of a core, however many upstreams there are.
pub(crate) const MEAN_SPEED_LIFETIME_PER_UPSTREAM: Duration = Duration::from_micros(10);

/// Interval at which a large pool looks for runs whose end was never reported.
pub(crate) const RUN_SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest time between two sorts of the queue, and so the precision with which requests become late.
pub(crate) const QUEUE_SORT_INTERVAL: Duration = Duration::from_millis(20);

/// Share of the permitted exposure that canaries use; the rest is for the switch at the end of the roll-out.
pub(crate) const ROLLOUT_CANARY_USE: f64 = 0.35;

/// Part of [`RolloutRules::exposed_share`](crate::RolloutRules::exposed_share) that canaries and the switch use
/// together. The rest covers requests that are counted late, and owners that do not know of one another.
pub(crate) const ROLLOUT_EXPOSURE_USE: f64 = 0.9;

/// Part of [`RolloutRules::exposed_slack`](crate::RolloutRules::exposed_slack) that canaries and the switch use
/// together.
pub(crate) const ROLLOUT_SLACK_USE: f64 = 0.3;

/// Number of requests over which the canaries' part of the exposed slack becomes available.
pub(crate) const ROLLOUT_SLACK_REQUESTS: f64 = 500.0;

/// Largest share of a route's requests that are canaries.
pub(crate) const ROLLOUT_MAX_ROUTE_SHARE: f64 = 0.3;

/// Largest number of upstreams of the new version that get canaries: enough that a few slow ones among them do not
/// look like a slow version, and few enough that each gets several canaries.
pub(crate) const ROLLOUT_CANARY_UPSTREAMS: usize = 24;

/// Longest time for which all requests go to the new version before the roll-out is completed.
pub(crate) const ROLLOUT_MAX_SWITCH: Duration = Duration::from_millis(1_500);

/// Time before the end of the order that is reserved for writing the decision.
pub(crate) const ROLLOUT_SETTLE_MARGIN: Duration = Duration::from_millis(300);

/// Shortest time between two evaluations of a roll-out's evidence.
pub(crate) const ROLLOUT_EVALUATION_INTERVAL: Duration = Duration::from_millis(50);

/// Length of the window of the new version's recent runs; at its end they are counted from zero again.
pub(crate) const ROLLOUT_RECENT_WINDOW: Duration = Duration::from_secs(3);

/// Largest probability that one comparison of rates rejects a good version.
pub(crate) const ROLLOUT_FALSE_ALARM: f64 = 2e-4;

/// Ratio of the durations up to which a version does not count as slower.
pub(crate) const ROLLOUT_MIN_SLOWDOWN: f64 = 1.5;

/// Shorter durations are compared as if they took this long, in milliseconds: no caller notices the difference.
pub(crate) const ROLLOUT_MIN_COMPARED_MS: f64 = 5.0;

/// Standard deviations by which the mean durations have to differ if the spread of single durations dominates.
pub(crate) const ROLLOUT_SLOWDOWN_DEVIATIONS: f64 = 4.5;

/// Like [`ROLLOUT_SLOWDOWN_DEVIATIONS`], if the spread among upstreams dominates. It is larger because only few
/// upstreams of the new version are tried, and because slow upstreams of the old version get fewer requests.
pub(crate) const ROLLOUT_UPSTREAM_DEVIATIONS: f64 = 6.0;

/// Number of ended runs, including failures, that a version needs before it can be evaluated.
pub(crate) const ROLLOUT_MIN_ANSWERS: f64 = 30.0;

/// Number of ended runs that the new version needs on each route where the old version has at least
/// [`ROLLOUT_MIN_ANSWERS`].
pub(crate) const ROLLOUT_MIN_ROUTE_ANSWERS: f64 = 8.0;

/// Time for which a software version counts after its last upstream left, because a caller may still resume a stream that
/// began there. Longer than callers usually wait for a stream.
pub(crate) const VERSION_MEMORY: Duration = Duration::from_secs(30);

/// Longest time for which a stream may be resumed, whatever its caller states. One caller with a deadline of a day would otherwise
/// keep a version that has left among the recent ones for as long.
pub(crate) const MAX_STREAM_LIFETIME: Duration = Duration::from_secs(600);

/// Maximum number of services without upstreams whose recent software versions are remembered.
pub(crate) const MAX_FORMER_SERVICES: usize = 1_024;

/// Time for which the version of a stream is remembered after the stream was relayed to its end.
pub(crate) const COMPLETED_STREAM_LIFETIME: Duration = Duration::from_secs(3);

/// Maximum number of streams whose versions are remembered; about 6 MB.
pub(crate) const MAX_STREAM_RECORDS: usize = 100_000;

/// Interval at which streams that can't be resumed any more are dropped.
pub(crate) const STREAM_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Retry-after time stated to the caller of a stream whose version is not known. Another node may know it, or a new owner
/// soon learns it.
pub(crate) const UNKNOWN_STREAM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long upstreams of a version for which no order is known get no requests; the order may become known a moment
/// later than its upstreams.
pub(crate) const UNORDERED_VERSION_HOLD: Duration = Duration::from_millis(1_500);

/// Time after its predicted end from which a run counts as failed in the comparison of two versions.
pub(crate) const OVERDUE_AFTER: Duration = Duration::from_secs(8);
