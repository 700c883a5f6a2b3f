// Whether clients use their kept connections again. No I/O, no clock.
#pragma once

#include "admission/rejection_reason.h"

namespace client_proxy::admission {

// Keeping a connection is worth its place only if the client asks on it again. Some clients don't (each
// request comes on a connection of its own, which the client then holds), and where those are bounded in
// number on their side, what we keep open for them is what they can't ask on: requests are lost without ever
// reaching us.
//
// Kept: connections are kept as a matter of course. Nearly all of the last requests came on new connections
// although idle ones were there: Frugal. Then only a few are kept, the others are closed with their answer.
// Those few tell when to go back: if most of them get a second request, connections are worth keeping after
// all (third and later ones tell nothing: where some clients do keep to theirs, those are kept anyway). That
// is also the way out for many slow clients after a restart, whose first requests all come on new
// connections. Where it goes back and forth, each return to Frugal takes longer, up to a bound.
//
// It would harm clients that use one connection in turn with more others than are kept, each seldom: their
// handshakes are what it costs.
class ReusePolicy {
 public:
  // The first byte of a request has come, as the `nth` on its connection, from 1; `idle`: kept connections at
  // that moment, this one too.
  void onRequest(Time now, std::uint32_t nth, std::size_t idle);
  // A kept connection ended after `requests`, without another. Not to be told of those that were closed early
  // for room: they never had their chance.
  void onUnused(std::uint32_t requests);

  bool keepsFewIdle() const { return frugal_; }
  double reusedFraction() const { return reused_; }

 private:
  static constexpr double kWeight = 0.04;       // the last 25 requests count
  static constexpr double kTrialWeight = 0.15;  // the last half dozen kept connections do
  static constexpr double kLow = 0.2, kHigh = 0.5;
  static constexpr Time kHold = 2'000'000, kLongestHold = 60'000'000;

  bool frugal_ = false;
  double reused_ = 1;  // part of the requests that came on a kept connection, where there were any
  double trials_ = 0;  // part of the connections kept after their first request that got a second
  Time frugal_since_ = 0;
  Time kept_until_ = 0;  // no turning frugal before this
  Time hold_ = kHold;
};

}  // namespace client_proxy::admission
