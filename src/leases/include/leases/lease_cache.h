// Leases of all sites as far as this member knows them: whether a request may be sent, and where. No I/O, no
// clock.
#pragma once

#include <deque>
#include <map>
#include <string_view>

#include "leases/wire.h"

namespace client_proxy::leases {

// Why a request may not be sent. It is refused before any part of it has run.
enum class Denial : std::uint8_t {
  None,
  OwnerUnknown,   // no owner has been heard of yet
  LeaseExpired,   // the owner's lease is over, as far as is known here
  Draining,       // requests of the owner before may still be under way
  NoSuchService,  // the operator file has none of this name
};
// As operators see it.
constexpr std::string_view nameOf(Denial denial) {
  constexpr std::string_view kNames[] = {"may-be-sent", "no-owner-heard", "lease-over", "owed", "no-service"};
  return kNames[static_cast<std::size_t>(denial)];
}

// Whether a request may be sent at this moment, to which site and under which term.
struct Permit {
  Denial denial = Denial::OwnerUnknown;
  SiteId site = kNoSite;
  Term term = 0;
  Time wait = 0;  // Draining: for how long yet
  bool ok() const { return denial == Denial::None; }
};

class LeaseCache {
 public:
  explicit LeaseCache(const Settings& settings) : settings_(settings) {}

  // Starts a round of queries; its number.
  std::uint32_t beginQuery(Time now);
  // An answer to a query: the lease counts from when the query was sent.
  void onReply(Time now, std::uint32_t round, const Entry& entry);
  // A lease that this member holds itself.
  void update(ServiceId service, const Grant& grant, Time expires_at, Time ready_at);
  // Something is known that contradicts the lease.
  void invalidate(ServiceId service) { known_.erase(service); }
  void clear() { known_.clear(); }

  Permit permit(ServiceId service, Time now) const;
  // When the drain time before this grant ends, for a new leader of its site. kNever: not known.
  Time readyAt(ServiceId service, const Grant& grant) const;

 private:
  struct Known {
    Grant grant;
    Time expires_at = fleet::kLongAgo, ready_at = fleet::kNever;
  };
  void merge(ServiceId service, const Known& known);

  const Settings& settings_;
  std::map<ServiceId, Known> known_;
  struct Round {
    std::uint32_t number;
    Time sent;
  };
  std::deque<Round> rounds_;
  std::uint32_t last_round_ = 0;
};

}  // namespace client_proxy::leases
