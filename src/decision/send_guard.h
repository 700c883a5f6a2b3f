// The check that every attempt passes, first or retry: when its endpoint is chosen, when it is sent, and when
// its first byte can be written.
#pragma once

#include "retry_policy.h"
#include "slow_start.h"

namespace load_balancer::policy {

enum class SendVerdict : std::uint8_t {
  Allowed,
  Answered,        // the request has its final answer, or a response is being forwarded
  NoTimeLeft,      // its deadline has passed
  OutOfService,    // the endpoint is draining, removed or in maintenance
  MayHaveRun,      // an earlier attempt, or request with its key, may have run, and this endpoint would not
                   // discard the repeat
  OutsideZone,     // only its service's zone may receive it
  SlowStartLimit,  // the endpoint is in slow start, and this client's share is used up for now
};

class SendGuard {
 public:
  SendGuard(const PolicyContext& context, const RetryPolicy& retries, SlowStart& slow_start)
      : context_(context), retries_(retries), slow_start_(slow_start) {}

  // `attempt`: the attempt to check, if its endpoint has been chosen already; null for a new one.
  SendVerdict check(const PendingRequest& request, Endpoint& endpoint, const Attempt* attempt = nullptr) {
    if (request.answered || request.streaming) return SendVerdict::Answered;
    if (context_.now >= request.deadline) return SendVerdict::NoTimeLeft;
    if (!endpoint.inService()) return SendVerdict::OutOfService;
    if (!retries_.mayAttempt(request, &endpoint, attempt)) return SendVerdict::MayHaveRun;
    if (request.required_zone != kUnset && request.required_zone != endpoint.host.zone)
      return SendVerdict::OutsideZone;
    // An attempt took its token when its endpoint was chosen; it needs another if the endpoint has restarted.
    const bool has_token = attempt != nullptr && attempt->slow_start_since == endpoint.slow_start_since;
    return has_token || slow_start_.allows(endpoint) ? SendVerdict::Allowed : SendVerdict::SlowStartLimit;
  }
  bool allows(const PendingRequest& request, Endpoint& endpoint, const Attempt* attempt = nullptr) {
    return check(request, endpoint, attempt) == SendVerdict::Allowed;
  }

 private:
  const PolicyContext& context_;
  const RetryPolicy& retries_;
  SlowStart& slow_start_;
};

}  // namespace load_balancer::policy
