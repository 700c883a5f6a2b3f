#include "fleet/facts.h"

#include <algorithm>
#include <cmath>

#include "fleet/bytes.h"

namespace client_proxy::fleet {
namespace {

constexpr std::uint8_t kVersion = 1, kZone = 2, kRegion = 3, kTraffic = 4;  // tags

constexpr double kTrafficRatio = 1.1, kMinTraffic = 0.1;

void add(std::string& out, std::uint8_t tag, std::string_view bytes) {
  if (bytes.empty() || out.size() + 2 + bytes.size() > kMaxFactsBytes) return;
  put(out, tag);
  put(out, static_cast<std::uint8_t>(bytes.size()));
  out += bytes;
}

std::string number(std::uint16_t value) {
  std::string bytes;
  if (value != 0) put(bytes, value);
  return bytes;
}

}  // namespace

const Facts::Note* Facts::find(std::uint8_t tag) const {
  const auto it = std::find_if(notes.begin(), notes.end(), [&](const Note& n) { return n.tag == tag; });
  return it == notes.end() ? nullptr : &*it;
}

std::uint16_t trafficStep(double per_second) {
  if (!(per_second > kMinTraffic)) return 0;
  const double step = std::log(per_second / kMinTraffic) / std::log(kTrafficRatio);
  return static_cast<std::uint16_t>(std::min(std::lround(step) + 1, 1000L));
}

double trafficOf(std::uint16_t step) {
  return step == 0 ? 0 : kMinTraffic * std::pow(kTrafficRatio, step - 1);
}

std::string encode(const Facts& facts) {
  std::string out;
  add(out, kVersion, number(facts.version));
  add(out, kZone, std::string_view(facts.zone).substr(0, kMaxNameBytes));
  add(out, kRegion, std::string_view(facts.region).substr(0, kMaxNameBytes));
  add(out, kTraffic, number(trafficStep(facts.traffic)));
  for (const Facts::Note& note : facts.notes) add(out, note.tag, note.bytes);
  return out;
}

std::optional<Facts> decodeFacts(std::string_view bytes) {
  if (bytes.size() > kMaxFactsBytes) return std::nullopt;
  Facts facts;
  Reader in(bytes);
  while (in.left() > 0) {
    const auto tag = in.get<std::uint8_t>();
    const std::string_view value = in.take(in.get<std::uint8_t>());
    if (!in.ok()) return std::nullopt;
    switch (tag) {
      case kVersion:
        facts.version = Reader(value).get<std::uint16_t>();
        break;
      case kZone:
        facts.zone = value;
        break;
      case kRegion:
        facts.region = value;
        break;
      case kTraffic:
        facts.traffic = trafficOf(std::min<std::uint16_t>(Reader(value).get<std::uint16_t>(), 1000));
        break;
      default:
        facts.notes.push_back({tag, std::string(value)});
    }
  }
  return facts;
}

}  // namespace client_proxy::fleet
