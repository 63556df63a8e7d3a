@0xd41e7a5c90b3f268;

struct PeerEntry {
  name @0 :Text;
  availabilityZone @1 :Text;
  address @2 :Text;
  key @3 :Data;
  load @4 :Int64;
  cutOff @5 :List(Text);
}

struct PeerQuestion {
  service @0 :Text;
  passedOn @1 :Bool;
}

struct PeerAnswer {
  peers @0 :List(PeerEntry);
}
