// The messages between replicas. Any message may be lost, duplicated or reordered.
#pragma once

#include "consensus/types.h"

namespace client_proxy::consensus {

/// Requests a promise to reject lower ballots in this slot (Paxos phase 1a).
struct Prepare {
  Version slot = 0;
  Ballot ballot;

  bool operator==(const Prepare&) const = default;
};
/// The promise, with the value accepted before, if any (phase 1b).
struct Promise {
  Version slot = 0;
  Ballot ballot;
  Ballot accepted;              ///< round 0: no value was accepted yet
  std::optional<Change> value;  ///< the value accepted under that ballot

  bool operator==(const Promise&) const = default;
};
/// Requests to accept this value (phase 2a).
struct Accept {
  Version slot = 0;
  Ballot ballot;
  Change value;

  bool operator==(const Accept&) const = default;
};
/// The value of this ballot was accepted (phase 2b).
struct Accepted {
  Version slot = 0;
  Ballot ballot;

  bool operator==(const Accepted&) const = default;
};
/// The answer to a Prepare or Accept after a higher ballot was promised.
struct Rejected {
  Version slot = 0;
  Ballot ballot;    ///< of the rejected request
  Ballot promised;  ///< the higher ballot

  bool operator==(const Rejected&) const = default;
};
/// A chosen change, sent to replicas that may not have it.
struct Chosen {
  Change change;
  Version oldest_kept = 1;  ///< the sender no longer keeps any change before this one

  bool operator==(const Chosen&) const = default;
};
/// Requests the chosen changes from this version on.
struct Fetch {
  Version from = 0;

  bool operator==(const Fetch&) const = default;
};
/// The state of the sender. Sent after a start until peers have recorded its run, then at intervals as a
/// heartbeat.
struct Hello {
  std::uint64_t start_count = 0;
  std::uint64_t run = 0;
  std::uint64_t replaces =
      0;  ///< the earlier run of the sender that the receiver has recorded; 0: not known yet
  bool recovering = false;  ///< its disk is old or empty, and it has not joined again yet
  bool joined = false;
  bool abstaining = false;  ///< it has joined but doesn't vote in the next slot
  Version version = 0;      ///< the newest chosen one that it has
  Version voted = 0;        ///< the highest slot in which it has a vote

  bool operator==(const Hello&) const = default;
};
/// What the sender has recorded of the replica that sent the hello, and the sender's own state.
struct HelloReply {
  std::uint64_t run = 0;  ///< the run of the hello that this answers
  PeerRecord
      seen;  ///< the sender's record of the receiver; with another run, the new run is not recorded yet
  bool joined = false;  ///< of the sender, like the fields below
  Version version = 0;
  Version voted = 0;  ///< the highest slot in which it has a vote or may have lost one
  Vote vote;          ///< only if the receiver has lost its own votes

  bool operator==(const HelloReply&) const = default;
};

using Message = std::variant<Prepare, Promise, Accept, Accepted, Rejected, Chosen, Fetch, Hello, HelloReply>;

}  // namespace client_proxy::consensus
