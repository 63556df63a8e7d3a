@0xb1a6c2f4d3e59071;

struct WeightQuestion {
  model @0 :Text;
  backendServer @1 :Text;
  availabilityZone @2 :Text;
}

struct WeightVerdict {
  ready @0 :Bool;
}
