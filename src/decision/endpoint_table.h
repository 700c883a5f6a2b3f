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
  // One that returns to the list is known by its last start.
  Endpoint& findOrAdd(const std::string& id) {
    const auto [it, added] = by_id_.try_emplace(id);
    if (!added) return it->second;
    if (const auto removed = removed_.find(id); removed != removed_.end()) {
      it->second = std::move(removed->second);
      removed_.erase(removed);
    }
    return it->second;
  }
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
    endpoint.host.state = HostState::Removed;
  }
  // Erases what nobody lists, nothing waits for and staff have said nothing of.
  void eraseRemoved() {
    std::erase_if(by_id_, [this](const auto& entry) {
      const Endpoint& e = entry.second;
      const bool over = !e.listed && !e.in_maintenance && e.in_flight == 0 && !e.health_check_pending;
      if (over && e.host.started_at != 0) remember(e);
      return over;
    });
  }

 private:
  static constexpr std::size_t kMostRemoved = 1024;  // starts that are remembered

  void remember(const Endpoint& endpoint) {
    if (removed_.size() >= kMostRemoved) removed_.clear();
    Endpoint& removed = removed_[endpoint.host.id];
    removed = {};
    removed.host.started_at = endpoint.host.started_at;
    removed.slow_start_since = endpoint.slow_start_since;
    removed.slow_start_tokens = endpoint.slow_start_tokens;
    removed.slow_start_refilled = endpoint.slow_start_refilled;
  }

  ById by_id_;
  ById removed_;  // with their starts alone
  Slots slots_;
};

}  // namespace load_balancer::policy
