@0xb2f0c7d41e9a6358;
# Messages between controls.

using Link = import "link.capnp";

struct Envelope {
  sender @0 :Text;
  recipient @1 :Text;
  session @2 :UInt64;
  sequence @3 :UInt64;
  sentMicros @4 :UInt64;
  kind @5 :Text;
  part @6 :UInt16;
  parts @7 :UInt16;
  number @8 :UInt64;
  body @9 :Data;
}

struct Progress {
  name @0 :Text;
  incarnation @1 :UInt64;
  generation @2 :UInt64;
}

struct Message {
  kind @0 :Text;
  sender @1 :Link.Member;
  number @2 :UInt64;
  target @3 :Text;
  address @4 :Text;
  updates @5 :List(Link.Member);
  progress @6 :List(Progress);
  newest @7 :UInt64;
}

struct EntryLoad {
  entry @0 :Text;
  draining @1 :Bool;
  generation @2 :UInt64;
  uses @3 :List(Link.UpstreamUse);
  rows @4 :List(Link.PeerRowLoad);
  suspects @5 :List(Link.Suspect);
}
