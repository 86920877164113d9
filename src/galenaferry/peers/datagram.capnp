# Datagrams between the VMs of a fleet; one message each.
@0xb6d1e52f0f7a4c11;

struct Member {
  address @0 :Text;
  incarnation @1 :UInt64;
  counter @2 :UInt64;
  zone @3 :Text;
  region @4 :Text;
  isLeaving @5 :Bool;
  version @6 :UInt64;
}

struct Heartbeat {
  version @0 :UInt64;
  digest @1 :Text;
  readAgeMs @2 :UInt32;
  isPlatformDown @3 :Bool;
  sample @4 :List(Member);
}

struct Counts {
  key @0 :UInt64;
  requests @1 :UInt32;
  failures @2 :UInt32;
  slow @3 :UInt32;
}

struct Verdict {
  key @0 :UInt64;
  state @1 :UInt8;
  permille @2 :UInt16;
  badness @3 :Float32;
}

struct Datagram {
  sender @0 :Member;
  body :union {
    heartbeat @1 :Heartbeat;
    push @2 :List(Text);
    pull @3 :UInt64;
    report @4 :List(Counts);
    verdicts @5 :List(Verdict);
  }
}
