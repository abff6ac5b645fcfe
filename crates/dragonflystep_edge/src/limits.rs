//! Constants of an edge node: timeouts, intervals, sizes and counts, each with its unit and the reason for its
//! value.

use std::time::Duration;

/// Share of an upstream's keep-alive time during which an idle connection to it is reused. The rest covers the
/// transit time and an inaccurate clock.
pub(crate) const USABLE_KEEP_ALIVE_SHARE: f64 = 0.7;

/// Keep-alive time assumed for an upstream that does not state one.
pub(crate) const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(3);

/// Longest keep-alive time that counts. Connections that are idle for longer are rarely needed again.
pub(crate) const MAX_KEEP_ALIVE: Duration = Duration::from_secs(600);

/// Maximum number of idle connections kept per upstream; about as many as requests run there at once.
pub(crate) const MAX_IDLE_CONNECTIONS: usize = 8;

/// Rejections after which a connection to an upstream is closed, since it remembers the rejected requests.
pub(crate) const MAX_REJECTIONS_PER_CONNECTION: usize = 64;

/// Mean time between two gossip exchanges with a neighbour. Nodes of a large system wait twice as long.
pub(crate) const EXCHANGE_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of a gossip exchange. It allows for a slow machine, which takes several times as long as usual to
/// answer.
pub(crate) const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(350);

/// Maximum number of changed list entries that are piggybacked on a gossip exchange, about 4 KB. Larger changes are
/// fetched.
pub(crate) const MAX_PIGGYBACKED: usize = 16;

/// Time within which a node that called pushes the changes that the called node lacks; several round trips.
pub(crate) const PUSH_WAIT: Duration = Duration::from_millis(200);

/// Size in bytes of the pieces in which a list is fetched: 55 ms of a link at 3 Mbit/s, so that gossip exchanges
/// get through between two pieces.
pub(crate) const LIST_PIECE_BYTES: usize = 20 << 10;

/// Timeout for fetching one such piece: twice the time that it takes at 0.5 Mbit/s.
pub(crate) const LIST_PIECE_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum number of calls for one piece of a list. Then the fetch is given up, and a later exchange may start one
/// from another node.
pub(crate) const MAX_LIST_PIECE_TRIES: u32 = 2;

/// Maximum number of encoded changes per list that are cached for nodes which fetch them. A fetch takes about a
/// second, and the fastest series of changes makes several versions a second.
pub(crate) const MAX_CACHED_CHANGES: usize = 8;

/// Largest number of nodes among which every node exchanges digests with every other one. In larger systems a node
/// does so with a few neighbours and the owners.
pub(crate) const SMALL_SYSTEM_NODES: usize = 12;

/// Number of neighbours that each node of a large system probes.
pub(crate) const LARGE_SYSTEM_NEIGHBOURS: usize = 4;

/// How long a reported suspicion stays valid; longer than two gossip exchanges.
pub(crate) const SUSPICION_DURATION: Duration = Duration::from_millis(1_500);

/// Time window of contacts: nodes that called an owner within it count as visible when the owner grants quotas.
/// Longer than the longest time between two gossip exchanges (0.96 s).
pub(crate) const RECENT_CONTACT_WINDOW: Duration = Duration::from_millis(1_200);

/// Lower bound of the share of that window for which a node that has just started counts as listening. It bounds
/// the factor by which the node scales its contacts up.
pub(crate) const MIN_CONTACT_WINDOW_SHARE: f64 = 0.1;

/// Time for which a node must not have contacted an owner before the owner accepts others' suspicions of it. Longer
/// than the longest time between two gossip exchanges (0.96 s), so that a running node has called in the meantime.
pub(crate) const MIN_SUSPECT_SILENCE: Duration = Duration::from_millis(1_200);

/// Time for which the calls of a node have to state that the ones before them failed until this counts. A call from before
/// the end of a cut may arrive after it; longer than the longest time between two gossip exchanges (0.96 s), so that a node
/// that gets answers again has said so in the meantime.
pub(crate) const MIN_CALLS_FAILING: Duration = Duration::from_millis(1_200);

/// Time in which nodes detect that their owner has failed and call the next one: one gossip exchange.
pub(crate) const OWNER_FAILOVER_TIME: Duration = Duration::from_millis(1_000);

/// Number of suspicions refuted within [`SUSPICION_DURATION`] from which an owner concludes that a network partition
/// has healed. More than the number of nodes that usually restart together.
pub(crate) const REFUTATIONS_AFTER_PARTITION: usize = 3;

/// A node that got no answer from a preferred owner for this long was cut off from it, and what it believes of other
/// nodes may be out of date.
pub(crate) const MIN_OWNER_CUT_OFF: Duration = Duration::from_millis(1_500);

