// Cache of the leases of all sites: whether a request of a service may be sent, and to which site. No I/O, no
// clock.
#pragma once

#include <deque>
#include <map>
#include <string_view>

#include "leases/wire.h"

namespace client_proxy::leases {

// Why a request may not be sent. Such a request is refused before any part of it has run.
enum class Denial : std::uint8_t {
  None,
  OwnerUnknown,   // no lease of the service is known
  LeaseExpired,   // the owner's lease has expired as far as this member knows
  Draining,       // requests of the previous owner may still be in flight
  NoSuchService,  // the operator file has no service of this name
};
// The name on the operators' page.
constexpr std::string_view nameOf(Denial denial) {
  constexpr std::string_view kNames[] = {"may-be-sent", "no-owner-heard", "lease-over", "owed", "no-service"};
  return kNames[static_cast<std::size_t>(denial)];
}

// Whether a request may be sent now, to which site and under which term.
struct Permit {
  Denial denial = Denial::OwnerUnknown;
  SiteId site = kNoSite;
  Term term = 0;
  Time wait = 0;  // Draining: the remaining drain time
  bool ok() const { return denial == Denial::None; }
};

class LeaseCache {
 public:
  explicit LeaseCache(const Settings& settings) : settings_(settings) {}

  // Starts a round of queries and returns its number.
  std::uint32_t beginQuery(Time now);
  // Handles the reply to a query. The remaining lease time counts from when the query was sent.
  void onReply(Time now, std::uint32_t round, const Entry& entry);
  // Enters a lease that this member holds itself.
  void update(ServiceId service, const Grant& grant, Time expires_at, Time ready_at);
  // Removes a lease that newer information contradicts.
  void invalidate(ServiceId service) { leases_.erase(service); }
  void clear() { leases_.clear(); }

  Permit permit(ServiceId service, Time now) const;
  // When the drain time before this grant ends, so that a new leader of the site need not start it again.
  // fleet::kNever: not known.
  Time readyAt(ServiceId service, const Grant& grant) const;

 private:
  struct CachedLease {
    Grant grant;
    Time expires_at = fleet::kLongAgo, ready_at = fleet::kNever;
  };
  void merge(ServiceId service, const CachedLease& lease);

  const Settings& settings_;
  std::map<ServiceId, CachedLease> leases_;
  struct Round {  // of queries
    std::uint32_t number;
    Time sent;
  };
  std::deque<Round> rounds_;
  std::uint32_t last_round_ = 0;
};

}  // namespace client_proxy::leases
