#include "zone_health/zone_report.h"

#include "random/fnv.h"

namespace client_proxy::zone_health {
namespace {

constexpr std::size_t kEntrySize = 5;  // bytes: hash 2, epoch 2, state and observation 1

// A zone's identifier in an entry, the same at all members.
std::uint16_t hashOf(std::string_view name) { return load_balancer::folded(load_balancer::fnv32(name)); }

std::uint16_t readUint16(std::string_view bytes, std::size_t at) {
  return static_cast<std::uint16_t>(static_cast<unsigned char>(bytes[at]) |
                                    static_cast<unsigned char>(bytes[at + 1]) << 8);
}

}  // namespace

std::string encode(const std::vector<std::string>& names, const ZoneReport& reported) {
  std::string bytes;
  for (std::size_t z = 0; z < names.size() && bytes.size() < kMaxZones * kEntrySize; ++z) {
    const ZoneStatus& status = reported.statuses[z];
    if (status.epoch == 0 && reported.seen[z] == ZoneObservation::None) continue;
    const std::uint16_t hash = hashOf(names[z]);
    for (const std::uint16_t word : {hash, status.epoch}) {
      bytes += static_cast<char>(word & 0xFFU);
      bytes += static_cast<char>(word >> 8);
    }
    bytes +=
        static_cast<char>(static_cast<unsigned>(status.state) << 4 | static_cast<unsigned>(reported.seen[z]));
  }
  return bytes;
}

ZoneReport decode(std::string_view bytes, const std::vector<std::string>& names) {
  ZoneReport reported{std::vector<ZoneObservation>(names.size(), ZoneObservation::None),
                      std::vector<ZoneStatus>(names.size())};
  for (; bytes.size() >= kEntrySize; bytes.remove_prefix(kEntrySize)) {
    const std::uint16_t hash = readUint16(bytes, 0);
    const auto last = static_cast<unsigned char>(bytes[4]);
    const unsigned state = last >> 4, seen = last & 0xFU;
    if (state > static_cast<unsigned>(ZoneState::Down) ||
        state == static_cast<unsigned>(ZoneState::Suspected) ||
        seen > static_cast<unsigned>(ZoneObservation::Unresponsive))
      continue;
    for (std::size_t z = 0; z < names.size(); ++z) {
      if (hashOf(names[z]) != hash) continue;
      reported.statuses[z] = {readUint16(bytes, 2), static_cast<ZoneState>(state)};
      reported.seen[z] = static_cast<ZoneObservation>(seen);
    }
  }
  return reported;
}

}  // namespace client_proxy::zone_health
