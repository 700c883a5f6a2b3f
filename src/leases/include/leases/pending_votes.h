// Votes that are not sent before the promise is on disk. No I/O, no clock.
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
  // True if it is the first to wait for this grant, which then has to be written.
  bool add(const Vote& vote);
  // Removes and returns those that waited for it.
  std::vector<Vote> take(const StoredGrant& stored);
  void clear() { votes_.clear(); }

 private:
  std::vector<Vote> votes_;
};

}  // namespace client_proxy::leases
