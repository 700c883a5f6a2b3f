// Handles one request from its arrival to its final answer.
#pragma once

#include "components.h"
#include "explanation.h"

namespace load_balancer::policy {

class RequestLifecycle {
 public:
  explicit RequestLifecycle(Components& components) : policy_(components) {}

  void onRequest(const Request& arrival, Actions& out) {
    if (policy_.requests.find(arrival.id) != nullptr) return;
    if (arrival.request_class < 0 ||
        static_cast<std::size_t>(arrival.request_class) >= policy_.shedder.classes())
      return out.push_back({.kind = ActionKind::Reject, .request = arrival.id});
    policy_.slow_start.onArrival();
    policy_.context.updateMeanInFlight();
    policy_.retries.onArrival();
    PendingRequest& request = add(arrival);
    policy_.outliers.checkDue(out);
    policy_.subset.adjustSize(out);
    const bool reject = policy_.retries.overTimeoutBudget(request) || policy_.shedder.shouldReject(arrival);
    reject ? answer(request, out) : dispatch(request, out);
    eraseIfDone(request);
  }

  // Continues a request that was held or waited for load reports.
  void resume(RequestId id, Actions& out) {
    PendingRequest& request = *policy_.requests.find(id);
    dispatch(request, out);
    eraseIfDone(request);
  }

  // The connection is established: whether the first byte of the attempt may be written now.
  bool mayStart(RequestId id, std::int32_t index) {
    PendingRequest* const request = policy_.requests.find(id);
    Attempt* const attempt = request == nullptr ? nullptr : request->attemptInFlight(index);
    if (attempt == nullptr || !policy_.guard.allows(*request, *attempt->endpoint, attempt)) return false;
    Endpoint& endpoint = *attempt->endpoint;
    if (std::exchange(attempt->slow_start_since, endpoint.slow_start_since) != endpoint.slow_start_since)
      policy_.slow_start.spend(endpoint);  // the endpoint has restarted since it was chosen
    return true;
  }

  // More of the attempt can be written: whether its host may receive the rest, with which it can run.
  bool mayComplete(RequestId id, std::int32_t index) {
    PendingRequest* const request = policy_.requests.find(id);
    Attempt* const attempt = request == nullptr ? nullptr : request->attemptInFlight(index);
    return attempt != nullptr && policy_.retries.mayAttempt(*request, attempt->endpoint, attempt);
  }

  // The process is about to exit: all requests in progress must be answered by `last`.
  void finishBy(Time last, Actions& out) {
    policy_.requests.forEach([&](PendingRequest& request) {
      request.deadline = std::min(request.deadline, last);
      request.useful_until = std::min(request.useful_until, last);
      policy_.context.setTimer(last, request.timer, out);
    });
  }

  void onOutcome(const Outcome& outcome, Actions& out) {
    PendingRequest* const request = policy_.requests.find(outcome.request);
    Attempt* const attempt = request == nullptr ? nullptr : request->attemptInFlight(outcome.attempt);
    if (attempt == nullptr) return;
    const bool never_ran = provesNotProcessed(outcome.result);
    attempt->execution = never_ran ? Execution::NeverRan : Execution::MayHaveRun;
    request->malformed |= outcome.result == Result::BadRequest;
    --attempt->endpoint->in_flight;
    --policy_.context.attempts_in_flight;
    --request->in_flight;
    policy_.polling.onOutcome(*request, *attempt, outcome);
    policy_.retries.onOutcome(*request, outcome.result);
    recordOutcome(*request, *attempt, outcome, out);
    request->answered |= outcome.final || outcome.result == Result::Ok;
    if (!request->answered && !request->streaming && request->in_flight == 0) {
      const bool useful = policy_.retries.attemptsLeft(*request) && outcome.result != Result::BadRequest;
      const bool retry = useful && (never_ran || policy_.retries.spendRetry());
      retry ? dispatch(*request, out) : answer(*request, out);
    }
    eraseIfDone(*request);
  }

  void onTimer(std::uint64_t timer, Actions& out) {
    PendingRequest* const request = policy_.requests.findByHandle(timer);
    if (request == nullptr || request->answered || request->streaming) return;
    policy_.outliers.checkDue(out);
    if (request->in_flight == 0) resume(request->id, out);
  }

