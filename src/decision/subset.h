// The order in which this client prefers the listed endpoints, and its subset: the shortest prefix of that
// order with enough usable endpoints. Unusable members are thus replaced by the next endpoints in order.
#pragma once

#include <cmath>
#include <vector>

#include "endpoint_table.h"
#include "policy_context.h"

namespace load_balancer::policy {

class Subset {
 public:
  // Usable members by default: few connections, yet some failed members leave enough others.
  static constexpr std::uint32_t kSize = 12;

  Subset(const PolicyContext& context, RateLimitedLog& log, EndpointTable& endpoints)
      : context_(context), log_(log), endpoints_(endpoints) {}

  // Listed endpoints in this client's order. The subset is the first end() of them.
  const std::vector<Endpoint*>& order() const { return order_; }
  std::span<Endpoint* const> span() const { return {order_.data(), end_}; }
  std::size_t end() const { return end_; }
  std::uint32_t usable() const { return usable_; }
  std::uint32_t targetSize() const { return target_size_; }

  // To be called when endpoints have become usable or unusable. A new member starts at the lowest virtual
  // time of the present members: it does not make up for turns before it joined.
  void recompute() {
    double start = latest_virtual_time_;
    for (const Endpoint* endpoint : order_) {
      if (endpoint->in_subset && endpoint->usable()) start = std::min(start, endpoint->virtual_time);
    }
    usable_ = 0;
    end_ = 0;
    for (Endpoint* endpoint : order_) {
      endpoint->in_subset = usable_ < target_size_;
      if (!endpoint->in_subset) continue;
      ++end_;
      usable_ += endpoint->usable() ? 1U : 0U;
      endpoint->virtual_time = std::max(endpoint->virtual_time, start);
    }
  }

  // Extends the subset when this client's own load exceeds it, and shrinks it later. Since the subset is a
  // prefix of the order, it keeps its members when it grows.
  void adjustSize(Actions& out) {
    const auto needed = static_cast<std::uint32_t>(std::ceil(kMembersPerRequest * context_.mean_in_flight));
    const auto size = std::max(kSize, std::min(needed, static_cast<std::uint32_t>(order_.size())));
    if (size > target_size_) {
      target_size_ = size;
      resized_at_ = context_.now;
      recompute();
      log_.write(RateLimitedLog::Kind::SubsetSize, "subset lengthened to " + std::to_string(size), out);
    } else if (size < target_size_ && context_.now - resized_at_ > kShrinkDelay) {
      target_size_ = std::max(size, target_size_ - std::max(1U, target_size_ / 8));
      resized_at_ = context_.now - kShrinkDelay / 2;
      recompute();
    }
  }

  void recordSend(const Endpoint& endpoint) {
    latest_virtual_time_ = std::max(latest_virtual_time_, endpoint.virtual_time);
  }
  // Discards the turns that an endpoint could not take: accumulated, they would cause a burst.
  void dropMissedTurns(Endpoint& endpoint) const {
    endpoint.virtual_time = std::max(endpoint.virtual_time, latest_virtual_time_);
  }

  // To be called after any change of slots.
  void rebuildOrder() {
    endpoints_.trimSlots();
    order_.clear();
    const EndpointTable::Slots& slots = endpoints_.slots();
    for (const std::uint32_t slot :
         subsetOrder(context_.settings.client, static_cast<std::uint32_t>(slots.size()))) {
      if (slots[slot] != nullptr) order_.push_back(slots[slot]);
    }
    recompute();
  }

 private:
  static constexpr double kMembersPerRequest = 4;     // in flight: a client with high load uses more hosts
  static constexpr Time kShrinkDelay = 10 * kSecond;  // keeps the size stable between bursts

  const PolicyContext& context_;
  RateLimitedLog& log_;
  EndpointTable& endpoints_;
  std::vector<Endpoint*> order_;
  std::size_t end_ = 0;
  std::uint32_t usable_ = 0, target_size_ = kSize;
  double latest_virtual_time_ = 0;  // highest among endpoints that were sent a request
  Time resized_at_ = 0;
};

}  // namespace load_balancer::policy
