// Decides from what clients do whether idle connections are worth keeping. No I/O, no clock.
#pragma once

#include "admission/rejection_reason.h"

namespace client_proxy::admission {

// An idle connection is worth its place only if the client sends another request on it. Some clients don't:
// they open a connection for each request and then hold it. If the number of their connections is limited,
// each one that the proxy keeps open is one on which they can't send, and requests are lost without ever
// reaching the proxy.
//
// At first all connections are kept. When nearly all recent requests came on new connections although idle
// ones existed, only a few idle connections are kept, and the others are closed with their response. Those
// few show when to keep all of them again: if most of them get a second request, clients do reuse connections
// (third and later requests don't count, since connections that are reused are kept in any case). This is
// also how the policy recovers after a restart with many slow clients, whose first requests all come on new
// connections. If the policy alternates, each further change to keeping few is delayed longer, up to a limit.
//
// A client that takes turns on more connections than are kept, and uses each seldom, pays with additional
// handshakes.
class ReusePolicy {
 public:
  // The first byte of a request arrived, the `nth` on its connection, counted from 1. `idle`: the number of
  // idle connections at that moment, including this one.
  void onRequest(Time now, std::uint32_t nth, std::size_t idle);
  // An idle connection closed after `requests` requests. Must not be called for connections that were
  // evicted, since those might have been reused.
  void onUnused(std::uint32_t requests);

  bool keepsFewIdle() const { return keeps_few_idle_; }
  double reusedFraction() const { return reused_; }

 private:
  static constexpr double kWeight = 0.04;       // a moving average over about 25 requests
  static constexpr double kTrialWeight = 0.15;  // and over about six idle connections
  static constexpr double kKeepFewBelow = 0.2, kKeepAllAbove = 0.5;
  // How long all connections are kept after a return to keeping all; doubled up to the maximum if the policy
  // soon returned the last time.
  static constexpr Time kHold = 2'000'000, kMaxHold = 60'000'000;

  bool keeps_few_idle_ = false;
  double reused_ = 1;        // fraction of the requests that came on an idle connection, while there were any
  double trial_reused_ = 0;  // fraction of the connections kept after their first request that got a second
  Time few_since_ = 0;
  Time keep_all_until_ = 0;  // all connections are kept until then
  Time hold_ = kHold;
};

}  // namespace client_proxy::admission
