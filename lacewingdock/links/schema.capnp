# Frames between daemons. Fields are only ever added, never renumbered.
@0xd6f1c1a5b0e24b7f;

struct Hello {
  instance @0 :Text;
  incarnation @1 :Text;
  role @2 :Text;
  failureDomain @3 :Text;
  nonce @4 :Data;
  keyId @5 :Text;
  mac @6 :Data;
}

struct Proof {
  mac @0 :Data;
  sentMs @1 :UInt64;
}

struct Attempt {
  attempt @0 :Text;
  request @1 :Text;
  workspace @2 :Text;
  target @3 :Text;
  method @4 :Text;
  path @5 :Text;
  body @6 :Data;
  contentType @7 :Text;
  key @8 :Text;
  priority @9 :UInt8;
  deadlineMs @10 :UInt32;
  repeatable @11 :Bool;
  traceparent @12 :Text;
  revision @13 :UInt64;
  resumable @14 :Bool;
  step @15 :UInt8;
  ordinal @16 :UInt8;
  sentMs @17 :UInt64;
}

struct Chunk {
  attempt @0 :Text;
  offset @1 :UInt32;
  data @2 :Data;
}

struct Finish {
  attempt @0 :Text;
  chunks @1 :UInt32;
  status @2 :UInt16;
  contentType @3 :Text;
  inputTokens @4 :UInt32;
  outputTokens @5 :UInt32;
}

struct Refusal {
  attempt @0 :Text;
  code @1 :Text;
  ran @2 :Text;
  detail @3 :Text;
  retryAfterMs @4 :Int32;
  revision @5 :UInt64;
}

struct Resume {
  attempt @0 :Text;
  original @1 :Text;
  workspace @2 :Text;
  offset @3 :UInt32;
  incarnation @4 :Text;
  ageMs @5 :UInt32;
}

struct Cancel {
  attempt @0 :Text;
  keep @1 :Bool;
  ended @2 :Bool;
  left @3 :Bool;
  settle @4 :Bool;
}

struct Status {
  targets @0 :List(Text);
  running @1 :UInt32;
  queued @2 :UInt32;
  capacity @3 :UInt32;
  leaving @4 :Bool;
  homes @5 :List(Text);
}

struct Beat {
  running @0 :UInt32;
  queued @1 :UInt32;
  revision @2 :UInt64;
  sentMs @3 :UInt64;
}

struct Item {
  key @0 :Text;
  revision @1 :UInt64;
  value @2 :Data;
}

struct Delta {
  since @0 :UInt64;
  upto @1 :UInt64;
  items @2 :List(Item);
}

struct Pull {
  since @0 :UInt64;
}

struct Order {
  order @0 :Text;
  action @1 :Text;
  version @2 :Text;
  role @3 :Text;
  fencing @4 :UInt64;
  incarnation @5 :Text;
}

struct Ordered {
  order @0 :Text;
  state @1 :Text;
  code @2 :Text;
  detail @3 :Text;
}

struct Evidence {
  crash @0 :Text;
  isolated @1 :Bool;
  excused @2 :Bool;
  fingerprints @3 :List(Text);
  ageMs @4 :UInt64;
  unresolved @5 :Bool;
}

struct Bills {
  log @0 :Text;
  after @1 :UInt32;
  urgent @2 :Bool;
  rows @3 :List(Data);
}

struct BillsKept {
  log @0 :Text;
  slot @1 :UInt32;
  attempts @2 :List(Text);
}

struct Frame {
  union {
    hello @0 :Hello;
    proof @1 :Proof;
    attempt @2 :Attempt;
    chunk @3 :Chunk;
    finish @4 :Finish;
    refusal @5 :Refusal;
    resume @6 :Resume;
    cancel @7 :Cancel;
    status @8 :Status;
    beat @9 :Beat;
    delta @10 :Delta;
    pull @11 :Pull;
    order @12 :Order;
    ordered @13 :Ordered;
    evidence @14 :Evidence;
    bills @15 :Bills;
    billskept @16 :BillsKept;
  }
}
