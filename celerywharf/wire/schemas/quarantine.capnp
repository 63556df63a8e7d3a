@0xd41b7e0a95c3f268;

struct PartLoss {
  atS @0 :Float64;
  instance @1 :Text;
  availabilityZone @2 :Text;
  begun @3 :Bool;
}

struct PartState {
  part @0 :Text;
  generation @1 :Int64;
  losses @2 :List(PartLoss);
}

struct PartQuestion {
  parts @0 :List(PartState);
  after @1 :Int64;
  waitS @2 :Float64;
}

struct PartAnswer {
  parts @0 :List(PartState);
  serial @1 :Int64;
}
