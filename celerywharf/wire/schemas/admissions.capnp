@0xb1a6c2f4d3e59030;

struct Wanted {
  number @0 :UInt64;
  backendServer @1 :Text;
  clientAccount @2 :Text;
  priority @3 :Int64;
  resume @4 :Bool;
  deadlineS @5 :Float64;
  mayWait @6 :Bool;
}

struct Held {
  number @0 :UInt64;
  backendServer @1 :Text;
  clientAccount @2 :Text;
}

struct GivenBack {
  number @0 :UInt64;
  backendServer @1 :Text;
  heldS @2 :Float64;
}

struct GrantBatch {
  holder @0 :Text;
  incarnation @1 :UInt64;
  inner @2 :Text;
  forwarded @3 :Bool;
  wanted @4 :List(Wanted);
  held @5 :List(Held);
  givenBack @6 :List(GivenBack);
}

struct GrantAnswer {
  number @0 :UInt64;
  granted @1 :Bool;
  reason @2 :Text;
  waitS @3 :Float64;
  retryAfterS @4 :Float64;
}

struct Summary {
  backendServer @0 :Text;
  running @1 :UInt32;
  waiting @2 :UInt32;
  capacity @3 :UInt32;
}

struct GrantAnswers {
  owner @0 :Text;
  answers @1 :List(GrantAnswer);
  summaries @2 :List(Summary);
}

struct PrefixQuery {
  prefixHash @0 :Text;
  backendServers @1 :List(Text);
}

struct PrefixAnswer {
  backendServers @0 :List(Text);
}
