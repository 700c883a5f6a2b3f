#include "leases/wire.h"

#include <algorithm>

#include "fleet/bytes.h"
#include "random/fnv.h"
#include "random/random.h"

namespace client_proxy::leases {
namespace {

// The byte of Message::kind and the byte of an entry's ClaimReason carry flags in their upper bits. kFlagBit
// is Message::synchronized in the former and Entry::granted in the latter.
constexpr std::uint8_t kFlagBit = 0x80, kUnknownBit = 0x40, kValueMask = 0x0F;

}  // namespace

ServiceId serviceId(std::string_view name) { return load_balancer::fnv32(name); }

SiteId siteId(std::string_view zone) {
  if (zone.empty()) return kNoSite;
  const SiteId id = load_balancer::folded(load_balancer::fnv32(zone));
  return id == kNoSite ? 1 : id;
}

std::string encode(const Message& m) {
  using fleet::put;
  std::string out;
  put(out, static_cast<std::uint8_t>(static_cast<unsigned>(m.kind) | (m.synchronized ? kFlagBit : 0U)));
  put(out, m.round);
  put(out, m.installation);
  put(out, m.config_hash);
  put(out, m.digest);
  put(out, m.site);
  for (const Entry& e : m.entries) {
    put(out, e.service);
    put(out, e.grant.term);
    put(out, e.grant.site);
    put(out, static_cast<std::uint8_t>(static_cast<unsigned>(e.grant.reason) | (e.granted ? kFlagBit : 0U) |
                                       (e.unknown ? kUnknownBit : 0U)));
    put(out, e.valid_ms);
    put(out, e.wait_ms);
  }
  return out;
}

std::optional<Message> decode(std::string_view bytes) {
  fleet::Reader in(bytes);
  Message m;
  const auto first = in.get<std::uint8_t>();
  const std::uint8_t kind = first & kValueMask;
  if (kind < static_cast<std::uint8_t>(MessageKind::SyncRequest) ||
      kind > static_cast<std::uint8_t>(MessageKind::LeaseReply))
    return std::nullopt;
  m.kind = static_cast<MessageKind>(kind);
  m.synchronized = (first & kFlagBit) != 0;
  m.round = in.get<std::uint32_t>();
  m.installation = in.get<std::uint32_t>();
  m.config_hash = in.get<std::uint32_t>();
  m.digest = in.get<std::uint32_t>();
  m.site = in.get<SiteId>();
  if (!in.ok()) return std::nullopt;
  while (in.left() > 0) {
    Entry e;
    e.service = in.get<ServiceId>();
    e.grant.term = in.get<Term>();
    e.grant.site = in.get<SiteId>();
    const auto flags = in.get<std::uint8_t>();
    e.valid_ms = in.get<std::uint16_t>();
    e.wait_ms = in.get<std::uint16_t>();
    if (!in.ok() || (flags & kValueMask) > static_cast<std::uint8_t>(ClaimReason::Override))
      return std::nullopt;
    e.grant.reason = static_cast<ClaimReason>(flags & kValueMask);
    e.granted = (flags & kFlagBit) != 0;
    e.unknown = (flags & kUnknownBit) != 0;
    m.entries.push_back(e);
  }
  if (m.entries.size() > kMaxEntries) return std::nullopt;
  return m;
}

std::vector<Message> splitIntoParts(const Message& message) {
  std::vector<Message> parts;
  std::size_t at = 0;
  do {
    Message part = message;
    const std::size_t n = std::min(kMaxEntries, message.entries.size() - at);
    const auto from = message.entries.begin() + static_cast<std::ptrdiff_t>(at);
    part.entries.assign(from, from + static_cast<std::ptrdiff_t>(n));
    parts.push_back(std::move(part));
    at += n;
  } while (at < message.entries.size());
  return parts;
}

std::uint32_t digestOf(const std::vector<StoredGrant>& grants) {
  std::uint64_t all = grants.size();
  for (const StoredGrant& stored : grants) {
    const std::uint64_t hash_input = std::uint64_t{stored.service} << 32 | stored.grant.term;
    all += load_balancer::Random(hash_input ^ std::uint64_t{stored.grant.site} << 16).next();
  }
  return static_cast<std::uint32_t>(all ^ (all >> 32));
}

}  // namespace client_proxy::leases
