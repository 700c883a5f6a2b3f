// Asks endpoints for their load before a send, where they report it to health checks only.
#pragma once

#include <iterator>

#include "endpoint_selection.h"
#include "outlier_detection.h"
#include "random/seeded_hash.h"

namespace load_balancer::policy {

class LoadReportPolling {
 public:
  LoadReportPolling(PolicyContext& context, Subset& subset, EndpointSelector& selector,
                    PendingRequests& requests)
      : context_(context), subset_(subset), selector_(selector), requests_(requests) {}

  void start(Time now) { distrusted_until_ = now; }

  // Asks some endpoints, if that is permitted and worth while. True: the request waits for their reports.
  bool ask(PendingRequest& request, Actions& out) {
    if (!mayAsk(request)) return false;
    request.report_candidates = candidates(request);
    if (request.report_candidates.empty()) return false;
    for (Endpoint* endpoint : request.report_candidates) OutlierDetector::checkHealth(*endpoint, out);
    request.awaits_reports = true;
    request.reports_asked_at = context_.now;
    waiting_.push_back(request.id);
    context_.setTimer(context_.now + longestWait(request), request.timer, out);
    return true;
  }

  // Returns the requests that go on: those that waited for this report last, or find it idle in their zone.
  std::vector<RequestId> onHealthCheck(const Endpoint& endpoint, bool healthy) {
    std::vector<RequestId> ready;
    for (const RequestId id : waiting_) {
      const PendingRequest* const request = requests_.find(id);
      if (request == nullptr) continue;
      const std::vector<Endpoint*>& asked = request->report_candidates;
      if (std::find(asked.begin(), asked.end(), &endpoint) == asked.end()) continue;
      const bool all =
          std::none_of(asked.begin(), asked.end(), [](auto* e) { return e->health_check_pending; });
      if (all || (healthy && endpoint.reported_load < 1 && inOwnZone(endpoint))) ready.push_back(id);
    }
    return ready;
  }

  // Ends the wait of a request. The candidate of least cost by its report; null if none has reported in time.
  Endpoint* takeLeastReported(PendingRequest& request) {
    Endpoint* best = nullptr;
    double least = 0;
    for (std::size_t n = 0; request.awaits_reports && n < request.report_candidates.size(); ++n) {
      Endpoint& endpoint = *request.report_candidates[n];
      const bool reported = endpoint.reported_at >= request.reports_asked_at;
      if (!reported || endpoint.ejected || !selector_.eligible(request, endpoint)) continue;
      const double cost = costOf(request, endpoint, n);
      if (best == nullptr || cost < least) best = &endpoint, least = cost;
    }
    stopWaiting(request);
    return best;
  }
  void stopWaiting(PendingRequest& request) {
    if (std::exchange(request.awaits_reports, false)) std::erase(waiting_, request.id);
  }
  // After each change of who is listed.
  void forgetUnlisted() {
    for (const RequestId id : waiting_)
      std::erase_if(requests_.find(id)->report_candidates, [](auto* e) { return !e->listed; });
  }

  // Stale reports lead all clients to endpoints that were idle a while ago; late responses show it.
  void onOutcome(const PendingRequest& request, const Attempt& attempt, const Outcome& outcome) {
    const bool timed_out = outcome.result == Result::TimedOut;
    if (!attempt.by_load_report || (outcome.result != Result::Ok && !timed_out)) return;
    const bool late =
        timed_out || outcome.latency > context_.classOf(request.request_class).latency_objective;
    late_part_ += 0.2 * ((late ? 1 : 0) - late_part_);
    if (late_part_ < kDistrustAt) return;
    late_part_ = kDistrustAt / 2;
    distrusted_until_ = context_.now + kDistrustTime;
  }

 private:
  static constexpr std::size_t kCandidates = 3;  // more tell little more
  static constexpr Time kWaitPart = 10;          // of the latency objective: longer than a health check takes
  static constexpr double kDistrustAt = 0.3;     // two late responses in a row
  static constexpr Time kDistrustTime = 5 * kSecond;

  bool mayAsk(const PendingRequest& request) const {
    const Settings& settings = context_.settings;
    return settings.reports == ReportSource::HealthChecks && settings.may_health_check &&
           context_.now >= distrusted_until_ && !request.awaits_reports && request.in_flight == 0 &&
           request.useful_until - context_.now > 4 * longestWait(request);
  }

  // Some of those that tie for the least load, which says nothing of what other clients have there: of the
  // own zone first, the first of them by key affinity, the last from all zones. Empty: nothing ties.
  std::vector<Endpoint*> candidates(const PendingRequest& request) {
    std::vector<Endpoint*> chosen;
    const Endpoint* const first = selector_.leastLoadedMember(request);
    if (first == nullptr) return chosen;
    std::vector<Endpoint*> tied;
    const std::span<Endpoint* const> members = subset_.span();
    std::copy_if(members.begin(), members.end(), std::back_inserter(tied), [&](Endpoint* e) {
      return !e->ejected && e->in_flight == first->in_flight && selector_.eligible(request, *e);
    });
    if (tied.size() < 2) return chosen;
    while (chosen.size() < kCandidates && !tied.empty()) {
      const bool by_key = hasAffinity(request, chosen.size()), any_zone = chosen.size() + 1 == kCandidates;
      const auto best = std::min_element(tied.begin(), tied.end(), [&](auto* a, auto* b) {
        if (!any_zone && inOwnZone(*a) != inOwnZone(*b)) return inOwnZone(*a);
        return by_key ? affinity(request, *a) < affinity(request, *b) : a->virtual_time < b->virtual_time;
      });
      chosen.push_back(*best);
      tied.erase(best);
    }
    return chosen;
  }

  // In requests: one more from another zone, one less where the key has met the endpoint.
  double costOf(const PendingRequest& request, const Endpoint& endpoint, std::size_t candidate) const {
    const double ratio = std::clamp(endpoint.latency_ratio, 0.5, Endpoint::kLongestLatencyRatio);
    return (endpoint.reported_load + 1) * ratio + (inOwnZone(endpoint) ? 0 : 1) -
           (hasAffinity(request, candidate) ? 1 : 0);
  }
  Time longestWait(const PendingRequest& request) const {
    return context_.classOf(request.request_class).latency_objective / kWaitPart;
  }
  bool inOwnZone(const Endpoint& endpoint) const { return endpoint.host.zone == context_.settings.zone; }
  bool hasAffinity(const PendingRequest& request, std::size_t candidate) const {
    return candidate == 0 && context_.settings.warm_keys && request.key != kUnset;
  }
  static std::uint64_t affinity(const PendingRequest& request, const Endpoint& endpoint) {
    return seededHash(static_cast<std::uint64_t>(request.key), endpoint.host.id);
  }

  PolicyContext& context_;
  Subset& subset_;
  EndpointSelector& selector_;
  PendingRequests& requests_;
  std::vector<RequestId> waiting_;
  double late_part_ = 0;       // of the attempts chosen by report: those far later than it let expect
  Time distrusted_until_ = 0;  // reports are stale, it seems: none is asked for
};

}  // namespace load_balancer::policy
