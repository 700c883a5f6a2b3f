// Decides whether a request may be sent or rejected, given what its earlier attempts may have done, and keeps
// the retry budget.
#pragma once

#include "pending_request.h"
#include "policy_context.h"
#include "statistics/token_bucket.h"

namespace load_balancer::policy {

class RetryPolicy {
 public:
  explicit RetryPolicy(const PolicyContext& context) : context_(context) {}

  // To be called after any change of the settings.
  void onSettings() {
    const std::vector<RequestClass>& classes = context_.settings.classes;
    some_class_retriable_ = std::any_of(classes.begin(), classes.end(), [](const RequestClass& c) {
      return c.idempotency != Idempotency::NonIdempotent;
    });
  }

  bool attemptsLeft(const PendingRequest& request) const {
    const std::int32_t class_limit = context_.classOf(request.request_class).max_attempts;
    const std::int32_t limit = class_limit > 0 ? class_limit : context_.settings.max_attempts;
    return static_cast<std::int32_t>(request.attempts.size()) < limit;
  }
  // Whether the request may be the trial of an ejected endpoint: if any class may be retried, only requests
  // of such classes are used.
  bool suitableForTrial(const PendingRequest& request) const {
    return context_.classOf(request.request_class).idempotency != Idempotency::NonIdempotent ||
           !some_class_retriable_;
  }
  // Whether only some endpoints may receive the request: those in its service's zone, or, if it may have run,
  // those that discard repeats of its key.
  bool restrictedToScope(const PendingRequest& request) const {
    if (request.required_zone != kUnset) return true;
    const RequestClass& c = context_.classOf(request.request_class);
    return c.idempotency == Idempotency::IdempotentWithKey &&
           c.deduplication_scope != DeduplicationScope::All && !request.neverRan();
  }

  // Whether `endpoint` may receive the request; if null, whether any endpoint may. `attempt`: the attempt
  // to check, if its endpoint has been chosen already; null for a new one.
  bool mayAttempt(const PendingRequest& request, const Endpoint* endpoint,
                  const Attempt* attempt = nullptr) const {
    if (attempt == nullptr && !attemptsLeft(request)) return false;
    if (context_.now >= request.deduplicated_until - context_.settings.tick) return false;
    return std::all_of(request.attempts.begin(), request.attempts.end(), [&](const Attempt& earlier) {
      return earlier.execution == Execution::NeverRan || &earlier == attempt ||
             mayRepeat(context_.classOf(request.request_class), earlier, endpoint);
    });
  }
  // Whether the request may be rejected, which promises the client that a repeat is harmless.
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
  // Takes a token of the retry budget; returns false if there is none.
  bool spendRetry() { return retry_budget_.take(); }
  // Requests whose time limit is shorter than the latency objective have a budget of their own: clients that
  // retry such requests at once can keep the whole fleet busy with them. Responses in time cost nothing here.
  bool overTimeoutBudget(const PendingRequest& request) const {
    return givesUpEarly(request) && timeout_budget_.empty();
  }
  void onOutcome(const PendingRequest& request, Result result) {
    if (givesUpEarly(request) && (result == Result::TimedOut || result == Result::Cancelled))
      timeout_budget_.takeUpToOne();
  }

 private:
  static constexpr double kTokensPerRequest = 0.15;  // limits the extra load of retries in overload
  static constexpr double kMaxTokens = 10;           // a burst sufficient for a small failure

  bool mayRepeat(const RequestClass& c, const Attempt& earlier, const Endpoint* endpoint) const {
    if (earlier.execution == Execution::InFlight) return false;
    if (c.idempotency == Idempotency::NonIdempotent) return false;
    if (c.idempotency == Idempotency::Idempotent) return true;
    if (context_.now >= earlier.sent + c.deduplication_window - context_.settings.tick) return false;
    if (endpoint == nullptr || c.deduplication_scope == DeduplicationScope::All) return true;
    return c.deduplication_scope == DeduplicationScope::Zone ? earlier.zone == endpoint->host.zone
                                                             : earlier.cell == endpoint->host.cell;
  }
  // The client stops waiting before the latency objective.
  bool givesUpEarly(const PendingRequest& request) const {
    return request.deadline - request.arrived < context_.classOf(request.request_class).latency_objective;
  }

  const PolicyContext& context_;
  client_proxy::statistics::TokenBucket retry_budget_{kMaxTokens, kTokensPerRequest};
  client_proxy::statistics::TokenBucket timeout_budget_{kMaxTokens, kTokensPerRequest};
  bool some_class_retriable_ = false;
};

}  // namespace load_balancer::policy
