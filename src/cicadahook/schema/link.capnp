@0xd3c9a7be51f2680d;
# Messages between the processes of the system.

struct Row {
  name @0 :Text;
  kind @1 :Text;
  base @2 :Text;
  version @3 :Text;
  memoryBytes @4 :UInt64;
  weight @5 :Float64;
  priority @6 :Int32;
  minCopies @7 :UInt32;
  maxInFlight @8 :UInt32;
  ratePerSecond @9 :Float64;
  nonIdempotent @10 :List(Text);
  allowKeyless @11 :Bool;
  checksFencing @12 :Bool;
  restartSettles @13 :Bool;
  latenessBoundSeconds @14 :Float64;
  drained @15 :Bool;
}

struct Table {
  generation @0 :UInt64;
  rows @1 :List(Row);
}

struct Upstream {
  address @0 :Text;
  zone @1 :Text;
  kind @2 :Text;
  service @3 :Text;
  state @4 :Text;
  capacityBytes @5 :UInt64;
  incarnation @6 :Text;
  inFlight @7 :UInt32;
  role @8 :Text;
}

struct Copy {
  row @0 :Text;
  upstream @1 :Text;
  version @2 :Text;
  state @3 :Text;
}

struct Member {
  name @0 :Text;
  entry @1 :Text;
  control @2 :Text;
  zone @3 :Text;
  state @4 :Text;
  incarnation @5 :UInt64;
  generation @6 :UInt64;
}

struct PeerLoad {
  upstream @0 :Text;
  inFlight @1 :UInt32;
  limit @2 :Float64;
}

struct PeerRowLoad {
  row @0 :Text;
  inFlight @1 :UInt32;
  arrivalsPerSecond @2 :Float64;
}

struct Suspect {
  fingerprint @0 :Text;
  deaths @1 :List(Text);
  lastSeen @2 :Text;
}

struct View {
  control @0 :Text;
  number @1 :UInt64;
  table @2 :Table;
  upstreams @3 :List(Upstream);
  copies @4 :List(Copy);
  members @5 :List(Member);
  peerLoads @6 :List(PeerLoad);
  peerRowLoads @7 :List(PeerRowLoad);
  suspects @8 :List(Suspect);
}

struct RowDemand {
  row @0 :Text;
  arrivals @1 :UInt32;
  refusals @2 :UInt32;
  inFlight @3 :UInt32;
}

struct UpstreamUse {
  upstream @0 :Text;
  inFlight @1 :UInt32;
  limit @2 :Float64;
}

struct Report {
  entry @0 :Text;
  generation @1 :UInt64;
  draining @2 :Bool;
  uses @3 :List(UpstreamUse);
  demands @4 :List(RowDemand);
  suspects @5 :List(Suspect);
}
