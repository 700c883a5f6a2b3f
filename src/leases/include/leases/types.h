// Types of service ownership. How they work together: docs/ownership.md (operators), docs/design-ownership.md
// (design).
//
// A *service* is a set of routes whose unsafe and keyed requests only one *site* (a zone of hosts) may run. A
// *grant* assigns the service to a site under a *term*, a fencing token that only increases. A site holds a
// *lease* on its grant as long as a majority of the listed members have *promised* not to grant the service
// to any other site; a promise lasts for a limited time and has to be renewed.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/types.h"

namespace client_proxy::leases {

using fleet::Number;
using fleet::Time;

using Term = std::uint32_t;       // fencing token; 0: the service has never had an owner
using ServiceId = std::uint32_t;  // hash of the service's name
using SiteId = std::uint16_t;     // hash of the zone's name
constexpr SiteId kNoSite = 0;

// FNV-1a hashes, equal on every machine. siteId() returns kNoSite only for an empty name.
ServiceId serviceId(std::string_view name);
SiteId siteId(std::string_view zone);

// Why a site claims a service, weakest reason first.
enum class ClaimReason : std::uint8_t {
  Home,      // the service has never had an owner, and the operator file names the site as its home
  Reclaim,   // the site already owns the service, but needs a new term because its last one was contested
  Takeover,  // the owner's site is lost, and the operator file names this one as home or stand-by
  Override,  // ordered by an operator
};
// The name on operators' pages and in log lines.
constexpr std::string_view nameOf(ClaimReason reason) {
  constexpr std::string_view kNames[] = {"home", "again", "vacant", "decree"};
  return kNames[static_cast<std::size_t>(reason)];
}

// The assignment of a service to a site under a term.
struct Grant {
  Term term = 0;
  SiteId site = kNoSite;
  ClaimReason reason = ClaimReason::Home;
  bool operator==(const Grant&) const = default;
};

// A service as configured in this member's operator file.
struct Service {
  std::string name;
  ServiceId id = 0;
  SiteId home = kNoSite, stand_by = kNoSite;  // kNoSite: none
};

// A member on the configured list of members. Only these vote.
struct ListedMember {
  Number number = 0;
  SiteId site = kNoSite;
};

// Must be equal on all members.
struct Settings {
  Time lease = 3 * fleet::kSecond;
  double drift = 0.01;  // largest relative error of a member's clock rate, fast or slow
  Time drain = 0;       // longest request deadline plus longest deduplication window of idempotency keys
  std::uint32_t config_hash = 0;                    // of the services in the operator file
  Time takeover_after = 1 * fleet::kSecond;         // how long a site must have been lost
  Time query_interval = 400 * fleet::kMillisecond;  // between queries for leases of other sites

  // How long a promise binds the voter, by the voter's clock: longer than the lease.
  Time promiseDuration() const { return static_cast<Time>(static_cast<double>(lease) * (1 + drift)); }
  // How long the holder may rely on a promise, by the holder's clock: shorter than the lease.
  Time leaseDuration() const { return static_cast<Time>(static_cast<double>(lease) * (1 - drift)); }
  // How long after the end of an owner's lease its requests may still be in flight, by any member's clock.
  Time drainTime() const { return static_cast<Time>(static_cast<double>(drain) * (1 + drift)); }
};

// A promise of a grant. It must be on disk before the member sends its vote.
struct StoredGrant {
  ServiceId service = 0;
  Grant grant;
  bool ready = false;  // only on the owner: the drain time of the previous owner is over
  bool operator==(const StoredGrant&) const = default;
};

}  // namespace client_proxy::leases
