// Votes held back until the promise that they depend on is on disk. No I/O, no clock.
#pragma once

#include <cstdint>
#include <vector>

#include "leases/wire.h"

namespace client_proxy::leases {

class PendingVotes {
 public:
  struct Vote {
    StoredGrant stored;
    Number to = 0;
    std::uint32_t round = 0;
    Entry entry;
  };
  // Returns whether this is the first vote that waits for the grant; the caller then has to write the grant.
  bool add(const Vote& vote);
  // Removes and returns the votes that waited for this grant.
  std::vector<Vote> take(const StoredGrant& stored);
  void clear() { votes_.clear(); }

 private:
  std::vector<Vote> votes_;
};

}  // namespace client_proxy::leases
