@0xb4f1c7d2a9e05831;

# Protocol between entry instances. Times are microseconds since the Unix epoch.

struct Load {
  service @0 :Text;
  queued @1 :UInt32;
  inFlight @2 :UInt32;
  held @3 :UInt32;
}

struct Usage {
  team @0 :Text;
  queued @1 :UInt32;
  inFlight @2 :UInt32;
}

struct Leaving {
  target @0 :Text;
  forgetAt @1 :UInt64;
}

struct InForce {
  subtree @0 :Text;
  version @1 :UInt64;
}

struct Report {
  from @0 :Text;
  dataCentre @1 :Text;
  madeAt @2 :UInt64;
  loads @3 :List(Load);
  usages @4 :List(Usage);
  leaving @5 :List(Leaving);
  inForce @6 :List(InForce);
  stopping @7 :Bool;
}

struct Subtree {
  path @0 :Text;
  version @1 :UInt64;
  # Ids of the last changes, newest first, separated by spaces.
  changes @2 :Text;
  # Empty for a subtree that was removed.
  yaml @3 :Text;
}

struct Answer {
  # Status of a job as the JSON body of the caller protocol, with its HTTP status.
  httpStatus @0 :UInt16;
  json @1 :Data;
  # When to come back, with a refusal; else 0.
  retryAt @2 :UInt64;
}

interface Peer {
  # Delivers a report and returns the one of the receiver.
  report @0 (report :Report) -> (report :Report);
  # Returns subtrees that are newer at the receiver than the given versions.
  fetchSettings @1 (known :List(InForce)) -> (subtrees :List(Subtree));
  # Offers subtrees; returns the versions then in force at the receiver. The data centre and the
  # digest of the versions in force are those of the sender.
  pushSettings @2 (subtrees :List(Subtree), dataCentre :Text, digest :List(InForce))
      -> (inForce :List(InForce));
  # Asks the owner of a job for its status. With wait, the answer is sent when the job is final.
  # The trace is a W3C trace context or empty.
  queryJob @3 (team :Text, job :Text, wait :Bool, trace :Text) -> (answer :Answer);
  # Cancels a job at its owner.
  cancelJob @4 (team :Text, job :Text, trace :Text) -> (answer :Answer);
}
