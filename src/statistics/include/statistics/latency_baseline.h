// Mean latencies of responses by kind, as a baseline for single latencies. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace client_proxy::statistics {

// Keeps an exponentially weighted mean for each kind and returns the ratio of each latency to it.
class LatencyBaseline {
 public:
  static constexpr double kMaxRatio = 8;  // limits the effect of a single outlier

  void resize(std::size_t kinds) { means_.resize(kinds); }
  void reset(std::size_t kind) { means_[kind] = 0; }
  std::size_t kinds() const { return means_.size(); }

  // `latency`: above 0, in any unit. Returns its ratio to the mean before it; 1 for the first of its kind.
  double record(std::size_t kind, double latency) {
    double& mean = means_[kind];
    if (mean == 0) mean = latency;
    const double ratio = std::min(kMaxRatio, latency / mean);
    mean += kSmoothing * (latency - mean);
    return ratio;
  }
  // In the unit of record(); 0 if none was recorded.
  double mean(std::size_t kind) const { return means_[kind]; }

 private:
  static constexpr double kSmoothing = 0.05;  // averages over about the last twenty
  std::vector<double> means_;
};

}  // namespace client_proxy::statistics
