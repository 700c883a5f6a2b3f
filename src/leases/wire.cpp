#include "leases/wire.h"

#include <algorithm>

#include "fleet/bytes.h"
#include "random/fnv.h"
#include "random/random.h"

namespace client_proxy::leases {
namespace {

constexpr std::uint8_t kYes = 0x80, kUnknown = 0x40, kReasonMask = 0x0F;

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
  put(out, static_cast<std::uint8_t>(static_cast<unsigned>(m.kind) | (m.synchronized ? kYes : 0U)));
  put(out, m.round);
  put(out, m.installation);
  put(out, m.config_hash);
  put(out, m.digest);
  put(out, m.site);
  for (const Entry& e : m.entries) {
    put(out, e.service);
    put(out, e.grant.term);
    put(out, e.grant.site);
    put(out, static_cast<std::uint8_t>(static_cast<unsigned>(e.grant.reason) | (e.yes ? kYes : 0U) |
                                       (e.unknown ? kUnknown : 0U)));
    put(out, e.valid_ms);
    put(out, e.wait_ms);
  }
  return out;
}

std::optional<Message> decode(std::string_view bytes) {
  fleet::Reader in(bytes);
  Message m;
  const auto first = in.get<std::uint8_t>();
  const std::uint8_t kind = first & kReasonMask;
  if (kind < static_cast<std::uint8_t>(Kind::SyncRequest) ||
      kind > static_cast<std::uint8_t>(Kind::LeaseReply))
    return std::nullopt;
  m.kind = static_cast<Kind>(kind);
  m.synchronized = (first & kYes) != 0;
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
    if (!in.ok() || (flags & kReasonMask) > static_cast<std::uint8_t>(ClaimReason::Override))
      return std::nullopt;
    e.grant.reason = static_cast<ClaimReason>(flags & kReasonMask);
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

std::uint32_t digestOf(const std::vector<StoredGrant>& grants) {
  std::uint64_t all = grants.size();
  for (const StoredGrant& k : grants) {
    const std::uint64_t one = std::uint64_t{k.service} << 32 | k.grant.term;
    all += load_balancer::Random(one ^ std::uint64_t{k.grant.site} << 16).next();
  }
  return static_cast<std::uint32_t>(all ^ (all >> 32));
}

}  // namespace client_proxy::leases
