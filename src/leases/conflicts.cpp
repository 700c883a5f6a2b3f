#include "leases/conflicts.h"

#include <algorithm>
#include <array>

namespace client_proxy::leases {

const Resolution& resolutionOf(ConflictKind kind) {
  static constexpr std::array<Resolution, 7> kAll = {{
      {"the claimant: its term is lower than one that has been granted", "requests under the newer grant",
       "the claimant adopts the newer grant"},
      {"the member with the higher number: it discards its storage and restarts with an empty one",
       "requests under the promises of the other members", "it has received the grants of a majority"},
      {"members whose operator file differs from that of the majority", "requests under the current grant",
       "the operator files are equal"},
      {"both sites", "no unsafe and no keyed requests",
       "the home site is granted the next term, or an operator overrides the owner again"},
      {"the claimant: its lease has expired",
       "requests under the newer grant, once the drain time of the old one is over",
       "the claimant adopts the newer grant"},
      {"the claimant", "requests under the grant known to a majority; none if there is no such grant",
       "the claimant is granted the service under the next term"},
      {"the owner, until the fleet has a higher term than the hosts", "no unsafe and no keyed requests",
       "the owner is granted the service under a term higher than that of the hosts"},
  }};
  return kAll[static_cast<std::size_t>(kind)];
}

bool ConflictLog::record(Time now, Conflict conflict) {
  const auto same = std::find_if(all_.begin(), all_.end(), [&](const Conflict& o) {
    return o.kind == conflict.kind && o.service == conflict.service && o.claimant == conflict.claimant &&
           o.claim == conflict.claim;
  });
  if (same != all_.end()) {
    const bool again = same->settled;
    same->last = now;
    ++same->times;
    same->settled = false;
    return again;
  }
  if (all_.size() >= kMaxConflicts) all_.erase(all_.begin());
  conflict.first = conflict.last = now;
  conflict.times = 1;
  all_.push_back(conflict);
  return true;
}

void ConflictLog::settle(Time now) {
  for (Conflict& conflict : all_) conflict.settled = conflict.settled || now - conflict.last >= kSettled;
}

std::size_t ConflictLog::count(ConflictKind kind) const {
  return static_cast<std::size_t>(std::count_if(
      all_.begin(), all_.end(), [&](const Conflict& conflict) { return conflict.kind == kind; }));
}

}  // namespace client_proxy::leases
