// What is known of one endpoint: what discovery and staff say of it, and what this client has found out.
#pragma once

#include <limits>

#include "load_balancer/balancer.h"

namespace load_balancer::policy {

// What says that an endpoint has started lately.
enum class StartEvidence : std::uint8_t {
  Told,       // the list, or staff
  Suspected,  // it was silent and responds again: it may have restarted meanwhile
};

struct Endpoint {
  static constexpr double kLongestLatencyRatio = 8;

  Host host;
  bool listed = false;
  bool in_update = false;       // named by the list that is being applied
  bool in_maintenance = false;  // nothing new, whatever is listed, until staff put it back
  bool in_subset = false;
  std::int32_t slot = kUnset;
  std::int32_t in_flight = 0;  // attempts of this client without an outcome
  double virtual_time = 0;     // of fair queueing: ties go to the lowest, each send adds to it
  double latency_ratio = 1;    // to what its requests' classes take on average
  Time last_response = std::numeric_limits<Time>::min();
  double failure_score = 0;  // decays
  Time failure_score_at = 0;
  bool ejected = false;
  bool unresponsive = false;       // ejected since nothing came back: it may return cold
  bool ejected_with_zone = false;  // and may be readmitted with it
  bool unproven = false;           // readmitted by a health check, and no request was answered since
  bool health_check_pending = false;
  Time ejected_since = 0, ejected_until = 0;  // after the second a health check or a trial may readmit it
  Time slow_start_since = 0;                  // 0: it is warm; it is, too, when the time is over
  StartEvidence start_evidence = StartEvidence::Told;
  double slow_start_tokens = 0;
  Time slow_start_refilled = 0;
  double reported_load = 0;  // requests it held, by its last load report
  Time reported_at = std::numeric_limits<Time>::min();

  bool inService() const { return listed && host.state == HostState::Healthy && !in_maintenance; }
  bool inSlowStart(Time now, Time duration) const {
    return slow_start_since != 0 && now - slow_start_since < duration;
  }
  // New requests may go there as a matter of course.
  bool usable() const { return inService() && !ejected; }
  // What a process before a restart did says nothing of the one after it.
  void forgetFailures() {
    ejected = false;
    failure_score = 0;
    latency_ratio = 1;
  }
};

}  // namespace load_balancer::policy
