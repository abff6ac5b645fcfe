@0xca6b8759eac154d5;
# What nodes say to each other.
#
# Lengths of time are unsigned nanoseconds. Ordinals are never reused and fields are only added, so
# that nodes of two neighbouring versions understand each other.

interface Gate {
  # What a connection offers before its two ends have proved who they are.

  authenticate @0 (node :Text, peer :Text, nonce :Data)
      -> (nonce :Data, proof :Data, entrance :Entrance);
  # The caller names itself and the node that it wants, and sends a random number. The answer holds
  # the other side's random number, and its proof that it knows the key and bears the wanted name.
}

interface Entrance {
  # The second half of one authentication.

  enter @0 (proof :Data) -> (peer :Peer);
  # The caller's proof.
}

interface Peer {
  # A node that takes messages.

  deliver @0 (messages :List(Envelope)) -> ();
  # The answer says only that the messages arrived.
}

struct Envelope {
  message :union {
    unset @0 :Void;
    # Comes first, so that an empty struct is no message.
    ask @1 :Ask;
    queued @2 :Queued;
    granted @3 :Granted;
    askRefused @4 :AskRefused;
    withdraw @5 :AskName;
    withdrawn @6 :AskName;
    grantReturned @7 :GrantName;
    started @8 :GrantName;
    finished @9 :Finished;
    holding @10 :Holding;
    reregister @11 :Reregister;
    cancelGrant @12 :GrantName;
    summary @13 :Summary;
    yield @14 :YieldRequest;
    yieldAnswer @15 :YieldAnswer;
    keyRegister @16 :KeyRegister;
    keyAnswer @17 :KeyAnswer;
    keyEnded @18 :KeyEnded;
    keyRefill @19 :KeyRefill;
    crashObserved @20 :CrashObserved;
    supportRequest @21 :SupportRequest;
    supportAnswer @22 :SupportAnswer;
    probe @23 :Probe;
    probeAnswer @24 :Probe;
    leaving @25 :Text;
    catalogueChanges @26 :CatalogueJson;
    catalogueWanted @27 :CatalogueWanted;
    catalogueSnapshot @28 :CatalogueJson;
    vmsLeaving @29 :List(Text);
  }
}

enum Outcome {
  completed @0;
  rejected @1;
  failed @2;
  cancelled @3;
}

enum RefusalCode {
  overloaded @0;
  deadlineUnreachable @1;
  deadlinePassed @2;
  notInCatalogue @3;
  noUpstream @4;
  stopping @5;
  storeUnavailable @6;
  inProgress @7;
  alreadyRan @8;
  preempted @9;
  upstreamFailed @10;
  upstreamRefused @11;
  upstreamStalled @12;
  quarantined @13;
  callerLeft @14;
  isolated @15;
}

enum YieldState {
  clear @0;
  room @1;
  busy @2;
}

struct OptionalOutcome {
  union {
    none @0 :Void;
    outcome @1 :Outcome;
  }
}

struct AskName {
  group @0 :Text;
  request @1 :UInt64;
  askedAtNanoseconds @2 :UInt64;
}

struct GrantName {
  group @0 :Text;
  epoch @1 :UInt64;
  grant @2 :UInt64;
}

struct Ask {
  name @0 :AskName;
  service @1 :Text;
  account @2 :Text;
  tier @3 :UInt8;
  timeLeftNanoseconds @4 :UInt64;
  cancellable @5 :Bool;
  prefixBlocks @6 :List(UInt64);
  promptTokens @7 :UInt32;
  outputTokens @8 :UInt32;
  fingerprint @9 :UInt64;
}

struct Queued {
  ask @0 :AskName;
  epoch @1 :UInt64;
  predictedWaitNanoseconds @2 :UInt64;
}

struct Granted {
  ask @0 :AskName;
  grant @1 :GrantName;
  upstream @2 :Text;
  validForNanoseconds @3 :UInt64;
  queuedForNanoseconds @4 :UInt64;
  cachedTokens @5 :UInt32;
}

struct AskRefused {
  ask @0 :AskName;
  epoch @1 :UInt64;
  retryAfter :union {
    unknown @2 :Void;
    nanoseconds @3 :UInt64;
  }
  reason :union {
    notHolder @4 :Void;
    # The holder is not known.
    heldBy @5 :Text;
    elsewhere @6 :Text;
    final @7 :RefusalCode;
  }
}

