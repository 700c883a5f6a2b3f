// Exponentially decaying counts of events by kind. No I/O, no clock.
#pragma once

#include <cstddef>
#include <vector>

namespace client_proxy::statistics {

// Each event multiplies all counts by a decay factor, so that about the last hundred events count.
class FadingCounters {
 public:
  void resize(std::size_t kinds) { counts_.resize(kinds); }
  // Sets the count of one kind to zero; the total is unchanged.
  void reset(std::size_t kind) { counts_[kind] = 0; }
  std::size_t kinds() const { return counts_.size(); }
  void record(std::size_t kind) {
    for (double& count : counts_) count *= kDecay;
    total_ = total_ * kDecay + 1;
    counts_[kind] += 1;
  }
  double operator[](std::size_t kind) const { return counts_[kind]; }
  // The decayed count of all events, including those of kinds that were reset since.
  double total() const { return total_; }

 private:
  static constexpr double kDecay = 0.99;
  std::vector<double> counts_;
  double total_ = 0;
};

}  // namespace client_proxy::statistics
