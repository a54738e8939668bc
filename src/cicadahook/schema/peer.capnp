@0xd3a1c6b95e0f4721;
# Messages between nodes.

using Link = import "link.capnp";

struct NodeRecord {
  name @0 :Text;
  zone @1 :Text;
  region @2 :Text;
  frontAddress @3 :Text;
  peerAddress @4 :Text;
  incarnation @5 :UInt64;
  hasNarrowLink @6 :Bool;
}

struct InstanceLoad {
  instance @0 :Text;
  running @1 :UInt32;
  unreadMs @2 :Float64;
  copies @3 :List(Text);
}

struct ModelDemand {
  service @0 :Text;
  model @1 :Text;
  share @2 :Float64;
}

struct LoadStatement {
  service @0 :Text;
  model @1 :Text;
  remainingMs @2 :UInt64;
}

struct WithdrawnCopy {
  instance @0 :Text;
  model @1 :Text;
}

struct PaceEstimate {
  model @0 :Text;
  pace @1 :Float64;
  weight @2 :Float64;
}

struct LimitStatement {
  instance @0 :Text;
  born @1 :UInt64;
  rate @2 :Float64;
  ageMs @3 :UInt64;
  sent @4 :UInt64;
}

struct BrittleStatement {
  instance @0 :Text;
  born @1 :UInt64;
  bound @2 :Float64;
  ageMs @3 :UInt64;
  running @4 :UInt32;
  rejected @5 :UInt32;
  capacity @6 :Float64;
}

struct LeavingStatement {
  instance @0 :Text;
  born @1 :UInt64;
}

struct SuspectStatement {
  trait @0 :Text;
  deaths @1 :List(Text);
  cleared @2 :List(Text);
  ageMs @3 :UInt64;
  isSound @4 :Bool;
  isOnTrial @5 :Bool;
  endedMs @6 :List(UInt64);
  ranMs @7 :List(UInt64);
}

struct OriginStatement {
  service @0 :Text;
  software @1 :Text;
  ids @2 :List(Text);
}

struct LinkStatement {
  instance @0 :Text;
  born @1 :UInt64;
  isCut @2 :Bool;
  ageMs @3 :UInt64;
  isHeard @4 :Bool;
}

struct Grant {
  holder @0 :Text;
  fence @1 :UInt64;
  echo @2 :UInt64;
}

struct UpstreamNews {
  links @0 :List(LinkStatement);
  brittle @1 :List(BrittleStatement);
  leaving @2 :List(LeavingStatement);
  loading @3 :List(LoadStatement);
}

struct AllowanceStatement {
  tenant @0 :Text;
  charged @1 :UInt64;
  rate @2 :UInt64;
  level @3 :Int64;
}

struct NodeStatus {
  node @0 :NodeRecord;
  number @1 :UInt64;
  isReady @2 :Bool;
  isHolder @3 :Bool;
  fence @4 :UInt64;
  # No longer sent; nothing read them.
  configuration @5 :UInt64;
  inventory @6 :UInt64;
  loads @7 :List(InstanceLoad);
  wanted @8 :List(ModelDemand);
  # No longer sent; crashSuspects replaces it.
  suspects @9 :List(Link.Suspect);
  withdrawn @10 :List(WithdrawnCopy);
  paces @11 :List(PaceEstimate);
  hasLeft @12 :Bool;
  grant @13 :Grant;
  newestTerm @14 :UInt64;
  isBrief @15 :Bool;
  limits @16 :List(LimitStatement);
  crashSuspects @17 :List(SuspectStatement);
  origins @18 :List(OriginStatement);
  upstreams @19 :UpstreamNews;
  isCutOff @20 :Bool;
  capabilities @21 :List(Text);
  wantsGrants @22 :Bool;
  allowances @23 :List(AllowanceStatement);
  lacksStore @24 :Bool;
  era @25 :UInt64;
}

struct ProbeRequest {
  instance @0 :Text;
  born @1 :UInt64;
}

struct ProbeAnswer {
  isConnected @0 :Bool;
}

struct RelayedHeader {
  name @0 :Text;
  value @1 :Text;
}

struct RelayedAttempt {
  requestId @0 :Text;
  instance @1 :Text;
  born @2 :UInt64;
  method @3 :Text;
  host @4 :Text;
  path @5 :Text;
  headers @6 :List(RelayedHeader);
  timeLeftMs @7 :UInt64;
  priority @8 :UInt32;
  lastEventId @9 :Text;
  isGeneration @10 :Bool;
  wasRefused @11 :Bool;
}

struct RelayedHead {
  status @0 :UInt32;
  headers @1 :List(RelayedHeader);
  isEventStream @2 :Bool;
  failure @3 :Text;
  detail @4 :Text;
  isRefused @5 :Bool;
  bodyEnd @6 :Text;
}

struct CopyRequest {
  service @0 :Text;
  instance @1 :Text;
  model @2 :Text;
  adapter @3 :Text;
  failed @4 :List(Text);
  software @5 :Text;
}

struct OriginRequest {
  service @0 :Text;
  requestId @1 :Text;
}

struct OriginAnswer {
  isKnown @0 :Bool;
  software @1 :Text;
}

struct CopyAnswer {
  instance @0 :Text;
  reason @1 :Text;
}

struct StoredItem {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
}

struct Snapshot {
  configuration @0 :List(StoredItem);
  instances @1 :List(StoredItem);
  revision @2 :UInt64;
}
