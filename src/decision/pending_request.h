// The state of a request that has no final answer yet, or has attempts without an outcome.
#pragma once

#include <algorithm>
#include <limits>
#include <vector>

#include "containers/generational_slot_map.h"
#include "endpoint.h"

namespace load_balancer::policy {

constexpr Time kNever = std::numeric_limits<Time>::max();

enum class Execution : std::uint8_t { InFlight, MayHaveRun, NeverRan };

struct Attempt {
  Endpoint* endpoint = nullptr;
  std::int32_t zone = 0, cell = 0;
  Time sent = 0;
  Execution execution = Execution::InFlight;
  bool by_load_report = false;
  Time slow_start_since = 0;  // the endpoint's, when it was chosen
};

struct PendingRequest {
  RequestId id = 0;
  std::uint64_t timer = 0;
  bool answered = false, streaming = false;
  bool malformed = false;  // a host rejected the request as invalid, so a retry is useless
  std::int32_t request_class = 0;
  Time arrived = 0, deadline = 0;
  Time useful_until = 0;             // later answers have no value
  Time deduplicated_until = kNever;  // an earlier request with its key may have run: it is not sent later
  std::vector<Attempt> attempts;
  std::int32_t in_flight = 0;  // attempts without an outcome
  std::int64_t key = kUnset;
  std::int32_t required_zone = kUnset;
  bool awaits_reports = false;
  Time reports_requested_at = 0;
  std::vector<Endpoint*> report_candidates;  // whose load reports the next attempt waits for

  void initialize(const Request& arrival, std::uint64_t timer_handle, Time now) {
    id = arrival.id;
    timer = timer_handle;
    request_class = arrival.request_class;
    key = arrival.key;
    required_zone = arrival.required_zone;
    arrived = now;
    deadline = useful_until = now + arrival.time_left;
    deduplicated_until = arrival.deduplication_time_left ? now + *arrival.deduplication_time_left : kNever;
  }
  bool tried(const Endpoint& endpoint) const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [&](const Attempt& a) { return a.endpoint == &endpoint; });
  }
  // All attempts have ended, and none can have run.
  bool neverRan() const {
    return std::all_of(attempts.begin(), attempts.end(),
                       [](const Attempt& a) { return a.execution == Execution::NeverRan; });
  }
  // Null if there is no such attempt, or its outcome is known.
  Attempt* attemptInFlight(std::int32_t index) {
    if (index < 0 || static_cast<std::size_t>(index) >= attempts.size()) return nullptr;
    Attempt& attempt = attempts[static_cast<std::size_t>(index)];
    return attempt.execution == Execution::InFlight ? &attempt : nullptr;
  }
};

using PendingRequests = client_proxy::containers::GenerationalSlotMap<RequestId, PendingRequest>;

}  // namespace load_balancer::policy
