@0xd41c7a95e20b6f31;

struct TableRow {
  kind @0 :Text;
  key @1 :Text;
  version @2 :UInt64;
  revision @3 :UInt64;
  fields @4 :Text;
}

struct TableDelta {
  since @0 :UInt64;
  upto @1 :UInt64;
  rows @2 :List(TableRow);
  more @3 :Bool;
}

struct TablePull {
  since @0 :UInt64;
}

struct TablePush {
  root @0 :Text;
  delta @1 :TableDelta;
}

struct TableDigest {
  host @0 :Text;
  availabilityZone @1 :Text;
  revision @2 :UInt64;
  checksum @3 :UInt64;
  ready @4 :Bool;
  platformAgeS @5 :Float64;
}
