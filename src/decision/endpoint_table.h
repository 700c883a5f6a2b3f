// The known endpoints by id, and the numbered slots assigned to them. A container without any policy.
#pragma once

#include <map>
#include <span>
#include <string>

#include "containers/slot_table.h"
#include "endpoint.h"

namespace load_balancer::policy {

class EndpointTable {
 public:
  using ById = std::map<std::string, Endpoint, std::less<>>;  // sorted, so that no decision depends on a hash
  using Slots = client_proxy::containers::SlotTable<Endpoint>;

  // Null if there is no such endpoint.
  Endpoint* find(std::string_view id) {
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? nullptr : &it->second;
  }
  // An endpoint that was removed and returns has its last start restored, if that is still stored.
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
  void assignSlot(Endpoint& endpoint) { slots_.assign(endpoint); }
  void releaseSlot(Endpoint& endpoint) { slots_.release(endpoint); }
  void trimSlots() { slots_.trim(); }
  // Restores the slots of another Balancer's snapshot; listed endpoints without a slot get a free one.
  void restoreSlots(std::span<const HostSnapshot> snapshots) {
    slots_.clear();
    for (auto& [id, endpoint] : by_id_) endpoint.slot = kUnset;
    for (const HostSnapshot& snapshot : snapshots) {
      if (Endpoint* const endpoint = find(snapshot.id)) slots_.assign(*endpoint, snapshot.slot);
    }
    for (auto& [id, endpoint] : by_id_) {
      if (endpoint.listed) slots_.assign(endpoint);
    }
  }

  // The endpoint is no longer listed. In maintenance it keeps its slot, so that its return moves no others.
  void remove(Endpoint& endpoint) {
    if (!endpoint.in_maintenance) slots_.release(endpoint);
    endpoint.listed = false;
    endpoint.host.state = HostState::Removed;
  }
  // Erases endpoints that are not listed, not in maintenance and have no attempt or health check pending.
  void eraseRemoved() {
    std::erase_if(by_id_, [this](const auto& entry) {
      const Endpoint& e = entry.second;
      const bool unused = !e.listed && !e.in_maintenance && e.in_flight == 0 && !e.health_check_pending;
      if (unused && e.host.started_at != 0) storeStart(e);
      return unused;
    });
  }

 private:
  static constexpr std::size_t kMaxRemoved = 1024;  // erased endpoints whose starts are stored

  void storeStart(const Endpoint& endpoint) {
    if (removed_.size() >= kMaxRemoved) removed_.clear();
    Endpoint& removed = removed_[endpoint.host.id];
    removed = {};
    removed.host.started_at = endpoint.host.started_at;
    removed.slow_start_since = endpoint.slow_start_since;
    removed.slow_start_tokens = endpoint.slow_start_tokens;
    removed.slow_start_refilled_at = endpoint.slow_start_refilled_at;
  }

  ById by_id_;
  ById removed_;  // erased endpoints, with their starts only
  Slots slots_;
};

}  // namespace load_balancer::policy
