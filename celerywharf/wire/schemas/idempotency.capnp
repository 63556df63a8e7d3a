@0xb1a6c2f4d3e59041;

struct KeyJoin {
  key @0 :Text;
  request @1 :Text;
  generation @2 :Text;
  lost @3 :Text;
}

struct KeyJoined {
  generation @0 :Text;
  request @1 :Text;
}
