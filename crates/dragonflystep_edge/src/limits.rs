//! Constants of a node's drivers, each with its unit, and a reason where a reader would wonder.

use std::time::Duration;

/// Time to open a connection to an upstream; several round trips within a region, and well inside the
/// shortest objective.
pub(crate) const UPSTREAM_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Share of the time that an upstream keeps an unused connection during which it is used; the rest
/// covers the way there and a slow clock.
pub(crate) const KEPT_CONNECTION_SHARE: f64 = 0.7;

/// Time that a connection is kept whose upstream says nothing about it.
pub(crate) const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(3);

/// Unused connections kept for an upstream; as many as requests run there at once.
pub(crate) const MOST_IDLE_CONNECTIONS: usize = 8;

/// Time between two exchanges of views with a neighbour.
pub(crate) const EXCHANGE_INTERVAL: Duration = Duration::from_millis(400);

/// Time in which a neighbour has to answer an exchange; a slow machine takes several times the usual.
pub(crate) const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(350);

/// Changed entries of a list that are piggybacked on an exchange of views, some 4 KB; what is more is fetched.
pub(crate) const MAX_PIGGYBACKED: usize = 16;

/// Bytes of a list that a node asks another one for at a time: 55 ms of a link at 3 Mbit/s, so that exchanges
/// of views come through in between.
pub(crate) const LIST_PIECE_BYTES: usize = 20 << 10;

/// Time in which another node has to send such a piece: twice what 0.5 Mbit/s need.
pub(crate) const LIST_PIECE_TIMEOUT: Duration = Duration::from_millis(700);

/// Calls for one piece of a list before another node is tried.
pub(crate) const LIST_PIECE_TRIES: u32 = 2;

/// Changes of a list that are kept ready for nodes which fetch them; several versions a second in the worst
/// series of changes, for a fetch that takes about a second.
pub(crate) const LIST_ANSWERS_KEPT: usize = 8;

/// Up to this many nodes exchange views each with each; beyond it with some neighbours and the owners.
pub(crate) const SMALL_SYSTEM_NODES: usize = 12;

/// Neighbours that a node of a large system checks.
pub(crate) const LARGE_SYSTEM_NEIGHBOURS: usize = 4;

/// How long a node counts as unavailable after others said so; longer than two exchanges.
pub(crate) const SUSPICION_HOLDS: Duration = Duration::from_millis(1_500);

/// Time within which the nodes have called an owner that counts them to its side when it gives out quotas; longer than the
/// longest time between two exchanges of views (0.96 s).
pub(crate) const HEARD_RECENTLY: Duration = Duration::from_millis(1_200);

/// Share of that time for which a node that has just started counts as listening at least.
pub(crate) const SHORTEST_HEARING: f64 = 0.1;

/// Silence of a node towards an owner from which on what others say of it counts; longer than the longest time between
/// two exchanges (0.96 s), so that a node which runs has called meanwhile.
pub(crate) const SUSPECT_SILENCE: Duration = Duration::from_millis(1_200);

/// Time in which nodes that called another owner find out that it is gone and call the next one: an exchange of views.
pub(crate) const NEW_OWNER_CALLED: Duration = Duration::from_millis(1_000);

/// Suspects that are heard again within [`SUSPICION_HOLDS`] by which an owner sees that a cut has ended; more than the nodes
/// that restart together on a usual day.
pub(crate) const REFUTED_BY_A_HEAL: usize = 3;

/// Who was not answered by a first owner for this long was cut off, and what it believes of others is of that time.
pub(crate) const CUT_OFF_FROM_OWNER: Duration = Duration::from_millis(1_500);

/// Lateness of a timer by which a node sees that it was paused; a busy machine is late by less.
pub(crate) const PAUSE_NOTICED: Duration = Duration::from_millis(500);

/// While a request waits at an owner that has been silent this long, the owner is asked for a sign.
pub(crate) const OWNER_SILENCE: Duration = Duration::from_millis(80);

/// Time in which an owner has to give that sign; then the next owner is asked.
pub(crate) const OWNER_SIGN_TIMEOUT: Duration = Duration::from_millis(200);

/// Owners that are asked over the network before the node decides alone.
pub(crate) const MOST_OWNERS_ASKED: usize = 3;

/// Time between two looks at the owner's queue while something waits there.
pub(crate) const BUSY_TICK: Duration = Duration::from_millis(25);

