#include "lifecycle/lifecycle.h"

#include <algorithm>
#include <utility>

namespace client_proxy::lifecycle {
namespace {

constexpr Time kMillisecond = 1000;

// After the front was told, new connections come for 0.3 s more and kept ones stay in use. One that is closed
// while its client begins to ask costs that client another: what rests long is closed first, and the rest
// while there is time left to the 4 s after which none may be held.
constexpr Time kCloseFrom = 500 * kMillisecond, kCloseAll = 2500 * kMillisecond;
constexpr Time kCloseStep = 100 * kMillisecond;
constexpr Time kRestedLong = 500 * kMillisecond;

// After SIGTERM new connections go on coming for 0.4 s at most, and a request that crosses the closing of an
// idle connection is sent once more on a new one. SIGKILL follows the longest deadline, 3 s at most, and 0.7
// s more after it at the soonest: by then all is answered, a little before the process has gone by itself.
constexpr Time kIdleAfterTerm = 420 * kMillisecond;
constexpr Time kListenAfterTerm = 600 * kMillisecond;
constexpr Time kLongestCounted = 3000 * kMillisecond, kKillAfter = 700 * kMillisecond;
constexpr Time kAnsweredBefore = 200 * kMillisecond, kGoneBefore = 100 * kMillisecond;
constexpr Time kLook = 20 * kMillisecond;

using Kind = Step::Kind;

}  // namespace

bool Lifecycle::onDrain(Time now, Steps& out) {
  if (std::exchange(drained_, true)) return false;
  drained_at_ = now;
  close_due_ = now + kCloseFrom;
  out.push_back({Kind::SendAway});
  return true;
}

bool Lifecycle::onUndrain(Steps& out) {
  if (!std::exchange(drained_, false)) return false;
  close_due_ = kNothingDue;
  if (!ending_) out.push_back({Kind::Keep});
  return true;
}

void Lifecycle::onHandOn(Steps& out) {
  if (phase_ != Phase::Serving && phase_ != Phase::Ending) return;
  phase_ = Phase::HandingOn;
  out.push_back({Kind::Keep});  // no need to send anybody away
  out.push_back({Kind::GiveAway});
}

void Lifecycle::onRollBack(Steps& out) {
  if (phase_ != Phase::HandingOn) return;
  phase_ = ending_ ? Phase::Ending : Phase::Serving;
  out.push_back({sendsAway() ? Kind::SendAway : Kind::Keep});
  out.push_back({Kind::RollBack});
}

bool Lifecycle::onEnd(Time now, Steps& out) {
  if (std::exchange(ending_, true)) return false;
  const Time killed = now + std::min(longest_, kLongestCounted) + kKillAfter;
  last_due_ = killed - kGoneBefore;
  out.push_back({.kind = Kind::AnswerAll, .by = killed - kAnsweredBefore});
  if (phase_ == Phase::HandingOn) {
    look_due_ = now;  // the other process accepts: what is left is all there will be
    return true;
  }
  phase_ = Phase::Ending;
  idle_due_ = now + kIdleAfterTerm;
  deaf_due_ = now + kListenAfterTerm;
  out.push_back({Kind::SendAway});
  return true;
}

void Lifecycle::onTime(Time now, std::size_t connections, Steps& out) {
  if (phase_ == Phase::Ended) return;
  if (now >= close_due_) closeRested(now, out);
  if (now >= idle_due_) {
    idle_due_ = kNothingDue;
    out.push_back({Kind::CloseIdle});
  }
  if (now >= deaf_due_) {
    deaf_due_ = kNothingDue;
    look_due_ = now + kLook;  // what stood in the queue is taken first
    out.push_back({Kind::StopListening});
    out.push_back({Kind::CloseIdle});
  } else if (now >= look_due_) {
    finish(now, connections, out);
  }
  if (now >= last_due_ && phase_ != Phase::Ended) {
    phase_ = Phase::Ended;
    out.push_back({Kind::Leave});
  }
}

void Lifecycle::closeRested(Time now, Steps& out) {
  const bool all = now - drained_at_ >= kCloseAll;
  out.push_back({Kind::CloseIdle, all ? kCloseStep : kRestedLong});
  close_due_ = now + kCloseStep;
}

void Lifecycle::finish(Time now, std::size_t connections, Steps& out) {
  look_due_ = now + kLook;
  out.push_back({Kind::CloseIdle});
  if (connections > 0) return;
  phase_ = Phase::Ended;
  out.push_back({Kind::Leave});
}

Time Lifecycle::due() const {
  if (phase_ == Phase::Ended) return kNothingDue;
  return std::min({close_due_, idle_due_, deaf_due_, look_due_, last_due_});
}

}  // namespace client_proxy::lifecycle
