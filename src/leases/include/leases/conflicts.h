// Claims that contradict what is known: classified, and kept for operators. No I/O, no clock.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "leases/types.h"

namespace client_proxy::leases {

enum class ConflictKind : std::uint8_t {
  Stale,                 // from storage of before a power cut, or an older copy of it
  CopiedStorage,         // two members use copies of one installation's storage
  ConfigMismatch,        // operator files that differ
  ConflictingOverrides,  // two operators' orders under one term
  ExpiredLease,          // the holder stood still, and another has been granted the service
  Unwitnessed,           // under a term that nobody remembers granting
  HostsSawNewerTerm,     // hosts have been sent requests under a newer term
};
// As operators see it.
constexpr std::string_view nameOf(ConflictKind kind) {
  constexpr std::string_view kNames[] = {"stale",      "copied",      "written",     "forced",
                                         "past-lease", "unwitnessed", "contradicted"};
  return kNames[static_cast<std::size_t>(kind)];
}

struct Conflict {
  ConflictKind kind = ConflictKind::Stale;
  ServiceId service = 0;     // 0: all services
  Number claimant = 0;       // who made the claim
  Grant claim{}, against{};  // what was claimed, and what is known instead
  Number other = 0;          // CopiedStorage: the other member that has it
  Time first = 0, last = 0;
  std::uint32_t times = 0;
  bool settled = false;  // the claim has not been repeated for ConflictLog::kSettled
};

// How a kind of conflict is resolved, in operators' words.
struct Resolution {
  std::string_view stands_down;  // who stops serving
  std::string_view meanwhile;    // what is served until then
  std::string_view ends;         // what ends the conflict
};
const Resolution& resolutionOf(ConflictKind kind);

class ConflictLog {
 public:
  static constexpr std::size_t kMost = 64;  // the oldest are forgotten first
  static constexpr Time kSettled = 10 * fleet::kSecond;

  // True if it is new, or had been settled: worth a log line.
  bool note(Time now, Conflict conflict);
  void settle(Time now);
  const std::vector<Conflict>& all() const { return all_; }  // the newest last
  std::size_t count(ConflictKind kind) const;

 private:
  std::vector<Conflict> all_;
};

}  // namespace client_proxy::leases
