// Suspicion timeouts and the local health multiplier of Lifeguard. After "Lifeguard: Local Health Awareness
// for More Accurate Failure Detection" (Dadgar, Phillips, Currey). No I/O, no clock.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "fleet/types.h"

namespace client_proxy::fleet {

// Time that a suspect has to refute before it is declared dead: `most` with one accuser, shrinking
// logarithmically to `least` once more than `enough` members accuse it independently, since they are unlikely
// to be all slow themselves.
inline Time suspicionTime(Time least, Time most, std::size_t accusers, std::size_t enough) {
  if (accusers == 0) return most;
  if (accusers > enough || enough == 0) return least;
  const double part = std::log(static_cast<double>(accusers)) / std::log(static_cast<double>(enough + 1));
  return std::max(least, most - static_cast<Time>(static_cast<double>(most - least) * part));
}

// A member whose own probes fail, or that has refuted a suspicion, may itself be slow or cut off, and
// therefore waits longer before it accuses others.
class LocalHealth {
 public:
  static constexpr int kMaxScore = 4;
  void improve() { score_ = std::max(0, score_ - 1); }
  void degrade(int by = 1) { score_ = std::min(kMaxScore, score_ + by); }
  // 0: healthy, up to kMaxScore.
  int score() const { return score_; }
  // A timeout multiplied according to the score.
  Time scaled(Time time) const { return time * (1 + score_); }

 private:
  int score_ = 0;
};

}  // namespace client_proxy::fleet
