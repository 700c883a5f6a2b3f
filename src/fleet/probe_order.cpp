#include "fleet/probe_order.h"

#include "fleet/shuffle.h"

namespace client_proxy::fleet {

void ProbeOrder::begin(const Roster& roster, Number self, load_balancer::Random& random) {
  order_.clear();
  position_ = 0;
  for (const Member& m : roster.all()) {
    if (m.listed.number != self) order_.push_back(m.listed.number);
  }
  shuffle(order_, random);
}

std::optional<std::size_t> ProbeOrder::next(const Roster& roster, Number self,
                                            load_balancer::Random& random) {
  for (std::size_t looked = 0; looked <= roster.size(); ++looked) {
    if (position_ >= order_.size()) {
      begin(roster, self, random);
      if (order_.empty()) return std::nullopt;
    }
    const auto slot = roster.find(order_[position_++]);
    if (slot && isLive(roster.at(*slot).standing.state)) return slot;
  }
  return std::nullopt;
}

}  // namespace client_proxy::fleet
