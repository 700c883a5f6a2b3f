// Checks at run time that what is about to be done keeps the rules, whatever decided it, and counts what does
// not. It is asked after the guard, and asks the records instead of the guard.
#pragma once

#include <string>

#include "pending_request.h"
#include "policy_context.h"

namespace load_balancer::policy {

class InvariantChecker {
 public:
  InvariantChecker(const PolicyContext& context, RateLimitedLog& log) : context_(context), log_(log) {}

  // False: to send `request` to `endpoint` now would break a rule.
  bool onSend(const PendingRequest& request, const Endpoint& endpoint, Actions& out) {
    if (request.answered) return violated(counts_.lost, "lost", request, endpoint.host.id, out);
    if (!endpoint.listed || endpoint.in_maintenance || endpoint.host.state != HostState::Healthy)
      return violated(counts_.drain, "drain", request, endpoint.host.id, out);
    if (request.in_flight > 0 || (mayHaveRun(request) && isUnsafe(request)))
      return violated(counts_.duplicate, "duplicate", request, endpoint.host.id, out);
    const bool slow = endpoint.inSlowStart(context_.now, context_.settings.slow_start_duration);
    if (slow && endpoint.slow_start_tokens < 1)
      return violated(counts_.failback, "failback", request, endpoint.host.id, out);
    return true;
  }
  // False: to say that a repeat is harmless would not be true.
  bool onReject(const PendingRequest& request, Actions& out) {
    return !(mayHaveRun(request) && isUnsafe(request)) ||
           violated(counts_.duplicate, "duplicate", request, "none", out);
  }
  const RuleViolations& counts() const { return counts_; }

 private:
  bool isUnsafe(const PendingRequest& request) const {
    return context_.classOf(request.request_class).idempotency == Idempotency::NonIdempotent;
  }
  static bool mayHaveRun(const PendingRequest& request) { return !request.neverRan(); }

  bool violated(std::uint64_t& count, const std::string& rule, const PendingRequest& request,
                const std::string& host, Actions& out) {
    ++count;
    log_.write(RateLimitedLog::Kind::Violation,
               "defect: invariant violated rule=" + rule + " request=" + std::to_string(request.id) +
                   " host=" + host,
               out);
    return false;
  }

  const PolicyContext& context_;
  RateLimitedLog& log_;
  RuleViolations counts_;
};

}  // namespace load_balancer::policy
