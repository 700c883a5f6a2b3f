// What a host in slow start can bear, by the settings and the capacity of a warm host of its size. Pure.
#pragma once

#include <algorithm>
#include <cmath>

#include "plan.h"

namespace client_proxy::rig {

// The least part of its capacity that a host has at this age.
inline double capacityAt(const SlowStartPlan& plan, Span age) {
  const double part = std::chrono::duration<double>(age) / std::chrono::duration<double>(plan.duration);
  return std::min(1.0, plan.initial_capacity + (1 - plan.initial_capacity) * part);
}

// The most requests of mean work within one window that ends at this age: the budget, and what is put down
// to chance. `warm_rate`: what a warm host serves a second.
inline double mostInWindow(const SlowStartPlan& plan, double warm_rate, Span age) {
  constexpr double kSmallBudget = 30;
  const double window = std::chrono::duration<double>(plan.overload_window).count();
  const double budget = plan.overload_factor * capacityAt(plan, age) * warm_rate * window;
  const double chance = budget < kSmallBudget ? 3 : 2;
  return budget + chance * std::sqrt(budget) + chance;
}

}  // namespace client_proxy::rig
