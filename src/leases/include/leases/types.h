// The words of ownership: docs/ownership.md says what they mean together, docs/design-ownership.md why it is
// so.
//
// A *service* is a set of routes whose unsafe and keyed requests only one *site* (a zone of hosts) may run. A
// *deed* says which, by a *term* that only grows. A site holds a deed as long as a majority of the listed
// members have *promised* to let no other site have it; a promise lasts for a *lease*.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/types.h"

namespace quinceline::leases {

using fleet::Number;
using fleet::Time;

using Term = std::uint32_t;       // 0: nobody has ever owned it
using ServiceId = std::uint32_t;  // of its name
using SiteId = std::uint16_t;     // of its zone's name
constexpr SiteId kNowhere = 0;

// Hashes that are the same everywhere (FNV-1a); kNowhere only for "".
ServiceId serviceId(std::string_view name);
SiteId siteId(std::string_view zone);

// Why a site claims a service. In the order of what it takes to be believed.
enum class Ground : std::uint8_t {
  Home,    // nobody has ever owned it, and the operator file says so
  Again,   // the same site, by a new term: its last one was in doubt
  Vacant,  // the owner's site is lost, and the operator file names this one as home or stand-by
  Decree,  // an operator says so
};
constexpr std::string_view nameOf(Ground g) {
  constexpr std::string_view kNames[] = {"home", "again", "vacant", "decree"};
  return kNames[static_cast<std::size_t>(g)];
}

struct Deed {
  Term term = 0;
  SiteId site = kNowhere;
  Ground ground = Ground::Home;
  bool operator==(const Deed&) const = default;
};

// A service as this member's operator file has it.
struct Service {
  std::string name;
  ServiceId id = 0;
  SiteId home = kNowhere, stand_by = kNowhere;  // kNowhere: none
};

struct Listed {
  Number number = 0;
  SiteId site = kNowhere;
};

// What all members must have alike.
struct Rules {
  Time lease = 3 * fleet::kSecond;
  double drift = 0.01;                         // by which a member's clock may run fast or slow
  Time owed = 0;                               // the longest deadline and the longest key window together
  std::uint32_t file = 0;                      // of the services as the operator file has them
  Time vacant_after = 1 * fleet::kSecond;      // a site is lost for so long before another claims
  Time ask_every = 400 * fleet::kMillisecond;  // for what may be sent
  // How long a promise binds whoever gave it, and how long it counts for whoever asked.
  Time binds() const { return static_cast<Time>(static_cast<double>(lease) * (1 + drift)); }
  Time counts() const { return static_cast<Time>(static_cast<double>(lease) * (1 - drift)); }
  // So long after an owner's last moment nothing of its work is under way, on whichever clock that is
  // counted.
  Time owes() const { return static_cast<Time>(static_cast<double>(owed) * (1 + drift)); }
};

// What a member must have on disk before it says a word of it.
struct Kept {
  ServiceId service = 0;
  Deed deed;
  bool ready = false;  // as the owner: what was owed before the first request is over
  bool operator==(const Kept&) const = default;
};

}  // namespace quinceline::leases
