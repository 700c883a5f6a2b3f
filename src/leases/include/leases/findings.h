// Wrong claims that this member has met: told apart, with what shows them. No I/O, no clock.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "leases/types.h"

namespace quinceline::leases {

enum class Wrong : std::uint8_t {
  Stale,         // a memory from before a cut, or an older copy of it
  Copied,        // two members have one installation's memory
  Written,       // operator files that differ
  Forced,        // two decrees by one term
  PastLease,     // its holder stood still, and another has been granted it
  Unwitnessed,   // of a term that nobody remembers granting
  Contradicted,  // the hosts have seen a newer term
};
constexpr std::string_view nameOf(Wrong w) {
  constexpr std::string_view kNames[] = {"stale",      "copied",      "written",     "forced",
                                         "past-lease", "unwitnessed", "contradicted"};
  return kNames[static_cast<std::size_t>(w)];
}

struct Finding {
  Wrong kind = Wrong::Stale;
  ServiceId service = 0;    // 0: of all
  Number claimant = 0;      // whose words they were
  Deed claim{}, against{};  // what was claimed, and what is known instead
  Number other = 0;         // of a copied memory: who else has it
  Time first = 0, last = 0;
  std::uint32_t times = 0;
  bool settled = false;  // the claimant has not said it again for some time
};

// Who stands down, what is served meanwhile, and what ends it: the same for all of a kind.
struct Remedy {
  std::string_view stands_down, meanwhile, ends;
};
const Remedy& remedyOf(Wrong kind);

class Findings {
 public:
  static constexpr std::size_t kMost = 64;
  static constexpr Time kSettled = 10 * fleet::kSecond;  // nobody has said it again for so long

  // True: it is new, and worth a line.
  bool note(Time now, Finding finding);
  void settle(Time now);
  const std::vector<Finding>& all() const { return all_; }  // the newest last
  std::size_t count(Wrong kind) const;

 private:
  std::vector<Finding> all_;
};

}  // namespace quinceline::leases
