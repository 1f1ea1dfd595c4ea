@0xd3c5a1f6b2e84790;
# Messages between entry instances.

struct Owner {
  instance @0 :Text;
  incarnation @1 :UInt64;
}

enum Status {
  alive @0;
  suspect @1;
  dead @2;
  left @3;
}

struct Update {
  owner @0 :Owner;
  refutation @1 :UInt32;
  status @2 :Status;
  address @3 :Text;
}

# Digest of what an instance knows: hashes of its configuration, announcements and quarantine.
# Instances fetch the parts that differ.
struct Digest {
  configVersion @0 :UInt64;
  leaving @1 :UInt64;
  quarantine @2 :UInt64;
}

struct Prefix {
  hash @0 :UInt64;
  tokens @1 :UInt64;
}

enum Sharing {
  shared @0;
  alone @1;
}

struct Ask {
  owner @0 :Owner;
  requestHigh @1 :UInt64;
  requestLow @2 :UInt64;
  account @3 :Text;
  weight @4 :UInt32;
  promptTokens @5 :UInt64;
  outputTokens @6 :UInt64;
  prefixes @7 :List(Prefix);
  timeLeft @8 :UInt64;
  sharing @9 :Sharing;
  excluded @10 :List(Text);
  fingerprint @11 :UInt64;
  model @12 :Text;
}

struct Part {
  endpoint @0 :Text;
  tokens @1 :UInt64;
}

struct Decision {
  union {
    granted :group {
      id @0 :UInt64;
      parts @1 :List(Part);
      firstToken @2 :UInt64;
      priority @5 :UInt8;
    }
    refused :group {
      reason @3 :Text;
      retryAfter @4 :UInt64;
    }
  }
}

struct Crash {
  fingerprint @0 :UInt64;
  endpoint @1 :Text;
}

interface Peer {
  # Exchanges membership changes and checks that the instance answers.
  probe @0 (from :Text, updates :List(Update), digest :Digest)
        -> (updates :List(Update), digest :Digest);

  # Probes the instance at `address` on behalf of the sender.
  relay @1 (address :Text) -> (answered :Bool);

  # Requests a grant from a pool's steward; answers when the request is decided.
  ask @2 (pool :Text, ask :Ask) -> (decision :Decision);

  # Releases a grant.
  release @3 (pool :Text, id :UInt64);

  # Merges announcements (JSON) and answers with all known ones (JSON).
  announce @4 (announcements :Text) -> (announcements :Text);

  # Returns the configuration documents (JSON) newer than a version.
  documents @5 (since :UInt64) -> (version :UInt64, documents :Text);

  # Applies documents (JSON); answers with the version in force and the members known.
  apply @6 (documents :Text) -> (version :UInt64, members :List(Update));

  # Rolls documents (JSON) out to the whole failure domain; answers with a report (JSON).
  rollout @7 (version :UInt64, documents :Text) -> (report :Text);

  # Reports that an endpoint crashed while a prompt ran on it.
  crashed @8 (crash :Crash);

  # Reports that an endpoint failed, so that the pool's steward gives it no new work for a time.
  failed @9 (pool :Text, endpoint :Text);

  # Returns the fingerprints of quarantined prompts.
  quarantined @10 () -> (fingerprints :List(UInt64));

  # Tells a pool's steward which endpoints are about to change their model; answers with the
  # demand for the pool's models (JSON).
  demand @11 (pool :Text, changing :List(Text)) -> (demand :Text);
}
