#include "admission/reuse.h"

#include <algorithm>

namespace client_proxy::admission {

void ReusePolicy::onRequest(Time now, std::uint32_t nth, std::size_t idle) {
  // Without an idle connection there was nothing to choose.
  if (nth == 1 && idle == 0) return;
  reused_ += kWeight * ((nth > 1 ? 1 : 0) - reused_);
  if (!frugal_) {
    if (reused_ >= kLow || now < kept_until_) return;
    frugal_ = true;
    frugal_since_ = now;
    trials_ = 0;
    return;
  }
  if (nth != 2) return;
  trials_ += kTrialWeight * (1 - trials_);
  if (trials_ <= kHigh) return;
  frugal_ = false;
  reused_ = 1;
  const bool soon = now - frugal_since_ < 2 * hold_;
  hold_ = soon ? std::min(2 * hold_, kLongestHold) : kHold;
  kept_until_ = now + hold_;
}

void ReusePolicy::onUnused(std::uint32_t requests) {
  if (frugal_ && requests == 1) trials_ -= kTrialWeight * trials_;
}

}  // namespace client_proxy::admission
