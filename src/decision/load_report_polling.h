// Requests load reports from endpoints before a send, where they report their load in health checks only.
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

  // Requests the load of some endpoints, if permitted and useful. Returns true if the request now waits for
  // their reports.
  bool requestReports(PendingRequest& request, Actions& out) {
    if (!mayRequestReports(request)) return false;
    request.report_candidates = candidates(request);
    if (request.report_candidates.empty()) return false;
    for (Endpoint* endpoint : request.report_candidates) OutlierDetector::checkHealth(*endpoint, out);
    request.awaits_reports = true;
    request.reports_requested_at = context_.now;
    waiting_.push_back(request.id);
    context_.setTimer(context_.now + maxWait(request), request.timer, out);
    return true;
  }

  // Returns the requests to resume: those for which this was the last missing report, and those for which it
  // shows an idle candidate in the own zone.
  std::vector<RequestId> onHealthCheck(const Endpoint& endpoint, bool healthy) {
    std::vector<RequestId> ready;
    for (const RequestId id : waiting_) {
      const PendingRequest* const request = requests_.find(id);
      if (request == nullptr) continue;
      const std::vector<Endpoint*>& polled = request->report_candidates;
      if (std::find(polled.begin(), polled.end(), &endpoint) == polled.end()) continue;
      const bool all =
          std::none_of(polled.begin(), polled.end(), [](auto* e) { return e->health_check_pending; });
      if (all || (healthy && endpoint.reported_load < 1 && inOwnZone(endpoint))) ready.push_back(id);
    }
    return ready;
  }

  // Ends the wait of a request. Returns the candidate with the lowest cost by its report; null if none has
  // reported in time.
  Endpoint* takeLeastReported(PendingRequest& request) {
    Endpoint* best = nullptr;
    double least = 0;
    for (std::size_t n = 0; request.awaits_reports && n < request.report_candidates.size(); ++n) {
      Endpoint& endpoint = *request.report_candidates[n];
      const bool reported = endpoint.reported_at >= request.reports_requested_at;
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
  // To be called after each change of which endpoints are listed.
  void removeUnlisted() {
    for (const RequestId id : waiting_)
      std::erase_if(requests_.find(id)->report_candidates, [](auto* e) { return !e->listed; });
  }

  // Detects stale reports: they direct all clients to endpoints that were idle some time ago, which results
  // in late responses.
  void onOutcome(const PendingRequest& request, const Attempt& attempt, const Outcome& outcome) {
    const bool timed_out = outcome.result == Result::TimedOut;
    if (!attempt.by_load_report || (outcome.result != Result::Ok && !timed_out)) return;
    const bool late =
        timed_out || outcome.latency > context_.classOf(request.request_class).latency_objective;
    late_fraction_ += 0.2 * ((late ? 1 : 0) - late_fraction_);
    if (late_fraction_ < kDistrustAt) return;
    late_fraction_ = kDistrustAt / 2;
    distrusted_until_ = context_.now + kDistrustTime;
  }

 private:
  static constexpr std::size_t kCandidates = 3;  // more add little information
  // Part of the latency objective that a request waits at most: longer than a health check takes.
  static constexpr Time kWaitDivisor = 10;
  static constexpr double kDistrustAt = 0.3;  // late fraction: two late responses in a row
  static constexpr Time kDistrustTime = 5 * kSecond;

  bool mayRequestReports(const PendingRequest& request) const {
    const Settings& settings = context_.settings;
    return settings.reports == ReportSource::HealthChecks && settings.may_health_check &&
           context_.now >= distrusted_until_ && !request.awaits_reports && request.in_flight == 0 &&
           request.useful_until - context_.now > 4 * maxWait(request);
  }

  // Chooses among the members that tie for the fewest own requests in flight, which does not include the load
  // of other clients. Endpoints in the own zone come first; the first candidate is chosen by key affinity,
  // the last from all zones. Empty if there is no tie.
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

  // Expected cost in requests: the reported load, plus one in another zone, minus one with key affinity.
  double costOf(const PendingRequest& request, const Endpoint& endpoint, std::size_t candidate) const {
    const double ratio = std::clamp(endpoint.latency_ratio, 0.5, Endpoint::kMaxLatencyRatio);
    return (endpoint.reported_load + 1) * ratio + (inOwnZone(endpoint) ? 0 : 1) -
           (hasAffinity(request, candidate) ? 1 : 0);
  }
  Time maxWait(const PendingRequest& request) const {
    return context_.classOf(request.request_class).latency_objective / kWaitDivisor;
  }
  bool inOwnZone(const Endpoint& endpoint) const { return endpoint.host.zone == context_.settings.zone; }
  // Whether this candidate is chosen by the request's key, as the endpoint that served the key before.
  bool hasAffinity(const PendingRequest& request, std::size_t candidate) const {
    return candidate == 0 && context_.settings.warm_keys && request.key != kUnset;
  }
  // Rendezvous hash of the key and the endpoint; the lowest wins.
  static std::uint64_t affinity(const PendingRequest& request, const Endpoint& endpoint) {
    return seededHash(static_cast<std::uint64_t>(request.key), endpoint.host.id);
  }

  PolicyContext& context_;
  Subset& subset_;
  EndpointSelector& selector_;
  PendingRequests& requests_;
  std::vector<RequestId> waiting_;
  double late_fraction_ = 0;   // recent average, of attempts chosen by load report
  Time distrusted_until_ = 0;  // reports appear to be stale and are not requested until then
};

}  // namespace load_balancer::policy
