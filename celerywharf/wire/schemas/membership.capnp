@0xb1a6c2f4d3e59010;

struct PeerState {
  name @0 :Text;
  region @1 :Text;
  availabilityZone @2 :Text;
  inner @3 :Text;
  edge @4 :Text;
  incarnation @5 :UInt64;
  serial @6 :UInt64;
  status @7 :Text;
  leaving @8 :Bool;
}

struct ViewRequest {
  states @0 :List(PeerState);
}

struct View {
  states @0 :List(PeerState);
}
