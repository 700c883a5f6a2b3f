// What one client has observed of zones by its own attempts and health checks: which zones respond, and which
// are unresponsive as a whole. No I/O, no clock.
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

  // A response counts as evidence for this long.
  static constexpr Time kResponseLifetime = 3'000'000;
  // A missing response counts for longer, since a client that observed one rarely sends to the zone. Any
  // response to a later request invalidates it.
  static constexpr Time kNoResponseLifetime = 10'000'000;

  // A host of the zone has responded to an attempt that was sent at `sent`.
  void recordResponse(std::int32_t zone, Time sent, Time now);
  // A host of the zone has not responded to an attempt that was sent at `sent`. Returns whether the zone is
  // unresponsive: two of its hosts are, and none of the zone has responded since, while other zones have. If
  // the failure of a zone were detected host by host, it would cost every client some requests for each host.
  bool recordNoResponse(std::int32_t zone, std::string_view host, Time sent);
  // A host of the zone has not responded, and none has since.
  bool suspected(std::int32_t zone) const;

  // Records a missing response for the report to the fleet. `unreachable`: no connection was established, or
  // a health check failed. Load is the cause of neither: a machine's kernel accepts connections, and a host
  // responds to health checks, however busy it is.
  void recordForReport(std::int32_t zone, std::string_view host, Time sent, Time now, bool unreachable);
  // The report to the fleet. Responding: a response was received within kResponseLifetime and not before
  // `since`. Unresponsive: two hosts of the zone have not responded, one of them is unreachable, and no host
  // has responded to a request sent after the first request of these that failed, which was not sent before
  // `since`. Late responses alone are no evidence: in an overload all clients observe them.
  ZoneObservation report(std::int32_t zone, Time now, const load_balancer::ZoneObservedSince& since) const;

  // Discards the observations of a zone that the fleet has declared up again.
  void forget(std::int32_t zone) { zones_.erase(zone); }

 private:
  static constexpr Time kNever = std::numeric_limits<Time>::min() / 2;
  struct Zone {
    Time last_response = kNever;
    std::string suspect;  // the first unresponsive host since the last response; empty: none
    // For the report: the first unresponsive host, when the request to it was sent, and when a response was
    // last missing.
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
  if (sent < z.first_sent) return;  // sent before the first failure, so it does not contradict that
  z.reported_suspect.clear();
  z.second_suspect = z.unreachable = false;
}

inline bool ZoneObservations::recordNoResponse(std::int32_t zone, std::string_view host, Time sent) {
  Zone& z = zones_[zone];
  // If no zone has responded since, the fault may be this client's.
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
