@0xb7c3915e2f60a8d4;

struct OriginEntry {
  requestId @0 :Text;
  service @1 :Text;
  softwareVersion @2 :Text;
  lifetimeS @3 :Float64;
}

struct OriginNotice {
  origins @0 :List(OriginEntry);
  passedOn @1 :Bool;
}

struct OriginQuestion {
  requestId @0 :Text;
  passedOn @1 :Bool;
  service @2 :Text;
}

struct OriginAnswer {
  origins @0 :List(OriginEntry);
  versions @1 :List(Text);
  recorder @2 :Text;
  intact @3 :Bool;
}
