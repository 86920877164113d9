# Datagrams between the VMs of a fleet. Each carries one message.
@0xb6d1e52f0f7a4c11;

struct Member {
  address @0 :Text;
  incarnation @1 :UInt64;
  counter @2 :UInt64;
  zone @3 :Text;
  region @4 :Text;
  isLeaving @5 :Bool;
  version @6 :UInt64;
  isPlatformDown @7 :Bool;
  relayPort @8 :UInt16;
  isCutOff @9 :Bool;
  linkClass @10 :UInt8;
}

struct Heartbeat {
  version @0 :UInt64;
  digest @1 :Text;
  readAgeMs @2 :UInt32;
  sample @3 :List(Member);
  listRevision @4 :UInt64;
  versionInForce @5 :UInt64;
  versionEra @6 :UInt32;
  listRevisionEra @7 :UInt32;
}

struct Push {
  log @0 :UInt8;
  entries @1 :List(Text);
}

struct Pull {
  log @0 :UInt8;
  after @1 :UInt64;
}

struct PagePull {
  log @0 :UInt8;
  version @1 :UInt64;
  start @2 :UInt32;
}

struct Page {
  log @0 :UInt8;
  version @1 :UInt64;
  digest @2 :Text;
  start @3 :UInt32;
  total @4 :UInt32;
  rows @5 :List(Text);
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

struct Outcome {
  key @0 :UInt64;
  outcome @1 :UInt8;
  id @2 :UInt64;
}

struct RequestLimit {
  key @0 :UInt64;
  perSecond @1 :Float64;
  isEnded @2 :Bool;
  id @3 :UInt64;
}

struct CrashNote {
  kind @0 :UInt8;
  fingerprint @1 :Data;
  instance @2 :UInt64;
  version @3 :Text;
  ageMs @4 :UInt32;
  id @5 :UInt64;
}

struct OutcomeSet {
  isForZone @0 :Bool;
  outcomes @1 :List(Outcome);
  limits @2 :List(RequestLimit);
  crashNotes @3 :List(CrashNote);
}

struct TableRow {
  key @0 :Text;
  value @1 :Data;
  isRemoved @2 :Bool;
}

struct TableNotice {
  after @0 :UInt64;
  version @1 :UInt64;
  rows @2 :List(TableRow);
  failedAgoMs @3 :UInt32;
  table @4 :Text;
  afterEra @5 :UInt32;
  versionEra @6 :UInt32;
  confirmedAgoMs @7 :UInt32 = 0xffffffff;
  versionInForce @8 :UInt64;
}

struct WorkspaceUsage {
  key @0 :UInt64;
  total @1 :UInt32;
  recent @2 :UInt32;
}

struct VmUsage {
  address @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  rows @3 :List(WorkspaceUsage);
}

struct UsageReport {
  isForZone @0 :Bool;
  usages @1 :List(VmUsage);
}

struct Datagram {
  sender @0 :Member;
  body :union {
    heartbeat @1 :Heartbeat;
    push @2 :Push;
    pull @3 :Pull;
    pagePull @4 :PagePull;
    page @5 :Page;
    report @6 :List(Counts);
    verdicts @7 :List(Verdict);
    outcomes @8 :List(Outcome);
    tableNotice @9 :TableNotice;
    outcomeSet @10 :OutcomeSet;
    usageReport @11 :UsageReport;
  }
}
