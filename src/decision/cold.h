// What a server that started lately may get.
#pragma once

#include "servers.h"
#include "statistics/rate_estimator.h"

namespace load_balancer::decision {

struct ColdStart : Servers {
  client_proxy::statistics::RateEstimator arrivals{kRateMemory};

  void startCold(Server& s, Time since) {
    s.cold_since = since;
    s.cold_refilled = now;
    // Clients that learn of it together do not come together.
    s.cold_tokens = random.unit() * hardFactor();
  }

  // Least in flight favours a cold, empty server. A client's own ordinary share times the least capacity of a
  // cold server keeps the sum over all clients within it, without talk; the bucket holds one request at most.
  bool coldAllows(Server& s, bool hard) {
    if (s.cold_since == 0) return true;
    const auto age = static_cast<double>(now - s.cold_since);
    const auto full = static_cast<double>(settings.slow_start_duration);
    if (age >= full) {
      s.cold_since = 0;
      return true;
    }
    const double from = settings.slow_start_initial_capacity;
    const double capacity = from + (1 - from) * std::max(0.0, age) / full;
    const double share = arrivals.perSecond(now) / std::max(1U, members) * relativeSize(s) * capacity *
                         hardFactor() * (atEase(s) ? kEaseGain : 1);
    s.cold_tokens += share * static_cast<double>(now - s.cold_refilled) / 1e6;
    s.cold_tokens = std::min(s.cold_tokens, hardFactor());
    s.cold_refilled = now;
    return s.cold_tokens >= (hard || atEase(s) ? 1 : hardFactor());
  }
  void spendCold(Server& s) const {
    if (s.cold_since != 0) s.cold_tokens = std::max(0.0, s.cold_tokens - hardFactor());
  }

  static constexpr double kRateMemory = 4e6;  // arrivals are averaged over this: longer than bursts
  static constexpr double kAtEase = 0.7;      // of the others' time: a cold server that is not pushed over
  static constexpr double kEaseGain = 1.5;    // its share grows so: what is served at once it can do

  // How far above its ordinary share a client may go where nothing but cold servers is left.
  double hardFactor() const { return std::max(1.0, settings.slow_start_overload_factor / 2); }

  // What warm servers of like size take: more than the average for a large one, less for a small one.
  double relativeSize(const Server& s) const {
    if (!settings.weighted || s.host.capacity <= 0) return 1;
    double sum = 0, count = 0;
    for (std::size_t i = 0; i < reach; ++i) {
      const Server& o = *order[i];
      if (o.usable() && o.host.capacity > 0) sum += o.host.capacity, ++count;
    }
    return count == 0 ? 1 : std::clamp(s.host.capacity * count / sum, 0.5, 2.0);
  }

  // Much faster than the others, it has room for all it may have: they are full where many are out by hand.
  static bool atEase(const Server& s) { return s.in_flight <= 1 && s.latency_ratio < kAtEase; }
};

}  // namespace load_balancer::decision
