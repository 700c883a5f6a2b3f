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
    need(c.aim > 0, at + "aim");
    need(c.deadline > 0, at + "deadline");
    need(c.effect != Effect::Keyed || c.window > 0, at + "window");
    need(notNegative(c.worth), at + "worth");
    need(notNegative(c.late_worth), at + "late_worth");
    need(notNegative(c.aim_stretch), at + "aim_stretch");
    need(c.max_attempts >= 0, at + "max_attempts");
  }
  for (std::size_t i = 0; i < s.tenants.size(); ++i) {
    need(notNegative(s.tenants[i].fraction), "tenants[" + std::to_string(i) + "].fraction");
  }
  need(notNegative(s.over_share_worth), "over_share_worth");
  need(s.max_attempts >= 1, "max_attempts");
  need(s.max_retry_after >= 0, "max_retry_after");
  need(s.drain_grace >= 0, "drain_grace");
  need(s.cold_from > 0 && s.cold_from <= 1, "cold_from");
  need(s.cold_time >= 0, "cold_time");
  need(notNegative(s.cold_multiple), "cold_multiple");
  need(s.cold_window >= 0, "cold_window");
  need(s.discovery == Discovery::Push || s.ask_within > 0, "ask_within");
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
    case Reason::OrdinaryPick:
      return "ordinary pick";
    case Reason::LengthenedSubset:
      return "lengthened subset";
    case Reason::StandIn:
      return "stand-in";
    case Reason::LeastReported:
      return "least reported";
    case Reason::Trial:
      return "trial";
    case Reason::GroupBoundRepeat:
      return "group-bound repeat";
    case Reason::ColdShare:
      return "cold share";
  }
  return "none";
}

}  // namespace load_balancer
