#include "admission/reuse.h"

#include <algorithm>

namespace client_proxy::admission {

void ReusePolicy::onRequest(Time now, std::uint32_t nth, std::size_t idle) {
  // Without an idle connection the client could not reuse one.
  if (nth == 1 && idle == 0) return;
  reused_ += kWeight * ((nth > 1 ? 1 : 0) - reused_);
  if (!keeps_few_idle_) {
    if (reused_ >= kKeepFewBelow || now < keep_all_until_) return;
    keeps_few_idle_ = true;
    few_since_ = now;
    trial_reused_ = 0;
    return;
  }
  if (nth != 2) return;
  trial_reused_ += kTrialWeight * (1 - trial_reused_);
  if (trial_reused_ <= kKeepAllAbove) return;
  keeps_few_idle_ = false;
  reused_ = 1;
  const bool soon = now - few_since_ < 2 * hold_;
  hold_ = soon ? std::min(2 * hold_, kMaxHold) : kHold;
  keep_all_until_ = now + hold_;
}

void ReusePolicy::onUnused(std::uint32_t requests) {
  if (keeps_few_idle_ && requests == 1) trial_reused_ -= kTrialWeight * trial_reused_;
}

}  // namespace client_proxy::admission