/// Delay of a timer from which on a node concludes that it was paused. A busy machine delays timers by less.
pub(crate) const MIN_DETECTED_PAUSE: Duration = Duration::from_millis(500);

/// Silence of an owner after which a node with a request waiting there sends the owner a probe.
pub(crate) const OWNER_PROBE_DELAY: Duration = Duration::from_millis(80);

/// Timeout of that probe. If it is not answered, the slot is requested from the next owner.
pub(crate) const OWNER_PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum number of owners from which a slot is requested over the network before the node decides by itself.
pub(crate) const MAX_OWNERS_ASKED: usize = 3;

/// Number of nodes that get copies of what the owner knows of streams. The owner, all of them and the entry node of a stream
/// rarely fail at once.
pub(crate) const STREAM_COPIES: usize = 3;

/// Time for which the owner collects streams before it sends copies. Shorter than the usual time to the first event, before
/// which a stream need not be known.
pub(crate) const STREAM_COPY_DELAY: Duration = Duration::from_millis(25);

/// Time for which the owner collects streams before the platform keeps them. A call costs money; what is not kept yet is lost
/// only if all nodes fail, and most such streams have no event yet.
pub(crate) const STREAM_KEEPING_DELAY: Duration = Duration::from_millis(100);

/// Time after which a node that is not the owner checks that the platform keeps a change of versions. Upstreams of a version without
/// an order get their first requests after 1.5 s.
pub(crate) const VERSION_CHECK_DELAY: Duration = Duration::from_millis(700);

/// Maximum number of streams that the platform keeps in one write; some 12 KB.
pub(crate) const MAX_STREAMS_PER_WRITE: usize = 1_000;

/// Longest time for which a resumed stream waits until the owner has read what the platform keeps of streams; many times what
/// the platform takes for an answer.
pub(crate) const RESTORE_PATIENCE: Duration = Duration::from_millis(300);

/// Interval at which the owner processes its queue while requests wait there.
pub(crate) const BUSY_TICK: Duration = Duration::from_millis(25);

/// Interval at which the owner processes its queue while no request waits.
pub(crate) const IDLE_TICK: Duration = Duration::from_millis(500);

/// Time after the stop signal during which new requests are still served. Longer than callers keep a list of
/// addresses, so that no caller is refused before it can have learned that the node is leaving.
pub(crate) const STOP_ACCEPT_TIME: Duration = Duration::from_millis(2_800);

/// Time for which a stopping node waits for the first request on an open connection once it accepts no more of them.
/// Callers send a request as soon as their connection is open.
pub(crate) const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(500);

/// Time reserved at the end of the grace period for the last steps of the shutdown.
pub(crate) const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Time after a request's deadline during which the upstream may still answer that the deadline has passed.
pub(crate) const LATE_ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// Retry-after time stated by a node that is not ready yet or is stopping. It is short because another node can
/// serve the request.
pub(crate) const OTHER_NODE_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Retry-after time stated to a request that no data centre may process. Only an operator can change that.
pub(crate) const NO_REGION_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Share of a VM's memory that all connections together may hold. The rest is for the process itself, its lists and the
/// buffers of the operating system.
pub(crate) const HELD_MEMORY_SHARE: f64 = 0.35;

/// Share of that memory that the bodies of requests may use.
pub(crate) const BODY_MEMORY_SHARE: f64 = 0.5;

/// Share of that memory for the chunks of streams that wait behind others of their stream.
pub(crate) const QUEUED_CHUNK_MEMORY_SHARE: f64 = 0.2;

/// Share of that memory for long answers. The rest is for short ones and for the next chunk of each stream.
pub(crate) const LONG_ANSWER_MEMORY_SHARE: f64 = 0.2;

/// Length up to which a whole answer is short, in bytes. Short answers need little memory, so that they do not wait for long
/// ones.
pub(crate) const SHORT_ANSWER_BYTES: usize = 64 << 10;

/// Interval at which a long answer that waits for memory checks whether another one has to be given up.
pub(crate) const ANSWER_ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Unit in which held memory is counted, in bytes. Shorter chunks count as one unit, which covers their overhead.
pub(crate) const HELD_UNIT_BYTES: usize = 1 << 10;

/// Maximum number of bytes of a whole answer that are passed to the connection at once.
pub(crate) const ANSWER_PIECE_BYTES: usize = 16 << 10;

/// Retry-after time stated by a node that holds too much memory; about the duration of a run.
pub(crate) const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Memory of a VM whose settings do not state it, in bytes.
pub(crate) const DEFAULT_MEMORY_BYTES: usize = 160 << 20;

/// Maximum number of buffered chunks of a stream to a slow caller.
pub(crate) const STREAM_BUFFER_CHUNKS: usize = 64;

