# What instances say to each other. All of it is hints and acknowledgements: losing any message
# may cost time, never correctness.
@0xd7c4a1f09b3e6258;

interface Gate {
  # What a connection offers before both sides have proved that they hold the shared key.

  challenge @0 (nonce :Data, name :Text) -> (nonce :Data, name :Text, proof :Data);
  # Takes the caller's nonce and name; answers with the callee's nonce, name and proof.

  admit @1 (proof :Data, peer :Peer) -> (peer :Peer);
  # Takes the caller's proof over both nonces and exchanges the interfaces of the two peers.
}

interface Peer {
  # What a peer offers to a partner that has proved itself.

  push @0 (update :Update) -> ();
  # Merges news. The answer confirms the merge. An empty update is a heartbeat.

  configuration @1 (have :UInt64) -> (transfer :Transfer);
  # Answers with the newest configuration, as a change of revision `have` where that is known.
}

struct Update {
  revision @0 :UInt64;
  # The newest configuration that the sender holds.

  acks @1 :List(AckSection);
  load @2 :List(LoadSection);
  demand @3 :List(DemandSection);
}

struct Header {
  origin @0 :Text;
  # The instance that wrote the section.

  version @1 :UInt64;
  # Grows with each section of the same kind that the origin writes.

  ageMs @2 :UInt32;
  # How long ago it was written, as the sender reckons.

  hops @3 :UInt8;
  # How many links it has crossed, this one included.
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
  # Whether the origin hears the demand of all listed instances.
}

struct AccountDemand {
  account @0 :Text;
  milliRequestsPerS @1 :UInt32;
  openRequests @2 :UInt32;
}

struct Transfer {
  base @0 :UInt64;
  # The revision that the bytes are a change of; 0 if they are a whole configuration.

  revision @1 :UInt64;
  json @2 :Data;
}
