// What a member tells of zones in its record of facts: verdicts and what it has seen. No I/O, no clock.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "zone_health/zone_health_quorum.h"

namespace client_proxy::zone_health {

constexpr std::uint8_t kZonesNote = 16;  // the note's tag: see fleet::Facts
constexpr std::size_t kMostTold = 8;     // zones in one note

struct ZoneReport {
  std::vector<ZoneObservation> seen;  // by zone
  std::vector<ZoneStatus> statuses;   // by zone
};

// `names` by zone; members may number their zones differently, so these go by a hash of 16 bits. Empty: there
// is nothing to tell.
std::string encode(const std::vector<std::string>& names, const ZoneReport& reported);
// What is not whole or of an unknown zone is passed over.
ZoneReport decode(std::string_view bytes, const std::vector<std::string>& names);

}  // namespace client_proxy::zone_health
