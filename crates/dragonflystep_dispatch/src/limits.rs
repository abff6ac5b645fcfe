//! Constants of the decisions, each with its unit, and a reason where a reader would wonder.

use std::time::Duration;

/// Places of an upstream that does not say how many requests it runs at once; small enough for any engine.
pub(crate) const DEFAULT_SLOTS: u32 = 4;

/// Time to read one prompt token before anything was measured, in milliseconds; that of a current
/// four-accelerator engine.
pub(crate) const INITIAL_PREFILL_MS_PER_TOKEN: f64 = 0.02;

/// Time between two events of a stream before anything was measured, in milliseconds.
pub(crate) const INITIAL_MS_PER_EVENT: f64 = 18.0;

/// Duration of a plain call before anything was measured, in milliseconds.
pub(crate) const INITIAL_PLAIN_MS: f64 = 60.0;

/// Part of the time to the first event that does not depend on the prompt, in milliseconds: scheduling
/// of the engine and two ways over the network.
pub(crate) const FIRST_EVENT_BASE_MS: f64 = 20.0;

/// Weight of a new measurement in a mean; about seven measurements decide, a second of an engine's work.
pub(crate) const MEAN_WEIGHT: f64 = 0.15;

/// Prompts shorter than this, in tokens, say little about the reading speed.
pub(crate) const MIN_MEASURED_PROMPT_TOKENS: f64 = 300.0;

/// Prompt tokens that an engine reads in one step between two tokens of other requests; the usual
/// default of engines with chunked prefill.
pub(crate) const PREFILL_CHUNK_TOKENS: f64 = 1024.0;

/// Share of the permitted pause that a placement may predict; the rest covers what the prediction misses.
pub(crate) const PAUSE_HEADROOM: f64 = 0.9;

/// Failures in a row after which an upstream rests; two may be chance with one answer in seven failing.
pub(crate) const FAILURES_BEFORE_BACK_OFF: u32 = 4;

/// Share of a service's upstreams that may rest for failed answers at one time. When all of them fail part
/// of their answers, resting gains nothing and leaves no place for those who wait.
pub(crate) const MAX_SUSPENDED_SHARE: f64 = 0.34;

/// First rest of a failing upstream; a restart takes some seconds, a trial costs one request.
pub(crate) const INITIAL_BACK_OFF: Duration = Duration::from_millis(500);

/// Longest rest of a failing upstream.
pub(crate) const MAX_BACK_OFF: Duration = Duration::from_secs(4);

/// Rest after an upstream said that it is full; about the time of one answer's end at five places.
pub(crate) const REJECTION_BACK_OFF: Duration = Duration::from_millis(60);

/// Cost of an upstream that fails every request, in milliseconds of predicted time.
pub(crate) const FAILURE_PENALTY_MS: f64 = 2_000.0;

/// Share of a run's predicted length that counts as cost of its placement.
///
/// In a burst all places are taken while the engines still have computing power left, so that the time for which a
/// generation holds a place is what is scarce; engines differ several times in it. With a larger share, engines with
/// few places are late.
pub(crate) const RUN_COST_SHARE: f64 = 0.05;

/// Cost of an upstream in another data centre, in milliseconds: its round trip, and the priced bytes.
pub(crate) const OTHER_DATA_CENTRE_MS: f64 = 4.0;

/// Longest time a request waits in a queue, as a share of the time its caller gives it; leaves the
/// caller time for one more try elsewhere.
pub(crate) const MAX_WAIT_SHARE: f64 = 0.5;

/// The same for a request whose caller came back after a refusal.
pub(crate) const MAX_RETURNED_WAIT_SHARE: f64 = 0.75;

/// Shortest time to come back that a refusal tells.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Longest time to come back that a refusal tells; callers rarely wait longer.
pub(crate) const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Time over which arriving work of a tier is averaged, in seconds; shorter than the bursts it answers.
pub(crate) const ARRIVAL_WINDOW_S: f64 = 1.5;

/// Capacity that is always counted for a tier when its waiting time is estimated, as a share.
pub(crate) const MIN_CAPACITY_SHARE: f64 = 0.05;

