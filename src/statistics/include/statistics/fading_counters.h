// Counters of recent events by kind. No I/O, no clock.
#pragma once

#include <cstddef>
#include <vector>

namespace client_proxy::statistics {

// Each event fades all counts a little, so that about the last hundred count.
class FadingCounters {
 public:
  void resize(std::size_t kinds) { counts_.resize(kinds); }
  void forget(std::size_t kind) { counts_[kind] = 0; }
  std::size_t kinds() const { return counts_.size(); }
  void record(std::size_t kind) {
    for (double& count : counts_) count *= kFading;
    total_ = total_ * kFading + 1;
    counts_[kind] += 1;
  }
  double operator[](std::size_t kind) const { return counts_[kind]; }
  // Of all events, also of kinds that were forgotten since.
  double total() const { return total_; }

 private:
  static constexpr double kFading = 0.99;
  std::vector<double> counts_;
  double total_ = 0;
};

}  // namespace client_proxy::statistics
