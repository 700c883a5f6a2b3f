// What one client has seen of zones by its own attempts: which answer, and which are silent as a whole. No
// I/O, no clock.
#pragma once

#include <algorithm>
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
  using Time = std::int64_t;                 // microseconds, of any steady clock
  static constexpr Time kFresh = 3'000'000;  // an answer from longer ago says nothing of now
  // Silence is believed for longer: who has found it goes there seldom. Any answer ends it.
  static constexpr Time kSilenceLasts = 10'000'000;

  // An attempt that was sent at `sent` was answered by a server of the zone.
  void answered(std::int32_t zone, Time sent, Time now);
  // An attempt that was sent at `sent` has met silence at a server of the zone. True: so have two servers
  // there, with no answer from the zone but some from elsewhere since this one was sent. To find it out of
  // each server by itself would cost every client some requests for each.
  bool unresponsive(std::int32_t zone, std::string_view server, Time sent);
  // One server there was, and none has answered since.
  bool suspected(std::int32_t zone) const;
  // The same as it is told to others. `unreachable`: a connection did not come up, or a probe was not
  // answered, which is no late answer: a machine's kernel takes connections, and a server answers probes,
  // however busy it is.
  void note(std::int32_t zone, std::string_view server, Time sent, Time now, bool unreachable);
  // What is told to others. Answers: of late, come at `since` or later. Silence on what was sent at `since`
  // or later: of two servers there, one of them unreachable, and no answer from the zone to what was sent
  // since the first of them was tried. Lateness alone is never silence here: where many are full at once all
  // would see it.
  ZoneObservation seen(std::int32_t zone, Time now, const load_balancer::ZoneObservedSince& since) const;
  // The others say that it is back: what was seen before says nothing any more.
  void forget(std::int32_t zone) { zones_.erase(zone); }

 private:
  static constexpr Time kNever = std::numeric_limits<Time>::min() / 2;
  struct Zone {
    Time last_answer = kNever;
    std::string unresponsive;  // the server there that was silent first, with no answer from the zone since
    // As it is told to others: the first, when that one was tried, and the last silence.
    std::string first;
    Time first_sent = kNever, silent_at = kNever;
    bool two = false, unreachable = false;  // so was another; one of them could not be reached
  };
  std::map<std::int32_t, Zone> zones_;
  Time last_answer_ = kNever;  // of any server
};

inline void ZoneObservations::answered(std::int32_t zone, Time sent, Time now) {
  last_answer_ = now;
  Zone& z = zones_[zone];
  z.last_answer = now;
  z.unresponsive.clear();
  if (sent < z.first_sent) return;  // it says nothing against it
  z.first.clear();
  z.two = z.unreachable = false;
}

inline bool ZoneObservations::unresponsive(std::int32_t zone, std::string_view server, Time sent) {
  Zone& z = zones_[zone];
  if (z.last_answer >= sent || last_answer_ < sent) return false;  // where nobody answers it may be us
  if (z.unresponsive.empty()) z.unresponsive = server;
  return z.unresponsive != server;
}

inline bool ZoneObservations::suspected(std::int32_t zone) const {
  const auto it = zones_.find(zone);
  return it != zones_.end() && !it->second.unresponsive.empty();
}

inline void ZoneObservations::note(std::int32_t zone, std::string_view server, Time sent, Time now,
                                   bool unreachable) {
  Zone& z = zones_[zone];
  if (z.last_answer >= sent) return;
  if (z.first.empty() || now - z.silent_at >= kSilenceLasts) {
    z.first = server;
    z.first_sent = sent;
    z.two = z.unreachable = false;
  }
  z.silent_at = now;
  z.two = z.two || z.first != server;
  z.unreachable = z.unreachable || unreachable;
}

inline ZoneObservation ZoneObservations::seen(std::int32_t zone, Time now,
                                              const load_balancer::ZoneObservedSince& since) const {
  const auto it = zones_.find(zone);
  if (it == zones_.end()) return ZoneObservation::None;
  const Zone& z = it->second;
  if (z.two && z.unreachable) {
    const bool counts = now - z.silent_at < kSilenceLasts && z.first_sent >= since.silence;
    return counts ? ZoneObservation::Unresponsive : ZoneObservation::None;
  }
  return now - z.last_answer < kFresh && z.last_answer >= since.answers ? ZoneObservation::Responding
                                                                        : ZoneObservation::None;
}

}  // namespace client_proxy::zone_health
