// Types of service ownership. How they work together: docs/ownership.md (operators), docs/design-ownership.md
// (design).
//
// A *service* is a set of routes whose unsafe and keyed requests only one *site* (a zone of hosts) may run. A
// *grant* says which site, under a *term*: a fencing token that only grows. A site holds a *lease* on its
// grant as long as a majority of the listed members have *promised* to let no other site have the service; a
// promise lasts for a limited time and has to be renewed.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/types.h"

namespace client_proxy::leases {

using fleet::Number;
using fleet::Time;

using Term = std::uint32_t;       // fencing token; 0: nobody has ever owned the service
using ServiceId = std::uint32_t;  // hash of the service's name
using SiteId = std::uint16_t;     // hash of the zone's name
constexpr SiteId kNoSite = 0;

// FNV-1a, the same on every machine; kNoSite only for "".
ServiceId serviceId(std::string_view name);
SiteId siteId(std::string_view zone);

// Why a site claims a service, weakest reason first.
enum class ClaimReason : std::uint8_t {
  Home,      // nobody has ever owned it, and the operator file names the site as its home
  Reclaim,   // the same site under a new term: its last one was in doubt
  Takeover,  // the owner's site is lost, and the operator file names this one as home or stand-by
  Override,  // an operator's order
};
// As operators see it.
constexpr std::string_view nameOf(ClaimReason reason) {
  constexpr std::string_view kNames[] = {"home", "again", "vacant", "decree"};
  return kNames[static_cast<std::size_t>(reason)];
}

struct Grant {
  Term term = 0;
  SiteId site = kNoSite;
  ClaimReason reason = ClaimReason::Home;
  bool operator==(const Grant&) const = default;
};

// A service as this member's operator file describes it.
struct Service {
  std::string name;
  ServiceId id = 0;
  SiteId home = kNoSite, stand_by = kNoSite;  // kNoSite: none
};

// A member that votes.
struct Listed {
  Number number = 0;
  SiteId site = kNoSite;
};

// Must be the same for all members.
struct Settings {
  Time lease = 3 * fleet::kSecond;
  double drift = 0.01;                              // part by which a member's clock may run fast or slow
  Time drain = 0;                                   // longest deadline and longest key window together
  std::uint32_t config_hash = 0;                    // of the services in the operator file
  Time takeover_after = 1 * fleet::kSecond;         // that a site has been lost
  Time query_interval = 400 * fleet::kMillisecond;  // between questions for leases that others hold

  // How long a promise binds the voter: longer than the lease, by its own clock.
  Time promiseDuration() const { return static_cast<Time>(static_cast<double>(lease) * (1 + drift)); }
  // How long the holder may rely on it: shorter than the lease, by its own clock.
  Time leaseDuration() const { return static_cast<Time>(static_cast<double>(lease) * (1 - drift)); }
  // After the end of an owner's lease nothing that it sent is under way for longer, by anybody's clock.
  Time drainTime() const { return static_cast<Time>(static_cast<double>(drain) * (1 + drift)); }
};

// What a member must have on disk before it tells anybody.
struct StoredGrant {
  ServiceId service = 0;
  Grant grant;
  bool ready = false;  // as the owner: the drain time is over
  bool operator==(const StoredGrant&) const = default;
};

}  // namespace client_proxy::leases