/// Times that a request may break the upstream which runs it before it is refused.
pub(crate) const CRASHES_BEFORE_REFUSAL: u32 = 3;

/// How long a request that broke upstreams is remembered.
pub(crate) const CRASH_MEMORY: Duration = Duration::from_secs(120);

/// Requests that broke an upstream which are remembered at most.
pub(crate) const MAX_CRASH_SUSPECTS: usize = 4096;

/// Refused requests that are remembered at most, about a megabyte.
pub(crate) const MAX_REFUSED_REMEMBERED: usize = 16_384;

/// Share of the permitted retries that one owner gives out; the rest covers a change of owners.
pub(crate) const RETRY_BUDGET_USE: f64 = 0.7;

/// Share of an account's quota that nodes give out which see no majority of the members; all such parts
/// together stay within an eighth of the quota, which the tolerance covers.
pub(crate) const MINORITY_QUOTA_SHARE: f64 = 0.25;

/// Share of the tolerance of quotas that an owner uses at least; with more of it, two changes of owner give accounts
/// of large quotas more than the tolerance.
pub(crate) const QUOTA_TOLERANCE_USE: f64 = 0.4;

/// Share of the tolerance of quotas with which an account begins at an owner without reports of the time
/// before; six such owners within a window take less than a third of the tolerance. With nothing at all, the first
/// request of an account after a start of all nodes would be refused.
pub(crate) const UNREPORTED_START_SHARE: f64 = 0.05;

/// Such owners within a window that the tolerance covers for accounts of any size.
pub(crate) const UNREPORTED_STARTS_COVERED: f64 = 4.0;

/// Share of an account's quota that nodes which see no majority may give out together, at most: less than half
/// of the nodes, each part with the minority's share of its fraction.
pub(crate) const MINORITIES_QUOTA_SHARE: f64 = MINORITY_QUOTA_SHARE / 2.0;

/// Parts of prompts remembered for an upstream whose memory for prompts is not known, in tokens.
pub(crate) const DEFAULT_CACHE_TOKENS: u64 = 400_000;

/// Time after its predicted end at which a run of a lost report is no longer counted.
pub(crate) const LOST_RUN_GRACE: Duration = Duration::from_secs(30);

/// Time that a request may wait beyond its objective, in objectives: predictions of a wait are off by
/// about that much in a burst.
pub(crate) const LATE_WAIT_OBJECTIVES: f64 = 1.0;

/// How long a place given to a lower tier speaks against refusing a higher one; several ends of runs.
pub(crate) const SERVED_BELOW_MEMORY: Duration = Duration::from_millis(250);

/// How long requests of others at an upstream are counted after it said that some wait there; about a
/// run's length.
pub(crate) const FOREIGN_LOAD_MEMORY: Duration = Duration::from_millis(600);

/// Lowest rate at which an upstream gets requests that limits its rate, in requests a second of all nodes together; they show
/// when the limit is over.
pub(crate) const MIN_TRIAL_RATE_PER_S: f64 = 0.1;

/// Time after an entry has brought runs of another owner during which that one may still give out places: twice the time in
/// which all entries find out who the owner is.
pub(crate) const OWNER_OVERLAP: Duration = Duration::from_secs(4);

/// Share of rate limits that an owner uses meanwhile, beside one that uses them whole.
pub(crate) const OVERLAP_RATE_SHARE: f64 = 0.5;

/// Time over which a limited rate may be made up for, in seconds; several looks at the queue.
pub(crate) const PACED_BURST_S: f64 = 0.1;

/// Fewest nodes that an upstream has to refuse at a time to count as refusing all.
pub(crate) const MIN_REFUSED_NODES: usize = 2;

/// Time after which the first request after a rest counts as accepted if its upstream has not refused it; several round trips.
pub(crate) const BACK_OFF_PROBE_TIME: Duration = Duration::from_millis(250);

/// Time for which it is remembered what an upstream said of itself that is not listed any more, or that no longer holds.
pub(crate) const NOTICE_MEMORY: Duration = Duration::from_secs(60);

