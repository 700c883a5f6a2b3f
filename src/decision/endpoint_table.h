// The known endpoints by id, and the numbered slots that they hold. A container: it decides nothing.
#pragma once

#include <map>
#include <span>
#include <string>

#include "containers/slot_table.h"
#include "endpoint.h"

namespace load_balancer::policy {

class EndpointTable {
 public:
  using ById = std::map<std::string, Endpoint, std::less<>>;  // sorted: no decision depends on a hash
  using Slots = client_proxy::containers::SlotTable<Endpoint>;

  Endpoint* find(std::string_view id) {
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? nullptr : &it->second;
  }
  Endpoint& findOrAdd(const std::string& id) { return by_id_[id]; }
  ById& all() { return by_id_; }
  const ById& all() const { return by_id_; }

  const Slots& slots() const { return slots_; }
  void takeSlot(Endpoint& endpoint) { slots_.take(endpoint); }
  void freeSlot(Endpoint& endpoint) { slots_.give(endpoint); }
  void trimSlots() { slots_.trim(); }
  // Slots as another Balancer had them; whoever is listed and has none takes a free one.
  void restoreSlots(std::span<const HostSnapshot> snapshots) {
    slots_.clear();
    for (auto& [id, endpoint] : by_id_) endpoint.slot = kUnset;
    for (const HostSnapshot& snapshot : snapshots) {
      if (Endpoint* const endpoint = find(snapshot.id)) slots_.take(*endpoint, snapshot.slot);
    }
    for (auto& [id, endpoint] : by_id_) {
      if (endpoint.listed) slots_.take(endpoint);
    }
  }

  // It is not listed any more. One in maintenance keeps its slot: it returns, and then shifts nobody.
  void remove(Endpoint& endpoint) {
    if (!endpoint.in_maintenance) slots_.give(endpoint);
    endpoint.listed = false;
    endpoint.host.state = HostState::Gone;
  }
  // Erases what nobody lists, nothing waits for and staff have said nothing of.
  void eraseRemoved() {
    std::erase_if(by_id_, [](const auto& entry) {
      const Endpoint& e = entry.second;
      return !e.listed && !e.in_maintenance && e.in_flight == 0 && !e.health_check_pending;
    });
  }

 private:
  ById by_id_;
  Slots slots_;
};

}  // namespace load_balancer::policy
