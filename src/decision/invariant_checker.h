// Checks at run time that each action about to be taken keeps the rules, whichever component decided it, and
// counts violations. It runs after SendGuard and is independent of it: it reads the recorded state instead.
#pragma once

#include <string>

#include "pending_request.h"
#include "policy_context.h"

namespace load_balancer::policy {

class InvariantChecker {
 public:
  InvariantChecker(const PolicyContext& context, RateLimitedLog& log) : context_(context), log_(log) {}

  // Returns false if sending `request` to `endpoint` now would break a rule.
  bool onSend(const PendingRequest& request, const Endpoint& endpoint, Actions& out) {
    if (request.answered) return violated(counts_.lost, "lost", request, endpoint.host.id, out);
    if (!endpoint.listed || endpoint.in_maintenance || endpoint.host.state != HostState::Healthy)
      return violated(counts_.drain, "drain", request, endpoint.host.id, out);
    if (request.in_flight > 0 || (mayHaveRun(request) && isNonIdempotent(request)))
      return violated(counts_.duplicate, "duplicate", request, endpoint.host.id, out);
    const bool slow = endpoint.inSlowStart(context_.now, context_.settings.slow_start_duration);
    if (slow && endpoint.slow_start_tokens < 1)
      return violated(counts_.failback, "failback", request, endpoint.host.id, out);
    return true;
  }
  // Returns false if `request` must not be rejected, as a repeat may not be harmless.
  bool onReject(const PendingRequest& request, Actions& out) {
    return !(mayHaveRun(request) && isNonIdempotent(request)) ||
           violated(counts_.duplicate, "duplicate", request, "none", out);
  }
  const RuleViolations& counts() const { return counts_; }

 private:
  bool isNonIdempotent(const PendingRequest& request) const {
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
