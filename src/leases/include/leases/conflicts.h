// Conflicts: claims that contradict the known grants, classified and kept for the operators' page. No I/O, no
// clock.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "leases/types.h"

namespace client_proxy::leases {

enum class ConflictKind : std::uint8_t {
  Stale,                 // the claim comes from storage written before a power cut or from an older copy
  CopiedStorage,         // two members use copies of the same storage
  ConfigMismatch,        // the members' operator files differ
  ConflictingOverrides,  // operators' overrides to different sites under one term
  ExpiredLease,          // the claimant's lease expired while it was stalled or cut off, and another site
                         // has been granted the service
  Unwitnessed,           // no other member knows the claim's term
  HostsSawNewerTerm,     // hosts have received requests under a newer term
};
// The name on the operators' page and in log lines.
constexpr std::string_view nameOf(ConflictKind kind) {
  constexpr std::string_view kNames[] = {"stale",      "copied",      "written",     "forced",
                                         "past-lease", "unwitnessed", "contradicted"};
  return kNames[static_cast<std::size_t>(kind)];
}

// A claim that contradicts what is known, with how often and when it was made.
struct Conflict {
  ConflictKind kind = ConflictKind::Stale;
  ServiceId service = 0;   // 0: all services
  Number claimant = 0;     // the member that made the claim
  Grant claim{}, known{};  // the claimed grant, and the known grant that contradicts it
  Number other = 0;        // CopiedStorage: the other member with the same storage
  Time first = 0, last = 0;
  std::uint32_t times = 0;
  bool settled = false;  // the claim has not been repeated for ConflictLog::kSettled
};

// How a kind of conflict is resolved, as texts for the operators' page.
struct Resolution {
  std::string_view yielding_party;    // the member or site that stops serving
  std::string_view served_meanwhile;  // what is served until the conflict is resolved
  std::string_view ends_when;         // the event that resolves the conflict
};
const Resolution& resolutionOf(ConflictKind kind);

class ConflictLog {
 public:
  static constexpr std::size_t kMaxConflicts = 64;       // the oldest is dropped first
  static constexpr Time kSettled = 10 * fleet::kSecond;  // without a repetition of the claim

  // Returns whether the conflict is new or had been settled, and so should be logged.
  bool record(Time now, Conflict conflict);
  // Marks conflicts that have not been repeated for kSettled.
  void settle(Time now);
  const std::vector<Conflict>& all() const { return all_; }  // in order of their first occurrence
  std::size_t count(ConflictKind kind) const;

 private:
  std::vector<Conflict> all_;
};

}  // namespace client_proxy::leases
