// One request from its arrival to its one final answer.
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
    policy_.context.averageLoad();
    policy_.retries.onArrival();
    PendingRequest& request = add(arrival);
    policy_.outliers.checkDue(out);
    policy_.subset.adjustSize(out);
    const bool reject = policy_.retries.overTimeoutBudget(request) || policy_.shedder.shouldReject(arrival);
    reject ? answer(request, out) : dispatch(request, out);
    closeIfDone(request);
  }

  // Goes on with a request that waited for load reports.
  void resume(RequestId id, Actions& out) {
    PendingRequest& request = *policy_.requests.find(id);
    dispatch(request, out);
    closeIfDone(request);
  }

  // The connection is up: may the first byte of the attempt still go?
  bool mayStart(RequestId id, std::int32_t index) {
    PendingRequest* const request = policy_.requests.find(id);
    Attempt* const attempt = request == nullptr ? nullptr : request->attemptInFlight(index);
    if (attempt == nullptr || !policy_.guard.allows(*request, *attempt->endpoint, attempt)) return false;
    Endpoint& endpoint = *attempt->endpoint;
    if (std::exchange(attempt->slow_start_since, endpoint.slow_start_since) != endpoint.slow_start_since)
      policy_.slow_start.spend(endpoint);  // it has restarted since it was chosen
    return true;
  }

  // The process has to leave: what is open must be answered by `last`.
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
    learn(*request, *attempt, outcome, out);
    request->answered |= outcome.final || outcome.result == Result::Ok;
    if (!request->answered && !request->streaming && request->in_flight == 0) {
      const bool useful = policy_.retries.attemptsLeft(*request) && outcome.result != Result::BadRequest;
      const bool retry = useful && (never_ran || policy_.retries.spendRetry());
      retry ? dispatch(*request, out) : answer(*request, out);
    }
    closeIfDone(*request);
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
    // An attempt would only waste work; a response that has begun is the client's own.
    const auto last = static_cast<std::int32_t>(request->attempts.size()) - 1;
    if (policy_.context.settings.may_cancel && !request->streaming && request->in_flight > 0)
      out.push_back({.kind = ActionKind::Cancel, .request = id, .attempt = last});
    closeIfDone(*request);
  }

 private:
  PendingRequest& add(const Request& arrival) {
    const auto [request, handle] = policy_.requests.insert(arrival.id);
    request.begin(arrival, handle, policy_.context.now);
    // Where a late response is worth nothing, to wait for it only keeps an endpoint busy.
    const RequestClass& c = policy_.context.classOf(request.request_class);
    if (c.late_weight <= 0 && (c.objective_per_work <= 0 || arrival.expected_work > 0))
      request.useful_until =
          std::min(request.deadline, request.arrived + c.objectiveFor(arrival.expected_work));
    return request;
  }

  // Sends it, holds it for a moment, or answers it.
  void dispatch(PendingRequest& request, Actions& out) {
    const bool time_left = request.useful_until - policy_.context.now > policy_.context.settings.tick;
    if (!time_left || !policy_.retries.mayAttempt(request, nullptr)) return answer(request, out);
    if (policy_.polling.ask(request, out)) return;
    if (Endpoint* const endpoint = policy_.polling.takeLeastReported(request))
      return send(request, *endpoint, true, out);
    if (Endpoint* const endpoint = policy_.selector.select(request))
      return send(request, *endpoint, false, out);
    if (!mayHold(request)) return answer(request, out);
    const Time wait =
        std::max(4 * policy_.context.settings.tick, (request.useful_until - request.arrived) / 16);
    policy_.context.setTimer(policy_.context.now + wait, request.timer, out);
  }
  // An endpoint that is added or recovers may take it a moment later; not where staff have taken out all.
  bool mayHold(const PendingRequest& request) const {
    const std::vector<Endpoint*>& order = policy_.subset.order();
    const bool hope =
        order.empty() || std::any_of(order.begin(), order.end(), [](auto* e) { return !e->in_maintenance; });
    return hope && policy_.context.now - request.arrived < (request.useful_until - request.arrived) / 4;
  }

  void send(PendingRequest& request, Endpoint& endpoint, bool by_load_report, Actions& out) {
    if (!policy_.invariants.onSend(request, endpoint, out)) return answer(request, out);
    Reason reason = Reason::None;
    if (policy_.context.settings.explain)
      reason = explain(request, endpoint, by_load_report, policy_.retries, policy_.subset);
    ++endpoint.in_flight;
    ++policy_.context.attempts_in_flight;
    ++request.in_flight;
    policy_.subset.noteSend(endpoint);
    policy_.selector.takeTurn(endpoint);
    policy_.slow_start.spend(endpoint);
    request.attempts.push_back({&endpoint, endpoint.host.zone, endpoint.host.cell, policy_.context.now,
                                Execution::InFlight, by_load_report, endpoint.slow_start_since});
    // Where the response is on its way the work is done: to end it saves nothing, and may lose it.
    out.push_back({.kind = ActionKind::Send,
                   .request = request.id,
                   .server = endpoint.host.id,
                   .time = request.useful_until - policy_.context.now,
                   .longest = request.deadline - policy_.context.now,
                   .reason = reason});
  }

  // The final answer where no attempt has one: rejected if repeating is harmless, else failed.
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

  void closeIfDone(const PendingRequest& request) {
    if (request.answered && request.in_flight == 0) policy_.requests.erase(request.id);
  }

  // What an outcome says about the endpoint, its zone, and the load of all.
  void learn(const PendingRequest& request, const Attempt& attempt, const Outcome& outcome, Actions& out) {
    Endpoint& endpoint = *attempt.endpoint;
    const bool unresponsive = endpoint.last_response < attempt.sent;
    if (isResponse(outcome.result)) {
      endpoint.last_response = policy_.context.now;
      endpoint.unproven = false;
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
        policy_.selector.takeTurn(endpoint);  // it is full: others are next
        SlowStart::onRejected(endpoint);
        return policy_.shedder.adapt(LoadShedder::kRejectedLateness, endpoint, out);
      case Result::Error:
        policy_.outliers.recordFailure(endpoint, OutlierDetector::kClearFailure, false, out);
        return;
      case Result::InvalidResponse:
      case Result::RequestIncomplete:
      case Result::Reset:  // a process that has died refuses the next connection
        policy_.outliers.recordFailure(endpoint, OutlierDetector::kBrokenResponse, false, out);
        return;
      case Result::TimedOut:
        return onTimeout(request, attempt, outcome, unresponsive, out);
      case Result::ConnectFailed:
        policy_.zones.onNoResponse(endpoint, attempt.sent, true, out);
        policy_.outliers.recordFailure(endpoint, OutlierDetector::kClearFailure, true, out,
                                       OutlierDetector::kMaxUnreachable);
        return;
      case Result::BadRequest:  // a malformed request must not eject healthy endpoints
      case Result::Cancelled:
      case Result::NotSent:
        return;
    }
  }
  // Only where nothing came back since it was sent is a timeout held against the endpoint; else it is load.
  void onTimeout(const PendingRequest& request, const Attempt& attempt, const Outcome& outcome,
                 bool unresponsive, Actions& out) {
    Endpoint& endpoint = *attempt.endpoint;
    policy_.selector.takeTurn(endpoint);
    policy_.shedder.recordLatency(endpoint, request.request_class, outcome);
    if (unresponsive) {
      policy_.zones.onNoResponse(endpoint, attempt.sent, false, out);
      // One that answers health checks only is found out at once.
      const double evidence = endpoint.unproven ? OutlierDetector::kClearFailure : OutlierDetector::kTimeout;
      if (policy_.outliers.recordFailure(endpoint, evidence, true, out)) return;
    }
    // Not 1: it may have begun late in its request's time.
    policy_.shedder.adapt(LoadShedder::lateness(policy_.context.classOf(request.request_class), outcome),
                          endpoint, out);
  }

  Components& policy_;
};

}  // namespace load_balancer::policy