/// Maximum number of slots that are requested for one request. It bounds loops, not the number of attempts.
pub(crate) const MAX_SLOT_REQUESTS: u32 = 6;

/// Time limit of a request whose caller states none.
pub(crate) const DEFAULT_TIME_LEFT: Duration = Duration::from_secs(30);

/// Maximum length of the body of a plain answer, and of one event of a stream, in bytes. A longer one is treated as a broken
/// answer.
pub(crate) const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Maximum length of the head of an upstream's answer, in bytes; several times that of the heads of requests. It is also the
/// size to which the read buffer of a connection may grow.
pub(crate) const MAX_ANSWER_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of header lines of a request or an answer. The length of a head is what limits it; the HTTP library reserves
/// memory for each line.
pub(crate) const MAX_HEADER_LINES: usize = 1_024;

/// Maximum number of bytes that a connection to an upstream delivers while nothing of an answer reaches its reader. Larger than
/// a head and the bytes of the body that are read along with it.
pub(crate) const MAX_UNDELIVERED_BYTES: usize = 4 * MAX_ANSWER_HEAD_BYTES;

/// Maximum length of a body that is read only so that its connection can be used again, and of an answer to a call of the node
/// itself, in bytes. A new connection costs less than a longer body.
pub(crate) const MAX_SHORT_ANSWER_BYTES: usize = 64 << 10;

/// Interval at which an owner logs a summary of its state; about the usual duration of a stream.
pub(crate) const SUMMARY_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of failed nodes, besides the neighbours, that are tried again in each round of exchanges. A data
/// centre has more nodes than that, but a node calls few others besides its neighbours.
pub(crate) const MAX_FAILED_RETRIED: usize = 6;

/// Number of owners, the first by rank, with which each node of a large system exchanges digests even if they seem
/// to have failed.
pub(crate) const PREFERRED_OWNERS: usize = 2;

/// Exponent of a node's CPU share in its weight for ranking owners. Among machines with 0.12 and 0.5 of a core, it
/// gives nearly all services to the larger ones. An owner on a small machine stalls during a burst, and ownership
/// then moves in the middle of that burst.
pub(crate) const OWNER_WEIGHT_POWER: i32 = 5;

/// Number of nodes of a large system that follow the platform's documents in addition to the owners. It is large
/// enough that some still follow them when a third of the nodes lose the platform at once.
pub(crate) const PLATFORM_FOLLOWERS: usize = 8;

/// Maximum time that the preferred owners wait for changes of the registry, so that all nodes learn through them
/// whether the platform answers.
pub const OWNER_FEED_WAIT: Duration = Duration::from_millis(1_000);

/// Time without an answer of the platform to any of the nodes that this one hears of, after which more nodes follow
/// the platform. It is the sum of the owners' wait ([`OWNER_FEED_WAIT`]) and two gossip exchanges, 0.8 s apart
/// without jitter. Together with the time between two checks (0.75 s) it is short enough that a leaving upstream is
/// known within 3 s if the platform refuses all the nodes that followed it a second before.
pub(crate) const MAX_PLATFORM_SILENCE: Duration = Duration::from_millis(2_600);

/// The platform counts as available if it has answered some node for this long without a gap of
/// [`MAX_PLATFORM_SILENCE`]. Longer than the silence after which its entries expire plus the time until they are
/// written again.
pub(crate) const MIN_PLATFORM_UPTIME: Duration = Duration::from_secs(10);

/// Factor by which the number of followers rises after [`MAX_PLATFORM_SILENCE`]. It is large enough that nearly
/// always one of them is served even where the platform refuses most nodes.
pub(crate) const EXTRA_FOLLOWERS_FACTOR: usize = 3;

/// Key under which the followers of the platform are ranked, in the way that owners are.
pub(crate) const FOLLOWERS_KEY: &str = "platform followers";

/// Timeout for asking an upstream whether it takes requests: many round trips, and short compared with the
/// objectives of callers. A full upstream does not answer in time and is not used.
pub(crate) const UPSTREAM_HEALTH_TIMEOUT: Duration = Duration::from_millis(100);

/// How long an upstream's answer to that question stays valid. This time and the time after which a node is
/// isolated are together below the 2 to 3 s after which a leaving upstream may receive no requests.
pub(crate) const UPSTREAM_HEALTH_LIFETIME: Duration = Duration::from_millis(400);

/// Interval at which a node checks how many other nodes are visible. Together with [`MAX_PEER_SILENCE`] it lets a
/// node notice within 2 s that it is cut off.
pub(crate) const VISIBILITY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A node that no other node has answered for this long is cut off: it follows the platform itself and counts only
/// itself as visible. Longer than the longest time between two gossip exchanges (0.96 s) plus the timeout of each,
/// and short enough that the node learns of a leaving upstream within the 2 to 3 s after which nothing may be sent
/// there.
pub(crate) const MAX_PEER_SILENCE: Duration = Duration::from_millis(1_500);