  void onResponseStarted(RequestId id, std::int32_t index) {
    PendingRequest* const request = policy_.requests.find(id);
    Attempt* const attempt = request == nullptr ? nullptr : request->attemptInFlight(index);
    if (attempt == nullptr || request->answered) return;
    request->streaming = true;
    attempt->endpoint->last_response = policy_.context.now;
  }

  void onClientDisconnected(RequestId id, Actions& out) {
    PendingRequest* const request = policy_.requests.find(id);
    if (request == nullptr || request->answered) return;
    request->answered = true;
    policy_.polling.stopWaiting(*request);
    // The attempt would be wasted work. One whose response has begun is not cancelled.
    const auto last = static_cast<std::int32_t>(request->attempts.size()) - 1;
    if (policy_.context.settings.may_cancel && !request->streaming && request->in_flight > 0)
      out.push_back({.kind = ActionKind::Cancel, .request = id, .attempt = last});
    eraseIfDone(*request);
  }

 private:
  PendingRequest& add(const Request& arrival) {
    const auto [request, handle] = policy_.requests.insert(arrival.id);
    request.initialize(arrival, handle, policy_.context.now);
    // If a late response has no value, waiting for it only keeps an endpoint busy.
    const RequestClass& c = policy_.context.classOf(request.request_class);
    if (c.late_weight <= 0 && (c.objective_per_work <= 0 || arrival.expected_work > 0))
      request.useful_until =
          std::min(request.deadline, request.arrived + c.objectiveFor(arrival.expected_work));
    return request;
  }

  // Sends the request, holds it for a short time, or answers it.
  void dispatch(PendingRequest& request, Actions& out) {
    const bool time_left = request.useful_until - policy_.context.now > policy_.context.settings.tick;
    if (!time_left || !policy_.retries.mayAttempt(request, nullptr)) return answer(request, out);
    if (policy_.polling.requestReports(request, out)) return;
    if (Endpoint* const endpoint = policy_.polling.takeLeastReported(request))
      return send(request, *endpoint, true, out);
    if (Endpoint* const endpoint = policy_.selector.select(request))
      return send(request, *endpoint, false, out);
    if (!mayHold(request)) return answer(request, out);
    const Time wait =
        std::max(4 * policy_.context.settings.tick, (request.useful_until - request.arrived) / 16);
    policy_.context.setTimer(policy_.context.now + wait, request.timer, out);
  }
  // Whether to hold a request that no endpoint can receive: one that is added or recovers may receive it a
  // little later. Not if all endpoints are in maintenance.
  bool mayHold(const PendingRequest& request) const {
    const std::vector<Endpoint*>& order = policy_.subset.order();
    const bool may_recover =
        order.empty() || std::any_of(order.begin(), order.end(), [](auto* e) { return !e->in_maintenance; });
    return may_recover &&
           policy_.context.now - request.arrived < (request.useful_until - request.arrived) / 4;
  }

  void send(PendingRequest& request, Endpoint& endpoint, bool by_load_report, Actions& out) {
    if (!policy_.invariants.onSend(request, endpoint, out)) return answer(request, out);
    Reason reason = Reason::None;
    if (policy_.context.settings.explain)
      reason = explain(request, endpoint, by_load_report, policy_.retries, policy_.subset);
    ++endpoint.in_flight;
    ++policy_.context.attempts_in_flight;
    ++request.in_flight;
    policy_.subset.recordSend(endpoint);
    policy_.selector.advanceVirtualTime(endpoint);
    policy_.slow_start.spend(endpoint);
    request.attempts.push_back({&endpoint, endpoint.host.zone, endpoint.host.cell, policy_.context.now,
                                Execution::InFlight, by_load_report, endpoint.slow_start_since});
    // `longest`: once the response is being received the work is done, and ending the attempt would only lose
    // the response.
    out.push_back({.kind = ActionKind::Send,
                   .request = request.id,
                   .server = endpoint.host.id,
                   .time = request.useful_until - policy_.context.now,
                   .longest = request.deadline - policy_.context.now,
                   .reason = reason});
  }

