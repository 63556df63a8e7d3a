@0xb1a6c2f4d3e59011;

struct EventRecord {
  micros @0 :UInt64;
  count @1 :UInt32;
  host @2 :Text;
  incarnation @3 :UInt64;
  number @4 :UInt64;
  name @5 :Text;
  request @6 :Text;
  generation @7 :Text;
  detailsJson @8 :Text;
}

struct TimelineQuery {
  request @0 :Text;
  generation @1 :Text;
  sinceMicros @2 :UInt64;
  limit @3 :UInt32;
}

struct TimelineAnswer {
  events @0 :List(EventRecord);
  complete @1 :Bool;
}
