@0xb1a6c2f4d3e59002;

struct Hello {
  host @0 :Text;
  region @1 :Text;
  availabilityZone @2 :Text;
  inner @3 :Text;
  incarnation @4 :UInt64;
  nonce @5 :Data;
}

struct Proof {
  digest @0 :Data;
}

struct Acknowledged {
}

struct Failure {
  code @0 :Text;
  message @1 :Text;
  verdict @2 :Text;
  retryAfterS @3 :Float64;
}
