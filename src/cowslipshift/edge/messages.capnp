@0xd3c1a5f09b7e4c21;
# Messages between hosts. messages.py has its own names for some of them:
# Word is Heartbeat there, Passage is EncodedHeartbeat, isWhole is is_snapshot.

struct Usage {
  account @0 :Text;
  admitted @1 :UInt32;
  demand @2 :Float32;
  total @3 :UInt64;
}

struct RolloutCounts {
  service @0 :Text;
  order @1 :UInt64;
  newAnswers @2 :UInt32;
  newBad @3 :UInt32;
  oldAnswers @4 :UInt32;
  oldBad @5 :UInt32;
  condemns @6 :Bool;
  elapsedMs @7 :UInt32;
  version @8 :Text;
}

struct ServerLimit {
  server @0 :Text;
  startedMs @1 :UInt64;
  rate @2 :Float32;
  ageMs @3 :UInt32;
}

struct ServerLoad {
  server @0 :UInt64;
  running @1 :UInt16;
  waiting @2 :UInt16;
  ageMs @3 :UInt32;
}

struct Demand {
  service @0 :Text;
  region @1 :Text;
  rate @2 :Float32;
}

struct Word {
  host @0 :Text;
  incarnation @1 :UInt64;
  revision @2 :UInt64;
  isLeaving @3 :Bool;
  hasStore @4 :Bool;
  usages @5 :List(Usage);
  rollouts @6 :List(RolloutCounts);
  sequence @7 :UInt32;
  isUrgent @8 :Bool;
  currentAgeMs @9 :UInt32 = 4294967295;
  serverLimits @10 :List(ServerLimit);
  serverLoads @11 :List(ServerLoad);
  demands @12 :List(Demand);
  era @13 :UInt32;
}

struct Passage {
  word @0 :Data;
  ageMs @1 :UInt32;
}

struct Bundle {
  sender @0 :Text;
  passages @1 :List(Passage);
}

struct StoreItem {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  isDeleted @3 :Bool;
  created @4 :UInt64;
}

struct Changes {
  revision @0 :UInt64;
  isWhole @1 :Bool;
  items @2 :List(StoreItem);
  era @3 :UInt32;
  held @4 :List(StoreItem);
}