  // Gives the final answer if no attempt has one: Reject if a repeat is harmless, otherwise Fail.
  void answer(PendingRequest& request, Actions& out) {
    if (request.answered) return;
    request.answered = true;
    policy_.polling.stopWaiting(request);
    const bool reject =
        policy_.retries.mayReject(request) && !request.malformed && policy_.invariants.onReject(request, out);
    if (!reject) return out.push_back({.kind = ActionKind::Fail, .request = request.id});
    const Time advice = std::min(policy_.context.settings.max_retry_after,
                                 policy_.context.classOf(request.request_class).latency_objective / 8);
    const Time retry_after = policy_.context.settings.retry_after ? advice : 0;
    out.push_back({.kind = ActionKind::Reject, .request = request.id, .time = retry_after});
  }

  void eraseIfDone(const PendingRequest& request) {
    if (request.answered && request.in_flight == 0) policy_.requests.erase(request.id);
  }

  // Updates the state of the endpoint, its zone and the load estimate from an outcome.
  void recordOutcome(const PendingRequest& request, const Attempt& attempt, const Outcome& outcome,
                     Actions& out) {
    Endpoint& endpoint = *attempt.endpoint;
    const bool unresponsive = endpoint.last_response < attempt.sent;
    if (isResponse(outcome.result)) {
      endpoint.last_response = policy_.context.now;
      endpoint.unconfirmed = false;
      policy_.zones.onResponse(endpoint, attempt.sent, out);
    }
    switch (outcome.result) {
      case Result::Ok:
        policy_.shedder.recordLatency(endpoint, request.request_class, outcome);
        policy_.outliers.readmit(endpoint, attempt.sent, out);
        OutlierDetector::recordSuccess(endpoint);
        policy_.slow_start.onServed(endpoint);
        return policy_.shedder.adapt(
            LoadShedder::lateness(policy_.context.classOf(request.request_class), outcome), endpoint, out);
      case Result::Rejected:
        policy_.selector.advanceVirtualTime(endpoint);  // it is full: other endpoints come next
        SlowStart::onRejected(endpoint);
        return policy_.shedder.adapt(LoadShedder::kRejectedLateness, endpoint, out);
      case Result::Error:
        policy_.outliers.recordFailure(endpoint, OutlierDetector::kClearFailure, false, out);
        return;
      case Result::InvalidResponse:
      case Result::RequestIncomplete:
      case Result::Reset:  // weak evidence: a process that has exited refuses the next connection
        policy_.outliers.recordFailure(endpoint, OutlierDetector::kBrokenResponse, false, out);
        return;
      case Result::TimedOut:
        return onTimeout(request, attempt, outcome, unresponsive, out);
      case Result::ConnectFailed:
        policy_.zones.onNoResponse(endpoint, attempt.sent, true, out);
        policy_.outliers.recordFailure(endpoint, OutlierDetector::kClearFailure, true, out,
                                       OutlierDetector::kMaxUnreachableFraction);
        return;
      case Result::BadRequest:  // a malformed request must not eject healthy endpoints
      case Result::Cancelled:
      case Result::NotSent:
        return;
    }
  }
  // A timeout counts as a failure of the endpoint only if it has not responded to anything since the attempt
  // was sent; otherwise it indicates load.
  void onTimeout(const PendingRequest& request, const Attempt& attempt, const Outcome& outcome,
                 bool unresponsive, Actions& out) {
    Endpoint& endpoint = *attempt.endpoint;
    policy_.selector.advanceVirtualTime(endpoint);
    policy_.shedder.recordLatency(endpoint, request.request_class, outcome);
    if (unresponsive) {
      policy_.zones.onNoResponse(endpoint, attempt.sent, false, out);
      // An endpoint that responds to health checks only is ejected at its first timeout.
      const double evidence =
          endpoint.unconfirmed ? OutlierDetector::kClearFailure : OutlierDetector::kTimeoutFailure;
      if (policy_.outliers.recordFailure(endpoint, evidence, true, out)) return;
    }
    // The lateness of its actual latency, not 1: the attempt may have been sent late in the request's time.
    policy_.shedder.adapt(LoadShedder::lateness(policy_.context.classOf(request.request_class), outcome),
                          endpoint, out);
  }

  Components& policy_;
};

}  // namespace load_balancer::policy
