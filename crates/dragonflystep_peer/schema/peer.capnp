# Calls between nodes: requests for slots, reports of ended runs, and the gossip exchange of digests.
@0xc51be1c1a1a6b1f7;

struct Part { id @0 :UInt64; tokens @1 :UInt32; }

# Requests a slot at an upstream. Durations are in microseconds.
struct Ask {
  run @0 :UInt64;
  service @1 :Text;
  route @2 :Text;
  # Empty when the request has no account.
  account @3 :Text;
  quotaUnits @4 :UInt32;
  tier @5 :UInt16;
  objectiveLeftUs @6 :UInt64;
  timeLeftUs @7 :UInt64;
  # Longest pause between two events; 0 for a plain call.
  longestPauseUs @8 :UInt64;
  promptTokens @9 :UInt32;
  outputTokens @10 :UInt32;
  parts @11 :List(Part);
  attempt @12 :UInt32;
  avoid @13 :List(Text);
  fingerprint @14 :UInt64;
  dataCentre @15 :Text;
  # Data centres whose upstreams may run the request; all may if `isRestricted` is false.
  allowedDataCentres @16 :List(Text);
  isRestricted @17 :Bool;
  # The stream that the request begins or resumes; 0 if it may not be resumed.
  stream @18 :UInt64;
  # Time until the caller of the stream gives up, over all tries.
  callerTimeLeftMs @19 :UInt32;
  isResumed @20 :Bool;
  # For a resumed stream: the software version that began it; empty if the sender does not know it.
  streamVersion @21 :Text;
  # For a resumed stream: whether the sender saw several versions within the time in which a caller may come back.
  sawSeveralVersions @22 :Bool;
  # Keys of the prompt segments that other requests may share.
  sharedContent @23 :List(UInt64);
  # The upstream that holds a copy of the run's KV cache; empty without one.
  copyUpstream @24 :Text;
  # Whether the run goes on from the copy.
  isContinued @25 :Bool;
}

enum RefusalReason {
  overloaded @0; quotaExceeded @1; retryBudgetSpent @2; noUpstream @3; crashSuspect @4; streamVersionUnknown @5;
}

struct Verdict {
  union {
    granted :group { upstream @0 :Text; address @1 :Text; version @4 :Text; reportsBegin @5 :Bool; copyUpstream @6 :Text; copyAddress @7 :Text; }
    refused :group { reason @2 :RefusalReason; retryAfterUs @3 :UInt64; }
  }
}

enum RunOutcome {
  completed @0; failed @1; rejected @2; misdirected @3; unreachable @4; broken @5; cancelled @6;
  withheld @7;
}

struct Ended {
  run @0 :UInt64;
  service @1 :Text;
  outcome @2 :RunOutcome;
  hasFirstEvent @3 :Bool;
  toFirstEventUs @4 :UInt64;
  toEndUs @5 :UInt64;
  events @6 :UInt32;
}

struct RunningRun { ask @0 :Ask; upstream @1 :Text; runningForUs @2 :UInt64; }

# Load that an upstream reported.
struct UpstreamLoad { service @0 :Text; upstream @1 :Text; running @2 :UInt32; waiting @3 :UInt32; }

# Notice that an upstream gave about itself `ageUs` ago.
struct UpstreamNotice {
  service @0 :Text;
  upstream @1 :Text;
  ageUs @2 :UInt64;
  union {
    # Requests per second that it accepts from all nodes together.
    requestsPerS @3 :Float64;
    rateUnlimited @4 :Void;
    leaving @5 :Void;
    # It refused a request of `node`, and asked that node to send no further ones for `lastsUs` from then on.
    resting :group { node @6 :UInt32; lastsUs @7 :UInt64; }
    # It is cold for this long from then on; 0 if it is warm.
    coldForUs @8 :UInt64;
    # It fails if it has to reject more requests than this in a second, of all nodes together.
    rejectionsPerS @9 :Float64;
    rejectionsUnlimited @10 :Void;
  }
}

# Quota units that an account spent within a short time slice that ended `ageUs` ago.
struct SpentSlice { ageUs @0 :UInt64; units @1 :Float64; unitsGrantedByReceiver @2 :Float64; }