struct Finished {
  grant @0 :GrantName;
  outcome @1 :Outcome;
  firstTokenAfter :union {
    none @2 :Void;
    nanoseconds @3 :UInt64;
  }
  streamedForNanoseconds @4 :UInt64;
  tokens @5 :UInt32;
  cachedTokens :union {
    unknown @6 :Void;
    count @7 :UInt32;
  }
}

struct HeldGrant {
  epoch @0 :UInt64;
  grant @1 :UInt64;
  upstream @2 :Text;
  tier @3 :UInt8;
  cancellable @4 :Bool;
  account @5 :Text;
  promptTokens @6 :UInt32;
  outputTokens @7 :UInt32;
  tokens @8 :UInt32;
  silentForNanoseconds @9 :UInt64;
}

struct Holding {
  group @0 :Text;
  epoch @1 :UInt64;
  grants @2 :List(HeldGrant);
  seenGrant @3 :UInt64;
}

struct Reregister {
  group @0 :Text;
  epoch @1 :UInt64;
}

struct Summary {
  group @0 :Text;
  epoch @1 :UInt64;
  service @2 :Text;
  freeSlots @3 :UInt32;
  predictedWaitNanoseconds @4 :List(UInt64);
  prefillPerThousandNanoseconds @5 :UInt64;
}

struct YieldRequest {
  service @0 :Text;
  tier @1 :UInt8;
  lastsNanoseconds @2 :UInt64;
  round @3 :UInt64;
}

struct YieldAnswer {
  service @0 :Text;
  tier @1 :UInt8;
  round @2 :UInt64;
  groups @3 :List(GroupYield);
}

struct GroupYield {
  group @0 :Text;
  epoch @1 :UInt64;
  answer @2 :YieldState;
}

struct RequestKey {
  account @0 :Text;
  text @1 :Text;
}

struct KeyRegister {
  home @0 :Text;
  key @1 :RequestKey;
  request @2 :UInt64;
  incarnation @3 :UInt64;
}

struct KeyAnswer {
  home @0 :Text;
  epoch @1 :UInt64;
  key @2 :RequestKey;
  request @3 :UInt64;
  state :union {
    ownedByAsker @4 :Void;
    running @5 :Text;
    # The entry that has it.
    ended @6 :Outcome;
    notReady @7 :Void;
  }
}

struct KeyEnded {
  home @0 :Text;
  key @1 :RequestKey;
  request @2 :UInt64;
  outcome @3 :OptionalOutcome;
}

struct KeyRefill {
  home @0 :Text;
  epoch @1 :UInt64;
  keys @2 :List(KnownKey);
}

struct KnownKey {
  key @0 :RequestKey;
  entry @1 :Text;
  request @2 :UInt64;
  outcome @3 :OptionalOutcome;
}

struct CrashObserved {
  upstream @0 :Text;
  group @1 :Text;
  fingerprints @2 :List(UInt64);
  onBoard @3 :UInt32;
}

struct SupportRequest {
  group @0 :Text;
  epoch @1 :UInt64;
  node @2 :Text;
  takeover @3 :Bool;
  lastsNanoseconds @4 :UInt64;
  sentAtNanoseconds @5 :UInt64;
}

struct SupportAnswer {
  group @0 :Text;
  epoch @1 :UInt64;
  takeover @2 :Bool;
  granted @3 :Bool;
  sentAtNanoseconds @4 :UInt64;
}

struct Probe {
  incarnation @0 :UInt64;
  dataCentre @1 :Text;
  catalogueVersion @2 :UInt64;
  catalogueAge :union {
    unknown @3 :Void;
    nanoseconds @4 :UInt64;
  }
  leaving @5 :Bool;
  sentAtNanoseconds @6 :UInt64;
  changeInFlight @7 :Bool;
}

struct CatalogueJson {
  # Items of the catalogue travel as the JSON that their serde definition makes. They are defined
  # once, there, because the same text lies in the platform's store; a second definition here would
  # have to follow every change of the first.
  json @0 :Data;
}

struct CatalogueWanted {
  haveVersion @0 :UInt64;
}
