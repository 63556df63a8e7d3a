@0xb1a6c2f4d3e59020;

struct HeaderField {
  name @0 :Text;
  value @1 :Text;
}

struct AnswerFields {
  status @0 :UInt16;
  headers @1 :List(HeaderField);
  body @2 :Data;
  complete @3 :Bool;
}

struct ClaimFields {
  attempt @0 :Text;
  host @1 :Text;
  incarnation @2 :UInt64;
  digest @3 :Text;
  state @4 :Text;
  answer @5 :AnswerFields;
}

struct ClaimQuestion {
  key @0 :Text;
  clientAccount @1 :Text;
  claim @2 :ClaimFields;
}

struct ClaimVerdict {
  outcome @0 :Text;
  claim @1 :ClaimFields;
}

struct ClaimRecord {
  key @0 :Text;
  claim @1 :ClaimFields;
}

struct AttemptQuestion {
  attempt @0 :Text;
}

struct AttemptAnswer {
  answer @0 :AnswerFields;
}
