// The one guard that every attempt passes, first or further: when its endpoint is chosen, when it is sent,
// and when its first byte can be written.
#pragma once

#include "retry_policy.h"
#include "slow_start.h"

namespace load_balancer::policy {

enum class SendVerdict : std::uint8_t {
  Allowed,
  Answered,      // the request has its final answer, or one is on its way
  NoTimeLeft,    // its deadline has passed
  OutOfService,  // the endpoint drains, has left or is in maintenance
  MayHaveRun,    // an earlier attempt may have run, and this endpoint would not drop the repeat
  OutsideZone,   // its service's zone alone may have it
  NoShare,       // the endpoint is in slow start, and this client has no more of it now
};

class SendGuard {
 public:
  SendGuard(const PolicyContext& context, const RetryPolicy& retries, SlowStart& slow_start)
      : context_(context), retries_(retries), slow_start_(slow_start) {}

  // `self`: the attempt, where it has been chosen.
  SendVerdict check(const PendingRequest& request, Endpoint& endpoint, const Attempt* self = nullptr) {
    if (request.answered || request.streaming) return SendVerdict::Answered;
    if (context_.now >= request.deadline) return SendVerdict::NoTimeLeft;
    if (!endpoint.inService()) return SendVerdict::OutOfService;
    if (!retries_.mayAttempt(request, &endpoint, self)) return SendVerdict::MayHaveRun;
    if (request.required_zone != kUnset && request.required_zone != endpoint.host.zone)
      return SendVerdict::OutsideZone;
    // What it was chosen for has its share already, unless the endpoint has restarted since.
    const bool has_share = self != nullptr && self->slow_start_since == endpoint.slow_start_since;
    return has_share || slow_start_.allows(endpoint) ? SendVerdict::Allowed : SendVerdict::NoShare;
  }
  bool allows(const PendingRequest& request, Endpoint& endpoint, const Attempt* self = nullptr) {
    return check(request, endpoint, self) == SendVerdict::Allowed;
  }

 private:
  const PolicyContext& context_;
  const RetryPolicy& retries_;
  SlowStart& slow_start_;
};

}  // namespace load_balancer::policy
