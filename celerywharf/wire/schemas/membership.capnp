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

struct Notice {
  backendServer @0 :Text;
  stamp @1 :UInt64;
  leaving @2 :Bool;
}

struct Gossip {
  states @0 :List(PeerState);
  notices @1 :List(Notice);
}

struct Probe {
  states @0 :List(PeerState);
  notices @1 :List(Notice);
}

struct IndirectProbe {
  target @0 :Text;
  inner @1 :Text;
}

struct ViewRequest {
  states @0 :List(PeerState);
}

struct SampleRequest {
  states @0 :List(PeerState);
  names @1 :List(Text);
  notices @2 :List(Notice);
}

struct FindRequest {
  name @0 :Text;
}

struct View {
  states @0 :List(PeerState);
  notices @1 :List(Notice);
}
