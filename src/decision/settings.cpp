// Validates settings, and describes the reasons of sends. Takes no decisions about requests.
#include <cmath>
#include <stdexcept>
#include <string>

#include "load_balancer/balancer.h"

namespace load_balancer {
namespace {

// Throws std::invalid_argument that names the field by its key in the settings, unless `valid`.
void require(bool valid, const std::string& field) {
  if (!valid) throw std::invalid_argument("invalid setting: " + field);
}

bool isFiniteNonNegative(double x) { return std::isfinite(x) && x >= 0; }

}  // namespace

void validate(const Settings& s) {
  require(!s.classes.empty(), "classes");
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const RequestClass& c = s.classes[i];
    const std::string prefix = "classes[" + std::to_string(i) + "].";
    require(c.latency_objective > 0, prefix + "aim");
    require(c.deadline > 0, prefix + "deadline");
    require(c.idempotency != Idempotency::IdempotentWithKey || c.deduplication_window > 0, prefix + "window");
    require(isFiniteNonNegative(c.priority_weight), prefix + "worth");
    require(isFiniteNonNegative(c.late_weight), prefix + "late_worth");
    require(isFiniteNonNegative(c.objective_per_work), prefix + "aim_stretch");
    require(c.max_attempts >= 0, prefix + "max_attempts");
  }
  for (std::size_t i = 0; i < s.tenants.size(); ++i) {
    require(isFiniteNonNegative(s.tenants[i].quota), "tenants[" + std::to_string(i) + "].fraction");
  }
  require(isFiniteNonNegative(s.over_quota_weight), "over_share_worth");
  require(s.max_attempts >= 1, "max_attempts");
  require(s.max_retry_after >= 0, "max_retry_after");
  require(s.drain_grace >= 0, "drain_grace");
  require(s.slow_start_initial_capacity > 0 && s.slow_start_initial_capacity <= 1, "cold_from");
  require(s.slow_start_duration >= 0, "cold_time");
  require(isFiniteNonNegative(s.slow_start_overload_factor), "cold_multiple");
  require(s.slow_start_overload_window >= 0, "cold_window");
  require(s.discovery == Discovery::Push || s.poll_interval > 0, "ask_within");
  require(s.tick > 0, "tick");
}

void validateChange(const Settings& before, const Settings& s) {
  validate(s);
  require(s.classes.size() >= before.classes.size(), "classes");
  require(s.tenants.size() >= before.tenants.size(), "tenants");
  require(s.client == before.client, "client");
  require(s.zone == before.zone, "zone");
  require(s.discovery == before.discovery, "discovery");
}

std::string_view toString(Reason reason) {
  switch (reason) {
    case Reason::None:
      return "none";
    case Reason::LeastLoaded:
      return "least loaded";
    case Reason::ExtendedSubset:
      return "extended subset";
    case Reason::Substitute:
      return "stand-in";
    case Reason::LeastReportedLoad:
      return "least reported load";
    case Reason::EjectionTrial:
      return "trial";
    case Reason::ScopedRetry:
      return "scoped retry";
    case Reason::SlowStart:
      return "slow start";
  }
  return "none";
}

}  // namespace load_balancer
