@0xb6a0f4d2c17e9358;
# Requests that began to run on behalf of one host, cumulative.

struct AccountCount {
  account @0 :Text;
  count @1 :UInt32;
}

struct WindowCounts {
  window @0 :UInt64;
  counts @1 :List(AccountCount);
}

struct HostCounts {
  incarnation @0 :UInt64;
  windows @1 :List(WindowCounts);
}
