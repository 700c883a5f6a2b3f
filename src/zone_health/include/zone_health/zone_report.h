// The encoding of what a member reports of zones in its gossip record: their status and its observations. No
// I/O, no clock.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "zone_health/zone_health_quorum.h"

namespace client_proxy::zone_health {

constexpr std::uint8_t kZonesNote = 16;  // the note's tag: see fleet::Facts
constexpr std::size_t kMaxZones = 8;     // entries in one note

// What one member reports of all zones.
struct ZoneReport {
  std::vector<ZoneObservation> seen;  // by zone
  std::vector<ZoneStatus> statuses;   // by zone
};

// `names`: of the zones, in the order of the report. Members may number zones differently, so an entry
// carries a 16-bit hash of the name. Returns an empty string if there is nothing to report; entries beyond
// kMaxZones are left out.
std::string encode(const std::vector<std::string>& names, const ZoneReport& reported);
// Ignores entries that are incomplete, invalid or of an unknown zone. A zone without an entry gets no
// observation and epoch 0.
ZoneReport decode(std::string_view bytes, const std::vector<std::string>& names);

}  // namespace client_proxy::zone_health
