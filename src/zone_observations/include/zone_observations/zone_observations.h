// What one client has observed of zones by its own attempts: which respond, and which are unresponsive as a
// whole. No I/O, no clock.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>

#include "load_balancer/balancer.h"

namespace client_proxy::zone_health {

using ZoneObservation = load_balancer::ZoneObservation;

class ZoneObservations {
 public:
  using Time = std::int64_t;  // microseconds, of any steady clock

  // A response is evidence for so long.
  static constexpr Time kResponseLifetime = 3'000'000;
  // No response is evidence for longer, since a client that observed it goes there seldom. Any response ends
  // it.
  static constexpr Time kNoResponseLifetime = 10'000'000;

  // A host of the zone has responded to an attempt that was sent at `sent`.
  void recordResponse(std::int32_t zone, Time sent, Time now);
  // A host of the zone has not responded to an attempt that was sent at `sent`. Returns whether the zone is
  // unresponsive: two of its hosts are, and none of it has responded since, while other zones have. Found out
  // host by host, a lost zone would cost every client some requests for each.
  bool recordNoResponse(std::int32_t zone, std::string_view host, Time sent);
  // One of its hosts has not responded, and none has since.
  bool suspected(std::int32_t zone) const;

  // The same for what is reported to the fleet. `unreachable`: no connection came up, or a health check
  // failed. Neither is load: a machine's kernel accepts connections, and a host answers health checks,
  // however busy.
  void recordForReport(std::int32_t zone, std::string_view host, Time sent, Time now, bool unreachable);
  // What is reported to the fleet. Responding: a response came lately and not before `since`. Unresponsive:
  // two hosts of the zone are, one of them unreachable, and nothing has responded to what was sent since the
  // first of them was tried, which was not before `since`. Late responses alone count for nothing: in an
  // overload all clients see them.
  ZoneObservation report(std::int32_t zone, Time now, const load_balancer::ZoneObservedSince& since) const;

  // The fleet holds the zone to be up again: earlier observations are void.
  void forget(std::int32_t zone) { zones_.erase(zone); }

 private:
  static constexpr Time kNever = std::numeric_limits<Time>::min() / 2;
  struct Zone {
    Time last_response = kNever;
    std::string suspect;  // the first unresponsive host since the last response; empty: none
    // As it is reported: the first unresponsive host, when that was tried, and when it happened last.
    std::string reported_suspect;
    Time first_sent = kNever, no_response_at = kNever;
    bool second_suspect = false, unreachable = false;
  };
  std::map<std::int32_t, Zone> zones_;
  Time last_response_ = kNever;  // of any zone
};

inline void ZoneObservations::recordResponse(std::int32_t zone, Time sent, Time now) {
  last_response_ = now;
  Zone& z = zones_[zone];
  z.last_response = now;
  z.suspect.clear();
  if (sent < z.first_sent) return;  // it was sent before and contradicts nothing
  z.reported_suspect.clear();
  z.second_suspect = z.unreachable = false;
}

inline bool ZoneObservations::recordNoResponse(std::int32_t zone, std::string_view host, Time sent) {
  Zone& z = zones_[zone];
  // Where no zone responds the fault may be this client's.
  if (z.last_response >= sent || last_response_ < sent) return false;
  if (z.suspect.empty()) z.suspect = host;
  return z.suspect != host;
}

inline bool ZoneObservations::suspected(std::int32_t zone) const {
  const auto it = zones_.find(zone);
  return it != zones_.end() && !it->second.suspect.empty();
}

inline void ZoneObservations::recordForReport(std::int32_t zone, std::string_view host, Time sent, Time now,
                                              bool unreachable) {
  Zone& z = zones_[zone];
  if (z.last_response >= sent) return;
  if (z.reported_suspect.empty() || now - z.no_response_at >= kNoResponseLifetime) {
    z.reported_suspect = host;
    z.first_sent = sent;
    z.second_suspect = z.unreachable = false;
  }
  z.no_response_at = now;
  z.second_suspect = z.second_suspect || z.reported_suspect != host;
  z.unreachable = z.unreachable || unreachable;
}

inline ZoneObservation ZoneObservations::report(std::int32_t zone, Time now,
                                                const load_balancer::ZoneObservedSince& since) const {
  const auto it = zones_.find(zone);
  if (it == zones_.end()) return ZoneObservation::None;
  const Zone& z = it->second;
  if (z.second_suspect && z.unreachable) {
    const bool counts = now - z.no_response_at < kNoResponseLifetime && z.first_sent >= since.no_responses;
    return counts ? ZoneObservation::Unresponsive : ZoneObservation::None;
  }
  const bool responds = now - z.last_response < kResponseLifetime && z.last_response >= since.responses;
  return responds ? ZoneObservation::Responding : ZoneObservation::None;
}

}  // namespace client_proxy::zone_health