/// Time between two looks at the owner's queue while nothing waits.
pub(crate) const IDLE_TICK: Duration = Duration::from_millis(500);

/// Time after the signal to stop during which new requests are served; longer than callers keep a list
/// of addresses, so that nobody is refused who could not know.
pub(crate) const STOP_SERVES_NEW: Duration = Duration::from_millis(2_800);

/// Time kept free at the end of the grace period.
pub(crate) const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Time that an upstream has beyond the caller's own to say itself that the time ran out.
pub(crate) const LATE_ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// Time to come back that a node tells which can't serve yet, or is stopping: another one can.
pub(crate) const ELSEWHERE_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Pieces of a stream that wait for a slow caller.
pub(crate) const STREAM_PIECES: usize = 64;

/// Places asked for at most for one request; a bound on loops, not on attempts.
pub(crate) const MOST_PLACES_ASKED: u32 = 6;

/// Time that a caller has when it names none.
pub(crate) const DEFAULT_TIME_LEFT: Duration = Duration::from_secs(30);

/// Longest body of a plain answer, in bytes; a longer one is no answer of a plain call.
pub(crate) const LONGEST_PLAIN_ANSWER_BYTES: usize = 16 << 20;

/// Time between two log lines of what an owner believes; a stream's usual length.
pub(crate) const BELIEF_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Failed nodes beside the neighbours that are tried again at each exchange; a data centre of the deployments seen
/// has more nodes, but few of them are ever called by one that is no neighbour.
pub(crate) const MOST_FAILED_RETRIED: usize = 6;

/// Owners by rank with which each node of a large system exchanges views, seen or not.
pub(crate) const PREFERRED_OWNERS: usize = 2;

/// Power of a node's processor share in its weight as an owner: among machines of 0.12 and 0.5 of a core,
/// nearly all services go to the larger ones. An owner on a small machine stands still in a burst, and its
/// services change owners in the middle of it.
pub(crate) const OWNER_WEIGHT_POWER: i32 = 5;

/// Nodes of a large system that follow the platform's documents, beside the owners of services; enough
/// that some still do when a third of the nodes lose the platform at once.
pub(crate) const PLATFORM_FOLLOWERS: usize = 8;

/// Longest wait of the preferred owners for changes of the registry, so that all nodes hear whether the platform answers.
pub const OWNER_FEED_WAIT: Duration = Duration::from_millis(1_000);

/// When the platform answered nobody of whom a node hears for this long, more nodes follow it: the owners' wait, two
/// exchanges of views at most 0.8 s apart, and the way. With the time between two looks (0.75 s) short enough that
/// a leaving upstream is known within 3 s when the platform refuses all that followed it a second before.
pub(crate) const PLATFORM_UNHEARD: Duration = Duration::from_millis(2_600);

/// The platform counts as having been there if somebody has heard it for this long without such a gap: longer than the silence
/// after which entries lapse, with the time until they are written again.
pub(crate) const PLATFORM_UP: Duration = Duration::from_secs(10);

/// Followers then, as a multiple of the usual: one of them is nearly always served also where most nodes are refused.
pub(crate) const UNHEARD_FOLLOWERS_FACTOR: usize = 3;

/// Name by which these nodes are ranked, as owners of a service are.
pub(crate) const FOLLOWERS_KEY: &str = "platform followers";

/// Time in which an upstream has to say whether it takes requests; many round trips, and short beside the objectives of
/// callers. One that is full keeps the question waiting and is not used.
pub(crate) const UPSTREAM_HEALTH_TIMEOUT: Duration = Duration::from_millis(100);

/// How long what an upstream said of that counts: with the time after which a node is isolated, less than the
/// 2 to 3 s after which a leaving upstream may get nothing.
pub(crate) const UPSTREAM_HEALTH_HOLDS: Duration = Duration::from_millis(400);

/// Time between two looks at how much of the system a node sees; with the time after which others count as silent it
/// notices within 2 s that it is cut off.
pub(crate) const REACH_LOOK: Duration = Duration::from_millis(250);

/// A node that no other one answered for this long is cut off from them: it follows the platform itself, and sees no
/// majority. Longer than the longest time between two exchanges (0.96 s) with the time that each has; and short
/// enough that it hears of a leaving upstream within the 2 to 3 s after which nothing may be sent there.
pub(crate) const PEERS_SILENT: Duration = Duration::from_millis(1_500);

/// Name by which the owner of all services is ranked.
pub(crate) const OWNERS_KEY: &str = "services";
