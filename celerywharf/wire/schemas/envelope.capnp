@0xb1a6c2f4d3e59001;

struct Envelope {
  version @0 :UInt16;
  kind @1 :UInt16;
  correlation @2 :UInt64;
  name @3 :Text;
  body @4 :AnyPointer;
  stampMicros @5 :UInt64;
  stampCount @6 :UInt32;
}
