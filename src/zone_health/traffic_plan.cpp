#include "zone_health/traffic_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace client_proxy::zone_health {
namespace {

constexpr double kMaxExcess = 0.25;   // of a zone's even part, near traffic may add to it
constexpr double kNegligible = 1e-9;  // requests a second

double sum(const std::vector<double>& all) { return std::accumulate(all.begin(), all.end(), 0.0); }

// Spreads what is left of each zone's demand over the spare room of those zones that `reaches` allows: all
// zones by the same part of what they lack, each taker by its spare room.
template <typename Reaches>
void distribute(std::vector<double>& left, std::vector<double>& spare, std::vector<std::vector<double>>& sent,
                Reaches reaches) {
  const std::size_t n = left.size();
  const std::vector<double> spare_before = spare, overflow_before = left;
  // A taker's askers, weighed by what they lack; it gives each its part of the spare room.
  std::vector<std::vector<double>> demanded(n, std::vector<double>(n, 0));
  std::vector<double> demanded_of(n, 0);
  for (std::size_t from = 0; from < n; ++from) {
    double reachable = 0;
    for (std::size_t to = 0; to < n; ++to) reachable += reaches(from, to) ? spare_before[to] : 0;
    if (reachable <= 0 || overflow_before[from] <= 0) continue;
    for (std::size_t to = 0; to < n; ++to) {
      if (!reaches(from, to)) continue;
      demanded[from][to] = overflow_before[from] * spare_before[to] / reachable;
      demanded_of[to] += demanded[from][to];
    }
  }
  for (std::size_t to = 0; to < n; ++to) {
    if (demanded_of[to] <= 0) continue;
    const double part = std::min(1.0, spare_before[to] / demanded_of[to]);
    for (std::size_t from = 0; from < n; ++from) {
      const double given = demanded[from][to] * part;
      sent[from][to] += given;
      left[from] -= given;
      spare[to] -= given;
    }
  }
}

}  // namespace

std::vector<double> capacitiesOf(const std::vector<ZoneLoad>& zones, double requests_per_capacity) {
  double demand = 0, capacity = 0;
  for (const ZoneLoad& z : zones) {
    demand += z.demand;
    capacity += z.open ? z.capacity : 0;
  }
  demand = std::max(demand, kNegligible);  // an idle fleet has a plan too
  std::vector<double> capacities(zones.size(), 0);
  for (std::size_t i = 0; i < zones.size(); ++i) {
    const ZoneLoad& z = zones[i];
    if (!z.open || z.capacity <= 0 || z.hosts == 0) continue;
    const double even = demand * z.capacity / capacity;
    const double over = kMaxExcess * (1 - 1 / static_cast<double>(z.hosts));
    capacities[i] = requests_per_capacity > 0 ? z.capacity * requests_per_capacity : even * (1 + over);
  }
  return capacities;
}

TrafficPlan waterfall(const std::vector<ZoneLoad>& zones, const std::vector<double>& capacities) {
  const std::size_t n = zones.size();
  std::vector<double> left(n), spare = capacities;
  std::vector<std::vector<double>> sent(n, std::vector<double>(n, 0));
  double all = 0;
  for (const ZoneLoad& z : zones) all += z.demand;
  // A trace of demand everywhere, so that every row is a plan.
  const double trace = std::max(all, kNegligible) * 1e-6;
  for (std::size_t i = 0; i < n; ++i) left[i] = zones[i].demand + trace;
  const std::vector<double> demand = left;

  for (std::size_t i = 0; i < n; ++i) {
    const double near = std::min(left[i], spare[i]);
    sent[i][i] = near, left[i] -= near, spare[i] -= near;
  }
  const auto same_region = [&](std::size_t a, std::size_t b) {
    return a != b && !zones[a].region.empty() && zones[a].region == zones[b].region;
  };
  distribute(left, spare, sent, same_region);
  // Spare room is not the same for all any more: a second time finds what the first left.
  distribute(left, spare, sent, same_region);
  for (int i = 0; i < 2; ++i) distribute(left, spare, sent, [](std::size_t, std::size_t) { return true; });

  TrafficPlan plan;
  const double total_capacity = sum(capacities);
  for (std::size_t from = 0; from < n; ++from) {
    if (left[from] <= 1e-9 * demand[from]) continue;  // rounding
    if (zones[from].demand > 0) plan.overflow += left[from];
    for (std::size_t to = 0; to < n && total_capacity > 0; ++to)
      sent[from][to] += left[from] * capacities[to] / total_capacity;
  }
  plan.shares.assign(n, std::vector<double>(n, 0));
  plan.load.assign(n, 0);
  for (std::size_t from = 0; from < n; ++from) {
    const double total = sum(sent[from]);
    for (std::size_t to = 0; to < n && total > 0; ++to) {
      plan.shares[from][to] = sent[from][to] / total;
      plan.load[to] += plan.shares[from][to] * zones[from].demand;
    }
  }
  return plan;
}

const std::vector<double>& GradualShift::follow(const std::vector<double>& target,
                                                const std::vector<bool>& open, double seconds) {
  if (row_.size() != target.size()) return row_ = target;
  // What is closed now goes to the others as they stand, or as they are wanted where they have nothing.
  double closed = 0, rest = 0;
  for (std::size_t i = 0; i < row_.size(); ++i) {
    if (open[i])
      rest += row_[i];
    else
      closed += std::exchange(row_[i], 0.0);
  }
  if (rest <= kNegligible) return row_ = target;
  if (closed > 0) {
    for (double& part : row_) part *= (rest + closed) / rest;
  }
  double distance = 0;
  for (std::size_t i = 0; i < row_.size(); ++i) distance += std::abs(target[i] - row_[i]) / 2;
  moving_ = distance > (moving_ ? kClose : kNoise);
  if (!moving_) return row_;
  const double part = std::min(1.0, kStep * std::max(0.0, seconds) / distance);
  for (std::size_t i = 0; i < row_.size(); ++i) row_[i] += part * (target[i] - row_[i]);
  return row_;
}

}  // namespace client_proxy::zone_health
