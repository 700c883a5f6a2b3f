// How long an accusation stands before it is believed, and how far one's own accusations are to be trusted.
// After "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (Dadgar, Phillips, Currey).
// No I/O, no clock.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "fleet/types.h"

namespace client_proxy::fleet {

// The suspect has `most` where one member accuses it, and as little as `least` when several did apart from
// one another: they can't all be the slow ones.
inline Time suspicionTime(Time least, Time most, std::size_t accusers, std::size_t enough) {
  if (accusers == 0) return most;
  if (accusers > enough || enough == 0) return least;
  const double part = std::log(static_cast<double>(accusers)) / std::log(static_cast<double>(enough + 1));
  return std::max(least, most - static_cast<Time>(static_cast<double>(most - least) * part));
}

// Who was late itself, or was accused and lives, waits longer before it accuses others.
class LocalHealth {
 public:
  static constexpr int kMaxScore = 4;
  void improve() { score_ = std::max(0, score_ - 1); }
  void degrade(int by = 1) { score_ = std::min(kMaxScore, score_ + by); }
  int score() const { return score_; }
  Time scaled(Time time) const { return time * (1 + score_); }

 private:
  int score_ = 0;
};

}  // namespace client_proxy::fleet