struct AccountSpending { account @0 :Text; slices @1 :List(SpentSlice); }

# What accounts spent through the reporting node within the last quota window, of which the report covers `coversUs`.
struct SpendingReport { node @0 :Text; coversUs @1 :UInt64; accounts @2 :List(AccountSpending); }

# Streams that began at one software version, and how long each of them may still be resumed.
struct VersionStreams { version @0 :Text; streams @1 :List(UInt64); lifetimesMs @2 :List(UInt32); }

# A crash of an upstream, with keys of the content of the runs there that it had not begun to answer.
struct UpstreamCrash {
  service @0 :Text;
  upstream @1 :Text;
  address @2 :Text;
  ageUs @3 :UInt64;
  segments @4 :List(UInt64);
  requests @5 :List(UInt64);
}

# Content with which an upstream last began to answer `ageUs` ago.
struct SoundContent { content @0 :UInt64; ageUs @1 :UInt64; }

struct CrashEvidence { crashes @0 :List(UpstreamCrash); sound @1 :List(SoundContent); }

# Summary of a node's state with the versions of its lists. Changes of a list are included only if the receiver's
# version is older and the changes are few.
struct Digest {
  node @0 :Text;
  catalogueVersion @1 :UInt64;
  # Encoded changes of the catalogue.
  catalogue @2 :Data;
  registryVersion @3 :UInt64;
  registry @4 :Data;
  membersVersion @5 :UInt64;
  members @6 :Data;
  # Nodes that take no requests, because they do not answer the sender or are about to stop.
  unavailable @7 :List(Text);
  isLeaving @8 :Bool;
  # Time since the platform last answered this node, or another node that reported this to it.
  platformHeardUs @9 :UInt64;
  # Encoded roll-outs that the node knows of; empty when there are none.
  rollouts @10 :Data;
  # Notices that upstreams gave about themselves; sent only in answers, since only there can the calling node bound
  # their age.
  notices @11 :List(UpstreamNotice);
  # Time for which the platform has been answering without a longer gap, counting answers to this node and answers
  # that other nodes reported to it. In milliseconds, so that it fits in 32 bits and does not enlarge the message.
  platformUpMs @12 :UInt32;
  # Evacuated data centres; absent if the sender knows of none and has seen none in the receiver's digest.
  evacuations @13 :Evacuations;
  # What the node knows of content that crashes upstreams; sent only in answers to nodes that know other things.
  crashes @14 :CrashEvidence;
  # A number that differs between nodes which know different things of it; 0 for a node that knows nothing.
  crashesVersion @15 :UInt64;
}

# The whole set of evacuated data centres, with its version.
struct Evacuations { version @0 :UInt64; dataCentres @1 :List(Text); }

interface Peer {
  ask @0 (ask :Ask) -> (verdict :Verdict);
  ended @1 (ended :Ended) -> ();
  adopt @2 (runs :List(RunningRun)) -> ();
  exchange @3 (digest :Digest) -> (digest :Digest);
  loadObserved @4 (load :UpstreamLoad) -> ();
  spent @5 (report :SpendingReport) -> ();
  # Returns one piece of the changes that a node with the given version of a list lacks; version 0 requests the whole
  # list.
  listSince @6 (piece :ListPieceAsk) -> (piece :ListPiece);
  noticed @7 (notices :List(UpstreamNotice), crashes :CrashEvidence) -> ();
  # Reports at which software versions streams began.
  streamsBegan @8 (versions :List(VersionStreams)) -> ();
}

# Versioned lists that nodes replicate to one another.
enum ListName { catalogue @0; registry @1; members @2; }

# Requests bytes from an offset on. `leadsTo` is the target version of the pieces fetched so far, and 0 for the first
# piece.
struct ListPieceAsk { version @0 :UInt64; leadsTo @1 :UInt64; offset @2 :UInt32; list @3 :ListName; }

# One piece of encoded changes whose total size is `totalBytes`; empty if the requesting node is up to date, or the
# answering node cannot provide the changes.
struct ListPiece { leadsTo @0 :UInt64; totalBytes @1 :UInt32; bytes @2 :Data; }
