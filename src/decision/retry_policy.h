// Whether a request may be sent or rejected, given what its attempts may have done; and the budget of
// retries.
#pragma once

#include "pending_request.h"
#include "policy_context.h"
#include "statistics/token_bucket.h"

namespace load_balancer::policy {

class RetryPolicy {
 public:
  explicit RetryPolicy(const PolicyContext& context) : context_(context) {}

  // After any change of the settings.
  void onSettings() {
    const std::vector<RequestClass>& classes = context_.settings.classes;
    some_class_retriable_ = std::any_of(classes.begin(), classes.end(), [](const RequestClass& c) {
      return c.idempotency != Idempotency::NonIdempotent;
    });
  }

  bool attemptsLeft(const PendingRequest& request) const {
    const std::int32_t own = context_.classOf(request.request_class).max_attempts;
    const std::int32_t most = own > 0 ? own : context_.settings.max_attempts;
    return static_cast<std::int32_t>(request.attempts.size()) < most;
  }
  // An endpoint that has failed is tried with what may be retried, where any class may.
  bool fitForTrial(const PendingRequest& request) const {
    return context_.classOf(request.request_class).idempotency != Idempotency::NonIdempotent ||
           !some_class_retriable_;
  }
  // Only its service's zone may have it, or, since it may have run, those that drop repeats of its key.
  bool boundToScope(const PendingRequest& request) const {
    if (request.required_zone != kUnset) return true;
    const RequestClass& c = context_.classOf(request.request_class);
    return c.idempotency == Idempotency::IdempotentWithKey &&
           c.deduplication_scope != DeduplicationScope::All && !request.neverRan();
  }

  // Whether `endpoint`, or anyone if that is null, may have it. `self`: the attempt, where it has been
  // chosen.
  bool mayAttempt(const PendingRequest& request, const Endpoint* endpoint,
                  const Attempt* self = nullptr) const {
    if (self == nullptr && !attemptsLeft(request)) return false;
    return std::all_of(request.attempts.begin(), request.attempts.end(), [&](const Attempt& earlier) {
      return earlier.execution == Execution::NeverRan || &earlier == self ||
             mayRepeat(context_.classOf(request.request_class), earlier, endpoint);
    });
  }
  // A rejection says that repeating is harmless.
  bool mayReject(const PendingRequest& request) const {
    const RequestClass& c = context_.classOf(request.request_class);
    return c.idempotency == Idempotency::Idempotent || request.neverRan() ||
           (c.idempotency == Idempotency::IdempotentWithKey &&
            c.deduplication_scope == DeduplicationScope::All);
  }

  void onArrival() {
    retry_budget_.onEvent();
    timeout_budget_.onEvent();
  }
  bool spendRetry() { return retry_budget_.take(); }
  // Requests whose clients give up before the latency objective have a budget of their own: clients that
  // retry such requests at once can keep a whole fleet busy with them. Responses in time cost nothing here.
  bool overTimeoutBudget(const PendingRequest& request) const {
    return givesUpEarly(request) && timeout_budget_.empty();
  }
  void onOutcome(const PendingRequest& request, Result result) {
    if (givesUpEarly(request) && (result == Result::TimedOut || result == Result::Cancelled))
      timeout_budget_.drain();
  }

 private:
  static constexpr double kTokensPerRequest = 0.15;  // bounds the extra load in overload
  static constexpr double kMostTokens = 10;          // a burst: what a small failure needs at once

  bool mayRepeat(const RequestClass& c, const Attempt& earlier, const Endpoint* endpoint) const {
    if (earlier.execution == Execution::InFlight) return false;
    if (c.idempotency == Idempotency::NonIdempotent) return false;
    if (c.idempotency == Idempotency::Idempotent) return true;
    if (context_.now >= earlier.sent + c.deduplication_window - context_.settings.tick) return false;
    if (endpoint == nullptr || c.deduplication_scope == DeduplicationScope::All) return true;
    return c.deduplication_scope == DeduplicationScope::Zone ? earlier.zone == endpoint->host.zone
                                                             : earlier.cell == endpoint->host.cell;
  }
  bool givesUpEarly(const PendingRequest& request) const {
    return request.deadline - request.arrived < context_.classOf(request.request_class).latency_objective;
  }

  const PolicyContext& context_;
  client_proxy::statistics::TokenBucket retry_budget_{kMostTokens, kTokensPerRequest};
  client_proxy::statistics::TokenBucket timeout_budget_{kMostTokens, kTokensPerRequest};
  bool some_class_retriable_ = false;
};

}  // namespace load_balancer::policy
