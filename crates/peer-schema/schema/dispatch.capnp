@0xb7e19d4c52a8f063;
# Placement requests for model engines, sent by an instance to the steward of its fleet or domain,
# and changes of the platform's key-value store, fetched by an instance from a reader of its domain.
# "Ask" stands for a placement request and "place" for an endpoint in the names of this schema.

# A placement request. Times are in milliseconds, sizes in tokens.
struct Work {
  pool @0 :Text;
  account @1 :Text;
  # Failure domain whose endpoints may be used; empty for the whole fleet.
  domain @2 :Text;
  promptTokens @3 :UInt64;
  outputTokens @4 :UInt64;
  waited @5 :UInt64;
  firstEventAim @6 :UInt64;
  pauseAim @7 :UInt64;
  timeLeft @8 :UInt64;
  # Code of the reason for a retry; empty for a first attempt.
  retry @9 :Text;
  excluded @10 :List(Text);
  fingerprint @11 :UInt64;
}

struct Place {
  endpoint @0 :Text;
  address @1 :Text;
}

struct Helper {
  place @0 :Place;
  # Tokens of memory to reserve on the helper; 0 for none.
  reservedTokens @1 :UInt64;
}

struct HeldPlace {
  endpoint @0 :Text;
  reservedTokens @1 :UInt64;
}

struct Verdict {
  union {
    granted :group {
      host @0 :Place;
      helpers @1 :List(Helper);
      expectedFirst @2 :UInt64;
    }
    refused :group {
      reason @3 :Text;
      retryAfter @4 :UInt64;
    }
  }
}

enum End {
  served @0;
  callerLeft @1;
  notConnected @2;
  refused @3;
  broken @4;
  silent @5;
  failed @6;
}

struct Note {
  ask @0 :UInt64;
  union {
    firstEvent @1 :Void;
    finished :group {
      end @2 :End;
      # Address of the failed endpoint; empty for the host.
      faultAt @3 :Text;
    }
    # An endpoint has named a limit on its requests, or no longer names one; `ask` is not used.
    limit :group {
      endpoint @4 :Text;
      isLimited @5 :Bool;
      # Requests a second.
      rate @6 :Float64;
      # Milliseconds since the endpoint said so.
      age @7 :UInt64;
    }
    # Id of an endpoint that says in its answers that it leaves; `ask` is not used.
    leaving @8 :Text;
  }
}

struct Held {
  ask @0 :UInt64;
  work @1 :Work;
  places @2 :List(HeldPlace);
  writing @3 :Bool;
}

# A change of one key of the platform's store.
struct Change {
  key @0 :Text;
  value @1 :Text;
  revision @2 :UInt64;
  deleted @3 :Bool;
}

interface Instance {
  # Begins a session and reports the runs that the instance has in flight.
  join @0 (instance :Text, held :List(Held)) -> (session :Session);

  # Answers with the changes after a revision of an era, as soon as there are any or after `waitMs`;
  # `available` is false if the changes after that revision are not known, and `historyLost` is true
  # if they will not be. An era of 0 is not stated.
  changes @1 (after :UInt64, waitMs :UInt64, era :UInt64)
          -> (available :Bool, revision :UInt64, changes :List(Change), era :UInt64,
              historyLost :Bool);
}

interface Session {
  # Answers once the placement request is granted or refused.
  ask @0 (number :UInt64, work :Work) -> (verdict :Verdict);

  # Reports progress and ends of granted runs.
  note @1 (notes :List(Note));

  # Checks that the session is still valid, and keeps it alive.
  ping @2 ();

  # Counts a call to a limited endpoint of a plain service if the endpoint may get one now; else
  # answers with the time until then.
  permit @3 (endpoint :Text) -> (granted :Bool, waitMs :UInt64);
}