/// Notices of upstreams that one node passes on to another at once; some 4 KB.
pub(crate) const MAX_NOTICES_SHARED: usize = 64;

/// Spread of the costs of upstreams among the requests of a node that sees no majority, as a share: many
/// such nodes would otherwise all choose the same upstream.
pub(crate) const MINORITY_COST_SPREAD: f64 = 1.0;

/// An upstream is clearly faster than another if it needs less than this share of its time.
pub(crate) const CLEARLY_FASTER: f64 = 0.7;

/// Waiting requests that are passed over in one look at the queue because no free upstream suits them;
/// bounds the work of an owner with hundreds of requests waiting.
pub(crate) const MAX_PASSED_OVER: usize = 24;

/// Time for which the order of the queue stands; requests become late at this grain.
pub(crate) const QUEUE_ORDER_AGE: Duration = Duration::from_millis(20);

/// Share of the permitted exposure that canaries use up; the rest is for the switch at the end.
pub(crate) const ROLLOUT_CANARY_USE: f64 = 0.35;

/// Share of the permitted exposure that canaries and the switch use up together; the rest covers requests that are
/// counted late, and owners that do not know of one another.
pub(crate) const ROLLOUT_EXPOSURE_USE: f64 = 0.9;

/// The same of the requests that are permitted besides the share.
pub(crate) const ROLLOUT_SLACK_USE: f64 = 0.3;

/// Requests over which canaries use up their part of what is permitted besides the share.
pub(crate) const ROLLOUT_SLACK_REQUESTS: f64 = 500.0;

/// Largest share of a route's requests that are canaries.
pub(crate) const ROLLOUT_MAX_ROUTE_SHARE: f64 = 0.3;

/// Upstreams of the new version that get canaries, if there are more: enough that a few slow ones among them do not look
/// like a slow version, and few enough that each gets several.
pub(crate) const ROLLOUT_CANARY_UPSTREAMS: usize = 24;

/// Longest time for which all requests go to the new version before the order is completed.
pub(crate) const ROLLOUT_MAX_SWITCH: Duration = Duration::from_millis(1_500);

/// Time before the order's end in which the decision is written.
pub(crate) const ROLLOUT_SETTLE_MARGIN: Duration = Duration::from_millis(300);

/// Time between two looks at the evidence.
pub(crate) const ROLLOUT_JUDGE_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which the recent answers of the new version are counted from zero again.
pub(crate) const ROLLOUT_RECENT: Duration = Duration::from_secs(3);

/// How often each comparison of rates may take a good version for a bad one.
pub(crate) const ROLLOUT_FALSE_ALARM: f64 = 2e-4;

/// Factor of the durations below which a version is not slower.
pub(crate) const ROLLOUT_MIN_SLOWDOWN: f64 = 1.5;

/// Durations below which two versions are not told apart, in milliseconds: no caller notices the difference.
pub(crate) const ROLLOUT_MIN_COMPARED_MS: f64 = 5.0;

/// Standard deviations by which the durations have to differ, if they are known by the spread of single durations.
pub(crate) const ROLLOUT_SLOWDOWN_DEVIATIONS: f64 = 4.5;

/// The same, if they are known by the spread among upstreams, of which few were tried and the old version's slow ones less
/// often.
pub(crate) const ROLLOUT_UPSTREAM_DEVIATIONS: f64 = 6.0;

/// Answers of a version by which it can be judged.
pub(crate) const ROLLOUT_MIN_ANSWERS: f64 = 30.0;

/// The same on each route that has as many at the old version.
pub(crate) const ROLLOUT_MIN_ROUTE_ANSWERS: f64 = 8.0;

/// Time for which upstreams of a version get nothing that nobody has ordered yet: the order may be known a moment later
/// than its upstreams.
pub(crate) const UNORDERED_VERSION_HOLD: Duration = Duration::from_millis(1_500);

/// Time beyond its predicted end after which a run counts as failed in the comparison of two versions.
pub(crate) const OVERDUE_AFTER: Duration = Duration::from_secs(8);
