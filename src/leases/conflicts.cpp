#include "leases/conflicts.h"

#include <algorithm>
#include <array>

namespace client_proxy::leases {

const Resolution& resolutionOf(ConflictKind kind) {
  static constexpr std::array<Resolution, 7> kAll = {{
      {"the claimant: its term is below one that was granted", "the newer deed",
       "the claimant takes the newer deed over"},
      {"the one with the higher number: it gives up that memory and starts without",
       "by the promises of the others", "it has heard a majority"},
      {"whoever has no majority of files with it", "by the deed that holds", "the files are made alike"},
      {"both", "nothing unsafe or keyed", "the home site is granted the next term, or one more decree"},
      {"the claimant: its lease is over", "the newer deed, once what was owed to the old one is over",
       "the claimant takes the newer deed over"},
      {"the claimant", "by what a majority remembers; nothing, if that is nothing",
       "it claims by the next term, and is granted it"},
      {"the owner, until the fleet has a term above the hosts'", "nothing unsafe or keyed",
       "it claims by a term above that, and is granted it"},
  }};
  return kAll[static_cast<std::size_t>(kind)];
}

bool ConflictLog::note(Time now, Conflict f) {
  const auto same = std::find_if(all_.begin(), all_.end(), [&](const Conflict& o) {
    return o.kind == f.kind && o.service == f.service && o.claimant == f.claimant && o.claim == f.claim;
  });
  if (same != all_.end()) {
    const bool again = same->settled;
    same->last = now;
    ++same->times;
    same->settled = false;
    return again;
  }
  if (all_.size() >= kMost) all_.erase(all_.begin());
  f.first = f.last = now;
  f.times = 1;
  all_.push_back(f);
  return true;
}

void ConflictLog::settle(Time now) {
  for (Conflict& f : all_) f.settled = f.settled || now - f.last >= kSettled;
}

std::size_t ConflictLog::count(ConflictKind kind) const {
  return static_cast<std::size_t>(
      std::count_if(all_.begin(), all_.end(), [&](const Conflict& f) { return f.kind == kind; }));
}

}  // namespace client_proxy::leases
