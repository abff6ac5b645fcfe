# Calls between nodes.
@0xc51be1c1a1a6b1f7;

struct Part { id @0 :UInt64; tokens @1 :UInt32; }

# A request for a place at an upstream. Durations are in microseconds.
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
  # 0 for a plain call.
  longestPauseUs @8 :UInt64;
  promptTokens @9 :UInt32;
  outputTokens @10 :UInt32;
  parts @11 :List(Part);
  attempt @12 :UInt32;
  avoid @13 :List(Text);
  fingerprint @14 :UInt64;
  dataCentre @15 :Text;
}

enum RefusalReason { overloaded @0; quotaExceeded @1; retryBudgetSpent @2; noUpstream @3; crashSuspect @4; }

struct Verdict {
  union {
    granted :group { upstream @0 :Text; address @1 :Text; }
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

# What an upstream said of its load.
struct UpstreamLoad { service @0 :Text; upstream @1 :Text; running @2 :UInt32; waiting @3 :UInt32; }

# What an upstream said of itself, `ageUs` ago.
struct UpstreamNotice {
  service @0 :Text;
  upstream @1 :Text;
  ageUs @2 :UInt64;
  union {
    # Requests a second that it takes from all nodes together.
    requestsPerS @3 :Float64;
    rateUnlimited @4 :Void;
    leaving @5 :Void;
    # It wants no requests of the node that it refused for `lastsUs` from then on.
    resting :group { node @6 :UInt32; lastsUs @7 :UInt64; }
  }
}

# What an account spent within a short time that ended `ageUs` ago.
struct SpentSlice { ageUs @0 :UInt64; units @1 :Float64; unitsGrantedByReceiver @2 :Float64; }

struct AccountSpending { account @0 :Text; slices @1 :List(SpentSlice); }

# What accounts spent through an entry within the last window.
struct SpendingReport { node @0 :Text; coversUs @1 :UInt64; accounts @2 :List(AccountSpending); }

# What a node knows, with versions; changes of lists are sent only to a peer whose version is older, and only if they are few.
struct Digest {
  node @0 :Text;
  catalogueVersion @1 :UInt64;
  # Earlier versions passed the catalogue's document here.
  unusedCatalogue @2 :Data;
  registryVersion @3 :UInt64;
  registry @4 :Data;
  membersVersion @5 :UInt64;
  members @6 :Data;
  # Nodes that take no requests: they do not answer, or are about to stop.
  unavailable @7 :List(Text);
  isLeaving @8 :Bool;
  # Time since the platform answered this node, or one of which it heard.
  platformHeardUs @9 :UInt64;
  # Roll-outs that the node knows of; empty when there are none.
  rollouts @10 :Data;
  # What upstreams said of themselves; only in answers, whose age the calling node can bound.
  notices @11 :List(UpstreamNotice);
  # Time for which the platform has been answering this node, or one of which it heard, without a longer gap.
  # In milliseconds, which takes no more room in a message.
  platformUpMs @12 :UInt32;
}

interface Peer {
  ask @0 (ask :Ask) -> (verdict :Verdict);
  ended @1 (ended :Ended) -> ();
  adopt @2 (runs :List(RunningRun)) -> ();
  exchange @3 (digest :Digest) -> (digest :Digest);
  loadObserved @4 (load :UpstreamLoad) -> ();
  spent @5 (report :SpendingReport) -> ();
  # A piece of what a node lacks that has the given version of a list; 0 asks for all of it.
  listSince @6 (piece :ListPieceAsk) -> (piece :ListPiece);
  noticed @7 (notices :List(UpstreamNotice)) -> ();
}

# The lists that nodes pass on to one another.
enum ListName { catalogue @0; registry @1; members @2; }

# Asks for bytes from an offset on. `leadsTo` is the version to which the pieces so far lead, 0 at first.
struct ListPieceAsk { version @0 :UInt64; leadsTo @1 :UInt64; offset @2 :UInt32; list @3 :ListName; }

# Bytes of changes that have `totalBytes` in all; none at all when the asking node lacks nothing.
struct ListPiece { leadsTo @0 :UInt64; totalBytes @1 :UInt32; bytes @2 :Data; }
