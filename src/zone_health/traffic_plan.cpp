#include "zone_health/traffic_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace client_proxy::zone_health {
namespace {

// Upper bound on what a zone may receive beyond its even part of the demand, as a fraction of that part.
constexpr double kMaxExcess = 0.25;
constexpr double kNegligible = 1e-9;  // requests a second

double sum(const std::vector<double>& all) { return std::accumulate(all.begin(), all.end(), 0.0); }

// Moves what is left of each zone's demand to the spare capacity of the zones that `reaches` allows. A zone's
// remaining demand is split over its targets by their spare capacity; where more is
// demanded of a target than that, it takes the same fraction of the demand of each zone.
template <typename Reaches>
void distribute(std::vector<double>& left, std::vector<double>& spare, std::vector<std::vector<double>>& sent,
                Reaches reaches) {
  const std::size_t n = left.size();
  const std::vector<double> spare_before = spare, overflow_before = left;
  // [from][to] the load that zone `from` would move to zone `to`, and its sum by target.
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
  demand = std::max(demand, kNegligible);  // an idle fleet also needs a plan
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
  // A negligible demand is added to every zone, so that the row of a zone without demand is defined as well.
  const double trace = std::max(all, kNegligible) * 1e-6;
  for (std::size_t i = 0; i < n; ++i) left[i] = zones[i].demand + trace;
  const std::vector<double> demand = left;

  for (std::size_t i = 0; i < n; ++i) {
    const double local = std::min(left[i], spare[i]);
    sent[i][i] = local, left[i] -= local, spare[i] -= local;
  }
  const auto same_region = [&](std::size_t a, std::size_t b) {
    return a != b && !zones[a].region.empty() && zones[a].region == zones[b].region;
  };
  distribute(left, spare, sent, same_region);
  // One pass can leave both demand and spare capacity, since a zone splits its demand before the targets
  // limit it; a second pass places the remainder.
  distribute(left, spare, sent, same_region);
  for (int i = 0; i < 2; ++i) distribute(left, spare, sent, [](std::size_t, std::size_t) { return true; });

  TrafficPlan plan;
  const double total_capacity = sum(capacities);
  for (std::size_t from = 0; from < n; ++from) {
    if (left[from] <= 1e-9 * demand[from]) continue;  // a rounding error
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

const std::vector<double>& GradualShift::approach(const std::vector<double>& target,
                                                  const std::vector<bool>& open, double seconds) {
  if (row_.size() != target.size()) return row_ = target;
  // The traffic of closed zones moves to the others in proportion to their current shares, or by the target
  // where they have none.
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
  moving_ = distance > (moving_ ? kDoneDifference : kMinDifference);
  if (!moving_) return row_;
  const double part = std::min(1.0, kMaxShiftPerSecond * std::max(0.0, seconds) / distance);
  for (std::size_t i = 0; i < row_.size(); ++i) row_[i] += part * (target[i] - row_[i]);
  return row_;
}

}  // namespace client_proxy::zone_health
