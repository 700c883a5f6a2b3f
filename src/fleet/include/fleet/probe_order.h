// Selects the member to probe next: round robin over a shuffled list, as in SWIM. No I/O, no clock.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "fleet/roster.h"
#include "fleet/types.h"
#include "random/random.h"

namespace client_proxy::fleet {

// Every live member is probed once before any is probed again, so a failure is detected within a bounded
// number of probe intervals.
class ProbeOrder {
 public:
  // Slot of the next live member, or nothing if no other member is live.
  std::optional<std::size_t> next(const Roster& roster, Number self, load_balancer::Random& random);
  // Starts a new round. To be called when the list of members has changed.
  void reset() { order_.clear(); }

 private:
  void begin(const Roster& roster, Number self, load_balancer::Random& random);

  std::vector<Number> order_;
  std::size_t position_ = 0;
};

}  // namespace client_proxy::fleet
