// The state of one endpoint: what discovery and operators have stated, and what this client has measured.
#pragma once

#include <limits>

#include "load_balancer/balancer.h"

namespace load_balancer::policy {

// How this client learnt that an endpoint started recently.
enum class StartEvidence : std::uint8_t {
  Reported,   // by discovery or an operator
  Suspected,  // it did not respond for a while and does again: it may have restarted in between
};

struct Endpoint {
  static constexpr double kMaxLatencyRatio = 8;

  Host host;
  bool listed = false;
  bool in_update = false;       // contained in the list that is being applied
  bool in_maintenance = false;  // receives no new requests, whatever is listed, until operators end it
  bool in_subset = false;
  std::int32_t slot = kUnset;
  std::int32_t in_flight = 0;  // attempts of this client without an outcome
  double virtual_time = 0;     // of weighted fair queueing: ties go to the lowest, each turn adds to it
  double latency_ratio = 1;    // relative to the mean latency of the classes of its requests
  Time last_response = std::numeric_limits<Time>::min();
  double failure_score = 0;  // decays; as of failure_score_at
  Time failure_score_at = 0;
  bool ejected = false;
  bool unresponsive = false;       // ejected because it did not respond: it may have restarted
  bool ejected_with_zone = false;  // may be readmitted together with its zone
  bool unconfirmed = false;        // readmitted by a health check, and no response to a request since
  bool health_check_pending = false;
  Time ejected_since = 0,
       ejected_until = 0;     // from ejected_until on a health check or a trial may readmit it
  Time slow_start_since = 0;  // 0: warm; also warm once the slow-start duration is over
  StartEvidence start_evidence = StartEvidence::Reported;
  double slow_start_tokens = 0;
  Time slow_start_refilled_at = 0;
  double reported_load = 0;  // requests in its last load report
  Time reported_at = std::numeric_limits<Time>::min();

  bool inService() const { return listed && host.state == HostState::Healthy && !in_maintenance; }
  bool inSlowStart(Time now, Time duration) const {
    return slow_start_since != 0 && now - slow_start_since < duration;
  }
  // May receive requests without restriction (apart from slow start).
  bool usable() const { return inService() && !ejected; }
  // To be called after a restart: measurements of the previous process do not apply to the new one.
  void resetFailures() {
    ejected = false;
    failure_score = 0;
    latency_ratio = 1;
  }
};

}  // namespace load_balancer::policy
