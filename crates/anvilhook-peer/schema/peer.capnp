# The protocol between instances. It carries only hints and acknowledgements: losing a message may
# cost time, but never correctness.
@0xd7c4a1f09b3e6258;

interface Gate {
  # The interface of a connection until both sides have proved that they hold the shared key.

  challenge @0 (nonce :Data, name :Text) -> (nonce :Data, name :Text, proof :Data);
  # Receives the caller's nonce and name, and returns the callee's nonce, name and proof.

  admit @1 (proof :Data, peer :Peer) -> (peer :Peer);
  # Checks the caller's proof over both nonces and exchanges the interfaces of the two peers.
}

interface Peer {
  # The interface of a peer for an authenticated partner.

  push @0 (update :Update) -> ();
  # Merges an update. The response confirms the merge. An empty update is a heartbeat.

  configuration @1 (have :UInt64) -> (transfer :Transfer);
  # Returns the newest configuration, as a change based on revision `have` if that is still known.
}

struct Update {
  revision @0 :UInt64;
  # The revision of the newest configuration that the sender has.

  acks @1 :List(AckSection);
  load @2 :List(LoadSection);
  demand @3 :List(DemandSection);
}

struct Header {
  origin @0 :Text;
  # The instance that wrote the section.

  version @1 :UInt64;
  # Increases with each section of the same kind that the origin writes.

  ageMs @2 :UInt32;
  # How long ago the section was written, as estimated by the sender.

  hops @3 :UInt8;
  # How many links the section has crossed, including this one.
}

struct AckSection {
  header @0 :Header;
  drains @1 :List(DrainAck);
  terms @2 :List(TermAck);
}

struct DrainAck {
  pool @0 :Text;
  engine @1 :Text;
  generation @2 :UInt64;
}

struct TermAck {
  pool @0 :Text;
  term @1 :UInt64;
  holder @2 :Text;
}

struct LoadSection {
  header @0 :Header;
  engines @1 :List(EngineSent);
  reports @2 :List(EngineReport);
}

struct EngineSent {
  engine @0 :Text;
  boot @1 :UInt64;
  seq @2 :UInt64;
  requests @3 :UInt32;
  prefillTokens @4 :UInt32;
  decodeTokens @5 :UInt32;
}

struct EngineReport {
  engine @0 :Text;
  boot @1 :UInt64;
  seq @2 :UInt64;

  ageMs @3 :UInt32;
  # How old the report was when the section was written.

  role @4 :UInt8;
  # 0 prefill, 1 decode, 2 mixed.

  leaving @5 :Bool;
  queuedRequests @6 :UInt32;
  queuedPrefillTokens @7 :UInt32;
  runningRequests @8 :UInt32;
  runningDecodeTokens @9 :UInt32;
  prefillTokensPerS @10 :UInt32;
  decodeStepMs @11 :Float32;
  decodeStepPerRequestMs @12 :Float32;
  maxBatch @13 :UInt32;
}

struct DemandSection {
  header @0 :Header;
  accounts @1 :List(AccountDemand);

  hearsAll @2 :Bool;
  # Whether the origin receives the demand of all listed instances.
}

struct AccountDemand {
  account @0 :Text;
  milliRequestsPerS @1 :UInt32;
  openRequests @2 :UInt32;
}

struct Transfer {
  base @0 :UInt64;
  # The revision that the change is based on; 0 if the configuration is complete.

  revision @1 :UInt64;
  json @2 :Data;
}
