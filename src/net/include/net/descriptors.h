// The budget of file descriptors, shared by client and host connections.
#pragma once

#include <cstddef>
#include <functional>
#include <utility>
#include <vector>

#include "admission/permit_pool.h"
#include "net/clock.h"

namespace client_proxy {

using admission::Side;

// Whoever opens a connection takes a place first. When none is free for that side, connections give way, in
// the order of the reclaimers (each closes one and tells whether it could).
class Descriptors {
 public:
  Descriptors(const Clock& clock, std::size_t limit)
      : clock_(clock), permits_({.all = limit, .least_clients = limit / 8, .least_hosts = limit / 4}) {}

  void addReclaimer(Side side, std::function<bool()> close_one) {
    reclaimers_.push_back({side, std::move(close_one)});
  }

  // False: there is no place, and nobody can give way.
  bool take(Side side) {
    while (!permits_.free(clock_.now(), side)) {
      if (!reclaim(side)) return false;
    }
    permits_.take(clock_.now(), side);
    return true;
  }
  // For a connection that is open already.
  void takeAnyway(Side side) { permits_.take(clock_.now(), side); }
  void release(Side side) { permits_.release(clock_.now(), side); }

  std::size_t most(Side side) { return permits_.most(clock_.now(), side); }
  std::size_t used() const { return permits_.used(); }
  std::size_t used(Side side) const { return permits_.used(side); }
  // A bound of all together from now on; more may be in use.
  void setLimit(std::size_t limit) { permits_.setAll(limit); }
  std::size_t limit() const { return permits_.all(); }

 private:
  struct Reclaimer {
    Side side;
    std::function<bool()> close_one;
  };

  // Where a side is at its own bound, only its own connections make room for it.
  bool reclaim(Side side) {
    const bool own = permits_.used(side) >= permits_.most(clock_.now(), side);
    for (const Reclaimer& r : reclaimers_) {
      if ((!own || r.side == side) && r.close_one()) return true;
    }
    return false;
  }

  const Clock& clock_;
  admission::PermitPool permits_;
  std::vector<Reclaimer> reclaimers_;
};

}  // namespace client_proxy
