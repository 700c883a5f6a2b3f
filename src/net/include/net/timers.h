// Everything that is due at some time, on one system timer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "net/clock.h"

namespace client_proxy {

// Timers are never withdrawn: a callback looks up by id whether what it was set for still matters. That costs
// a heap entry until it is due, and saves a system call and two allocations for each time-out that is not
// reached, which is nearly all of them.
class Timers {
 public:
  Timers(boost::asio::io_context& io, const Clock& clock) : clock_(clock), timer_(io) {}

  void at(Time when, std::function<void()> callback);
  void after(Time delay, std::function<void()> callback) { at(clock_.now() + delay, std::move(callback)); }
  const Clock& clock() const { return clock_; }
  std::size_t pending() const { return heap_.size(); }

 private:
  struct Entry {
    Time when;
    std::uint64_t order;
    std::function<void()> callback;
  };
  struct Later {
    bool operator()(const Entry& a, const Entry& b) const {
      return a.when != b.when ? a.when > b.when : a.order > b.order;
    }
  };

  void arm();
  void fired();
  void yieldThenRun(int rounds);
  void runDue();

  const Clock& clock_;
  boost::asio::steady_timer timer_;
  std::vector<Entry> heap_;
  std::uint64_t next_order_ = 0;
  Time armed_for_ = kNever;
  bool running_ = false;
};

}  // namespace client_proxy
