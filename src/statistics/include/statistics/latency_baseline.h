// What responses usually take, by kind. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace client_proxy::statistics {

// An exponentially weighted mean for each kind, and how a single latency compares with it.
class LatencyBaseline {
 public:
  static constexpr double kLongestRatio = 8;  // a single outlier counts for no more

  void resize(std::size_t kinds) { means_.resize(kinds); }
  void forget(std::size_t kind) { means_[kind] = 0; }
  std::size_t kinds() const { return means_.size(); }

  // `latency` above 0, in any unit. Returns its ratio to the mean before it; 1 for the first of its kind.
  double record(std::size_t kind, double latency) {
    double& mean = means_[kind];
    if (mean == 0) mean = latency;
    const double ratio = std::min(kLongestRatio, latency / mean);
    mean += kGain * (latency - mean);
    return ratio;
  }
  // 0: nothing is known of it.
  double mean(std::size_t kind) const { return means_[kind]; }

 private:
  static constexpr double kGain = 0.05;  // the last twenty or so count
  std::vector<double> means_;
};

}  // namespace client_proxy::statistics