/// Key under which the owner of all services is ranked.
pub(crate) const OWNERS_KEY: &str = "services";

/// Time after which a direct connection to an upstream that is still being opened is raced by a tunnel. Many round trips
/// within a region, and short compared with the objectives of callers.
pub(crate) const TUNNEL_RACE_DELAY: Duration = Duration::from_millis(80);

/// Timeout for opening a tunnel: the timeout of a connection, which the forwarder may use up, and several round trips.
pub(crate) const TUNNEL_TIMEOUT: Duration = Duration::from_millis(330);

/// Maximum number of nodes that are asked for a tunnel one after the other. At least one of them is outside of this
/// node's data centre if there are others.
pub(crate) const MAX_FORWARDERS_TRIED: usize = 4;

/// Tunnels per second that a node opens because direct connections fail or take long, and how many of them at once. A
/// node that is cut off from all upstreams needs two before it counts as cut off, after which tunnels are not limited.
pub(crate) const FALLBACK_TUNNELS_PER_S: f64 = 4.0;
pub(crate) const FALLBACK_TUNNEL_BURST: f64 = 6.0;

/// Number of upstreams that a node can't connect to, although others do, from which it counts as cut off from all.
pub(crate) const BLOCKED_PATHS_WHEN_CUT_OFF: usize = 2;

/// Time for which an upstream that is checked directly may stay silent before it is also checked through another node.
/// Longer than the pauses of a packet that is sent again.
pub(crate) const TUNNEL_CHECK_DELAY: Duration = Duration::from_millis(250);

/// Time between two nodes through which an upstream is checked.
pub(crate) const TUNNEL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for checking an upstream through one node.
pub(crate) const TUNNEL_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout for checking an upstream directly and through other nodes. With [`UPSTREAM_SILENCE`] it lets a node notice
/// within 2 s that it is cut off.
pub(crate) const PATH_CHECK_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout for checking a path after a connection broke, for which the report on the run waits. Many round trips within a
/// region.
pub(crate) const BREAK_CHECK_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval at which a node that reaches upstreams only through others tries a direct connection.
pub(crate) const DIRECT_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Number of other upstreams that are checked after a connection broke, if nobody can tell why. One of them may have
/// stopped too.
pub(crate) const OTHERS_CHECKED: usize = 2;

/// Number of upstreams to which direct connections are tried at each [`VISIBILITY_CHECK_INTERVAL`], whether or not
/// requests need them.
pub(crate) const MAX_PROBES_AT_ONCE: usize = 2;

/// How long an answer over a direct connection proves that a node reaches upstreams.
pub(crate) const PATH_PROOF_TIME: Duration = Duration::from_secs(2);

/// Time for which a node that could not open a tunnel is not asked again.
pub(crate) const FORWARDER_AVOIDANCE: Duration = Duration::from_secs(1);

/// Silence of all upstreams, while requests wait at [`BLOCKED_PATHS_WHEN_CUT_OFF`] of them, after which a node probes
/// whether it is cut off. Longer than the pauses of a stream.
pub(crate) const UPSTREAM_SILENCE: Duration = Duration::from_millis(500);

/// Largest number of tunnels that a node serves, as a share of the connections from callers that it accepts. Each tunnel
/// takes two descriptors.
pub(crate) const MAX_TUNNEL_SHARE: f64 = 0.25;

/// Time without bytes after which a tunnel whose last bytes came from the upstream counts as idle when its forwarder
/// stops. Longer than the pauses of a stream.
pub(crate) const IDLE_TUNNEL_TIME: Duration = Duration::from_millis(1_000);

/// Interval at which a stopping forwarder checks whether a tunnel is idle.
pub(crate) const TUNNEL_STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time for which an upstream that broke off a stream may take to answer whether it still runs the request. The
/// caller waits meanwhile; a pause that is longer than usual is noticed, but worth less than the stream.
pub(crate) const STOP_RUN_TIMEOUT: Duration = Duration::from_millis(400);

/// How long an answer of another node that it does not reach an upstream counts for all streams that broke off there.
pub(crate) const DOWN_PROOF_TIME: Duration = Duration::from_millis(500);

/// Time for which a node remembers that it read that an upstream leaves. Nodes that the platform refuses may keep such an
/// upstream for as long as they are refused, and some seconds more.
pub(crate) const LEFT_UPSTREAM_MEMORY: Duration = Duration::from_secs(600);

/// Maximum number of such upstreams; several times the number of upstreams of a large system.
pub(crate) const MAX_LEFT_UPSTREAMS: usize = 8_192;
