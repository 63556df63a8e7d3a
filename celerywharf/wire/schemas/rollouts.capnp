@0xe7a1c4d85b09f326;

struct RouteCounts {
  route @0 :Text;
  isNew @1 :Bool;
  ended @2 :Int64;
  failed @3 :Int64;
  broken @4 :Int64;
  first @5 :List(Int64);
  pace @6 :List(Int64);
  late @7 :List(Int64);
}

struct ServiceCounts {
  service @0 :Text;
  orderVersion @1 :Int64;
  requests @2 :Int64;
  exposed @3 :Int64;
  routes @4 :List(RouteCounts);
}

struct RolloutQuestion {
  counts @0 :List(ServiceCounts);
  availabilityZone @1 :Text;
}

struct StepRow {
  service @0 :Text;
  content @1 :Data;
  version @2 :Int64;
}

struct RolloutAnswer {
  rows @0 :List(StepRow);
  ageS @1 :Float64;
}
