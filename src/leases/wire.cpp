#include "leases/wire.h"

#include <algorithm>

#include "fleet/bytes.h"
#include "random/fnv.h"
#include "random/random.h"

namespace quinceline::leases {
namespace {

constexpr std::uint8_t kYes = 0x80, kUnknown = 0x40, kGround = 0x0F;

}  // namespace

ServiceId serviceId(std::string_view name) { return weldflow::fnv32(name); }

SiteId siteId(std::string_view zone) {
  if (zone.empty()) return kNowhere;
  const SiteId id = weldflow::folded(weldflow::fnv32(zone));
  return id == kNowhere ? 1 : id;
}

std::string encode(const Message& m) {
  using fleet::put;
  std::string out;
  put(out, static_cast<std::uint8_t>(static_cast<unsigned>(m.kind) | (m.informed ? kYes : 0U)));
  put(out, m.round);
  put(out, m.installation);
  put(out, m.file);
  put(out, m.digest);
  put(out, m.site);
  for (const Entry& e : m.entries) {
    put(out, e.service);
    put(out, e.deed.term);
    put(out, e.deed.site);
    put(out, static_cast<std::uint8_t>(static_cast<unsigned>(e.deed.ground) | (e.yes ? kYes : 0U) |
                                       (e.unknown ? kUnknown : 0U)));
    put(out, e.first);
    put(out, e.second);
  }
  return out;
}

std::optional<Message> decode(std::string_view bytes) {
  fleet::Reader in(bytes);
  Message m;
  const auto first = in.get<std::uint8_t>();
  const std::uint8_t kind = first & kGround;
  if (kind < static_cast<std::uint8_t>(Kind::Hello) || kind > static_cast<std::uint8_t>(Kind::Told))
    return std::nullopt;
  m.kind = static_cast<Kind>(kind);
  m.informed = (first & kYes) != 0;
  m.round = in.get<std::uint32_t>();
  m.installation = in.get<std::uint32_t>();
  m.file = in.get<std::uint32_t>();
  m.digest = in.get<std::uint32_t>();
  m.site = in.get<SiteId>();
  if (!in.ok()) return std::nullopt;
  while (in.left() > 0) {
    Entry e;
    e.service = in.get<ServiceId>();
    e.deed.term = in.get<Term>();
    e.deed.site = in.get<SiteId>();
    const auto flags = in.get<std::uint8_t>();
    e.first = in.get<std::uint16_t>();
    e.second = in.get<std::uint16_t>();
    if (!in.ok() || (flags & kGround) > static_cast<std::uint8_t>(Ground::Decree)) return std::nullopt;
    e.deed.ground = static_cast<Ground>(flags & kGround);
    e.yes = (flags & kYes) != 0;
    e.unknown = (flags & kUnknown) != 0;
    m.entries.push_back(e);
  }
  if (m.entries.size() > kMostEntries) return std::nullopt;
  return m;
}

std::vector<Message> inParts(const Message& message) {
  std::vector<Message> parts;
  std::size_t at = 0;
  do {
    Message part = message;
    const std::size_t n = std::min(kMostEntries, message.entries.size() - at);
    const auto from = message.entries.begin() + static_cast<std::ptrdiff_t>(at);
    part.entries.assign(from, from + static_cast<std::ptrdiff_t>(n));
    parts.push_back(std::move(part));
    at += n;
  } while (at < message.entries.size());
  return parts;
}

std::uint32_t digestOf(const std::vector<Kept>& deeds) {
  std::uint64_t all = deeds.size();
  for (const Kept& k : deeds) {
    const std::uint64_t one = std::uint64_t{k.service} << 32 | k.deed.term;
    all += weldflow::Random(one ^ std::uint64_t{k.deed.site} << 16).next();
  }
  return static_cast<std::uint32_t>(all ^ (all >> 32));
}

}  // namespace quinceline::leases
