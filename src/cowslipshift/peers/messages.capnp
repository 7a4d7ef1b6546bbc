@0xb1c2d3e4f5a69788;
# Messages between hosts. The field names are the encoded names of the fields
# in messages.py, in camel case.

struct Terms {
  rate @0 :Float64;
  burst @1 :Float64;
}

struct Handover {
  resource @0 :Text;
  inUse @1 :UInt32;
  readyInS @2 :Float64;
}

struct ServiceLoad {
  service @0 :Text;
  usable @1 :UInt32;
  inUse @2 :UInt32;
  queued @3 :UInt32;
}

struct Heartbeat {
  host @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  heardSequence @3 :UInt64;
  countsYou @4 :UInt64;
  leaving @5 :Bool;
  revision @6 :UInt64;
  factDigest @7 :UInt64;
  handovers @8 :List(Handover);
  loads @9 :List(ServiceLoad);
  fencedUpTo @10 :UInt64;
}

struct ConfigurationRequest {
  revision @0 :UInt64;
  digest @1 :Text;
}

struct ConfigurationOffer {
  revision @0 :UInt64;
  difference @1 :Data;
  document @2 :Data;
}

struct Fact {
  kind @0 :Text;
  subject @1 :Text;
  version @2 :UInt64;
  value @3 :Text;
}

struct Facts {
  digest @0 :UInt64;
  facts @1 :List(Fact);
  wantsReply @2 :Bool;
}

struct Want {
  account @0 :Text;
  sequence @1 :UInt64;
  holds @2 :Terms;
  rate @3 :Float64;
  tokens @4 :Float64;
  returns @5 :Float64;
}

struct Recalls {
  accounts @0 :List(Text);
}

struct Wants {
  wants @0 :List(Want);
}

struct Grant {
  account @0 :Text;
  sequence @1 :UInt64;
  whole @2 :Terms;
  tokens @3 :Float64;
  termS @4 :Float64;
}

struct Grants {
  grants @0 :List(Grant);
}

struct Evidence {
  move @0 :Text;
  host @1 :Text;
  incarnation @2 :UInt64;
  counts @3 :List(UInt64);
  route @4 :Text;
}

struct Evidences {
  evidences @0 :List(Evidence);
}

struct Message {
  union {
    heartbeat @0 :Heartbeat;
    configurationRequest @1 :ConfigurationRequest;
    configurationOffer @2 :ConfigurationOffer;
    facts @3 :Facts;
    wants @4 :Wants;
    grants @5 :Grants;
    evidences @6 :Evidences;
    recalls @7 :Recalls;
  }
}
