// What replicas say to each other. Each message goes one way and may be lost, doubled or overtaken.
#pragma once

#include "consensus/types.h"

namespace client_proxy::consensus {

/// Asks for a promise to take part in no lower ballot of this slot.
struct Prepare {
  Version slot = 0;
  Ballot ballot;

  bool operator==(const Prepare&) const = default;
};
struct Promise {
  Version slot = 0;
  Ballot ballot;
  Ballot accepted;              ///< round 0: nothing was accepted yet
  std::optional<Change> value;  ///< what was accepted

  bool operator==(const Promise&) const = default;
};
struct Accept {
  Version slot = 0;
  Ballot ballot;
  Change value;

  bool operator==(const Accept&) const = default;
};
struct Accepted {
  Version slot = 0;
  Ballot ballot;

  bool operator==(const Accepted&) const = default;
};
/// A higher ballot was promised.
struct Rejected {
  Version slot = 0;
  Ballot ballot;    ///< the one that was asked for
  Ballot promised;  ///< the one that stands against it

  bool operator==(const Rejected&) const = default;
};
struct Chosen {
  Change change;
  Version oldest_kept = 1;  ///< the sender has no change before this one any more

  bool operator==(const Chosen&) const = default;
};
/// Asks for the chosen changes from this one on.
struct Fetch {
  Version from = 0;

  bool operator==(const Fetch&) const = default;
};
struct Hello {
  std::uint64_t start_count = 0;
  std::uint64_t run = 0;
  std::uint64_t replaces =
      0;  ///< the run of the sender that the receiver knew last, found on the sender's disk
  bool recovering = false;
  bool joined = false;
  bool abstaining = false;  ///< it has joined, and does not vote in the next slot
  Version version = 0;
  Version voted = 0;  ///< the highest slot in which it has a vote

  bool operator==(const Hello&) const = default;
};
struct HelloReply {
  std::uint64_t run = 0;  ///< which it answers
  PeerRecord
      seen;  ///< what the sender has on its disk of the asking replica; another run: it is not taken yet
  bool joined = false;  ///< of the sender, as all that follows
  Version version = 0;
  Version voted = 0;  ///< the highest slot in which it has a vote, or had one that it has forgotten
  Vote vote;          ///< only where the asking replica has forgotten its own

  bool operator==(const HelloReply&) const = default;
};

using Message = std::variant<Prepare, Promise, Accept, Accepted, Rejected, Chosen, Fetch, Hello, HelloReply>;

}  // namespace client_proxy::consensus
