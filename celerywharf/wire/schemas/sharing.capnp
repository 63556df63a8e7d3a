@0xc8f23b9a6d17e405;

using Peers = import "peers.capnp";

struct TableQuestion {
  table @0 :Text;
  after @1 :Int64;
  waitS @2 :Float64;
  era @3 :Int64;
  peers @4 :List(Peers.PeerEntry);
  byDigest @5 :Bool;
  known @6 :Int64;
  bySnapshot @7 :Bool;
}

struct SharedRow {
  key @0 :Text;
  content @1 :Data;
  readable @2 :Bool;
  removed @3 :Bool;
  version @4 :Int64;
  digest @5 :Data;
}

struct RetryQuestion {
  service @0 :Text;
  requests @1 :List(Int64);
  retries @2 :Int64;
  inProgress @3 :Bool;
}

struct RetryAnswer {
  lent @0 :Bool;
  zoneHosts @1 :Int64;
}

struct TableAnswer {
  rows @0 :List(SharedRow);
  version @1 :Int64;
  storeS @2 :Float64;
  zoneHosts @3 :Int64;
  limits @4 :List(ServerLimit);
  era @5 :Int64;
  storeAnsweredS @6 :Float64;
  receiving @7 :Bool;
  removalsKnown @8 :Bool;
  removedKeys @9 :List(Text);
  snapshot @10 :Data;
  clockKnown @11 :Bool;
  latestArrivalS @12 :Float64;
  earliestReplyS @13 :Float64;
}

struct ServerLimit {
  incarnation @0 :Text;
  availabilityZone @1 :Text;
  hasLimit @2 :Bool;
  perS @3 :Float64;
  atS @4 :Float64;
}

struct LimitQuestion {
  limit @0 :ServerLimit;
  inProgress @1 :Bool;
}

struct LimitAnswer {
  granted @0 :Bool;
  waitS @1 :Float64;
}

struct LimitNotice {
  limit @0 :ServerLimit;
}

struct ContentQuestion {
  digest @0 :Data;
  offset @1 :Int64;
  whole @2 :Bool;
  address @3 :Text;
  key @4 :Data;
}

struct ContentAnswer {
  piece @0 :Data;
  size @1 :Int64;
  giverAddress @2 :Text;
  giverKey @3 :Data;
}
