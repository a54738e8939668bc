@0xb1f0a96c3e7d5482;
# What a control sends to an entry after the first view.

using Link = import "link.capnp";

struct CopyKey {
  row @0 :Text;
  upstream @1 :Text;
  version @2 :Text;
}

struct ViewPatch {
  control @0 :Text;
  base @1 :UInt64;
  number @2 :UInt64;
  generation @3 :UInt64;
  rows @4 :List(Link.Row);
  removedRows @5 :List(Text);
  upstreams @6 :List(Link.Upstream);
  removedUpstreams @7 :List(Text);
  copies @8 :List(Link.Copy);
  removedCopies @9 :List(CopyKey);
  members @10 :List(Link.Member);
  removedMembers @11 :List(Text);
  peerLoads @12 :List(Link.PeerLoad);
  removedPeerLoads @13 :List(Text);
  peerRowLoads @14 :List(Link.PeerRowLoad);
  removedPeerRowLoads @15 :List(Text);
  suspects @16 :List(Link.Suspect);
  removedSuspects @17 :List(Text);
}
