// Which settings are impossible, and the words for reasons. It decides nothing about requests.
#include <cmath>
#include <stdexcept>
#include <string>

#include "load_balancer/balancer.h"

namespace load_balancer {
namespace {

void need(bool ok, const std::string& field) {
  if (!ok) throw std::invalid_argument("impossible setting: " + field);
}

bool notNegative(double x) { return std::isfinite(x) && x >= 0; }

}  // namespace

void validate(const Settings& s) {
  need(!s.classes.empty(), "classes");
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const RequestClass& c = s.classes[i];
    const std::string at = "classes[" + std::to_string(i) + "].";
    need(c.latency_objective > 0, at + "aim");
    need(c.deadline > 0, at + "deadline");
    need(c.idempotency != Idempotency::IdempotentWithKey || c.deduplication_window > 0, at + "window");
    need(notNegative(c.priority_weight), at + "worth");
    need(notNegative(c.late_weight), at + "late_worth");
    need(notNegative(c.objective_per_work), at + "aim_stretch");
    need(c.max_attempts >= 0, at + "max_attempts");
  }
  for (std::size_t i = 0; i < s.tenants.size(); ++i) {
    need(notNegative(s.tenants[i].quota), "tenants[" + std::to_string(i) + "].fraction");
  }
  need(notNegative(s.over_quota_weight), "over_share_worth");
  need(s.max_attempts >= 1, "max_attempts");
  need(s.max_retry_after >= 0, "max_retry_after");
  need(s.drain_grace >= 0, "drain_grace");
  need(s.slow_start_initial_capacity > 0 && s.slow_start_initial_capacity <= 1, "cold_from");
  need(s.slow_start_duration >= 0, "cold_time");
  need(notNegative(s.slow_start_overload_factor), "cold_multiple");
  need(s.slow_start_overload_window >= 0, "cold_window");
  need(s.discovery == Discovery::Push || s.poll_interval > 0, "ask_within");
  need(s.tick > 0, "tick");
}

void validateChange(const Settings& before, const Settings& s) {
  validate(s);
  need(s.classes.size() >= before.classes.size(), "classes");
  need(s.tenants.size() >= before.tenants.size(), "tenants");
  need(s.client == before.client, "client");
  need(s.zone == before.zone, "zone");
  need(s.discovery == before.discovery, "discovery");
}

std::string_view toString(Reason reason) {
  switch (reason) {
    case Reason::None:
      return "none";
    case Reason::LeastLoaded:
      return "ordinary pick";
    case Reason::ExtendedSubset:
      return "lengthened subset";
    case Reason::Substitute:
      return "stand-in";
    case Reason::LeastReportedLoad:
      return "least reported";
    case Reason::EjectionTrial:
      return "trial";
    case Reason::ScopedRetry:
      return "group-bound repeat";
    case Reason::SlowStart:
      return "cold share";
  }
  return "none";
}

}  // namespace load_balancer
