// The encoding of what a member reports of zones in its gossip record: their status and its observations. No
// I/O, no clock.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "zone_health/zone_health_quorum.h"

namespace client_proxy::zone_health {

constexpr std::uint8_t kZonesNote = 16;  // the note's tag: see fleet::Facts
constexpr std::size_t kMostZones = 8;    // in one note

struct ZoneReport {
  std::vector<ZoneObservation> seen;  // by zone
  std::vector<ZoneStatus> statuses;   // by zone
};

// `names` by zone: members may number zones differently, so that an entry carries a 16-bit hash of the name.
// Empty: there is nothing to report.
std::string encode(const std::vector<std::string>& names, const ZoneReport& reported);
// Entries that are incomplete or of an unknown zone are ignored.
ZoneReport decode(std::string_view bytes, const std::vector<std::string>& names);

}  // namespace client_proxy::zone_health
