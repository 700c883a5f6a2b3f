// Everything that is due at some time, on one system timer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "net/clock.h"

namespace client_proxy {

// A callback looks up by id whether what it was set for still matters. One whose time-out is long is
// cancelled as well when that is over: else thousands of requests that have ended would hold memory until it
// is due.
class Timers {
 public:
  class Id {
   public:
    Id() = default;  // of no timer
    auto operator<=>(const Id&) const = default;

   private:
    friend class Timers;
    Id(Time when, std::uint64_t order) : when_(when), order_(order) {}
    Time when_ = 0;
    std::uint64_t order_ = 0;
  };

  Timers(boost::asio::io_context& io, const Clock& clock) : clock_(clock), timer_(io) {}

  Id at(Time when, std::function<void()> callback);
  Id after(Time delay, std::function<void()> callback) {
    return at(clock_.now() + delay, std::move(callback));
  }
  // Nothing happens if its callback has been called or cancelled.
  void cancel(Id id) { pending_.erase(id); }
  const Clock& clock() const { return clock_; }
  std::size_t pending() const { return pending_.size(); }

 private:
  void arm();
  void fired();
  void yieldThenRun(int rounds);
  void runDue();

  const Clock& clock_;
  boost::asio::steady_timer timer_;
  std::map<Id, std::function<void()>> pending_;
  std::uint64_t next_order_ = 1;
  Time armed_for_ = kNever;
  bool running_ = false;
};

}  // namespace client_proxy
