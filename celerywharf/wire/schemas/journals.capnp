@0xb1a6c2f4d3e59040;

struct JournalSpec {
  generation @0 :Text;
  service @1 :Text;
  clientAccount @2 :Text;
  prompt @3 :Text;
  maxTokens @4 :UInt32;
  seed @5 :Int64;
}

struct JournalLine {
  epoch @0 :UInt64;
  offset @1 :UInt32;
}

struct JournalOpen {
  spec @0 :JournalSpec;
  owner @1 :Text;
  lines @2 :List(JournalLine);
  tokens @3 :List(Text);
  finishReason @4 :Text;
  attempt @5 :UInt32;
  attemptEpoch @6 :UInt64;
  backendServer @7 :Text;
}

struct JournalPlaced {
  generation @0 :Text;
  epoch @1 :UInt64;
  attempt @2 :UInt32;
  backendServer @3 :Text;
}

struct JournalAppend {
  generations @0 :List(Text);
  epochs @1 :List(UInt64);
  offsets @2 :List(UInt32);
  counts @3 :List(UInt32);
  tokens @4 :List(Text);
  finishReasons @5 :List(Text);
}

struct JournalAppended {
  stale @0 :List(Text);
  unknown @1 :List(Text);
}

struct JournalFind {
  generation @0 :Text;
}

struct JournalFound {
  owned @0 :Bool;
  epoch @1 :UInt64;
  length @2 :UInt32;
  owner @3 :Text;
}

struct JournalTake {
  generation @0 :Text;
  epoch @1 :UInt64;
  owner @2 :Text;
}

struct FollowStart {
  generation @0 :Text;
  clientAccount @1 :Text;
  follower @2 :Text;
  epoch @3 :UInt64;
  offset @4 :UInt32;
}

struct Following {
  service @0 :Text;
  epoch @1 :UInt64;
}

struct FollowTokens {
  follower @0 :Text;
  epoch @1 :UInt64;
  offset @2 :UInt32;
  tokens @3 :List(Text);
  finishReason @4 :Text;
  errorCode @5 :Text;
  errorMessage @6 :Text;
}

struct FollowStop {
  generation @0 :Text;
  follower @1 :Text;
}
