#include "change_preview/change_preview.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace client_proxy::change_preview {
namespace {

using traffic_sample::Idempotency;

void addAll(std::map<std::string, double>& target, const std::map<std::string, double>& source) {
  for (const auto& [name, value] : source) target[name] += value;
}

std::string percent(double fraction) {
  std::string text(16, '\0');
  text.resize(static_cast<std::size_t>(std::snprintf(text.data(), text.size(), "%.1f %%", 100 * fraction)));
  return text;
}

}  // namespace

void PreviewTotals::add(const PreviewTotals& o) {
  all += o.all;
  squares += o.squares;
  to_other_service += o.to_other_service;
  to_other_site += o.to_other_site;
  left_alone += o.left_alone;
  taken_in += o.taken_in;
  keys_split += o.keys_split;
  addAll(work, o.work);
  addAll(classes, o.classes);
  addAll(tenants, o.tenants);
  addAll(routes, o.routes);
  members += o.members;
  seconds += o.seconds;
}

PreviewTotals replay(const traffic_sample::TrafficSample& record, const traffic_sample::NameTable& names,
                     const RoutingSnapshot& now, const RoutingSnapshot& pending, Time until) {
  PreviewTotals t;
  t.members = 1;
  t.seconds = std::max(0.0, static_cast<double>(until - record.startTime()) / 1e6);
  for (const std::string& route : pending.routes) t.routes[route] += 0;
  for (const auto& [e, weight] : record.sample()) {
    t.all += weight;
    t.squares += weight * weight;
    const Placement before = now.place(e), after = pending.place(e);
    if (after.route >= 0) t.routes[pending.routes[static_cast<std::size_t>(after.route)]] += weight;
    const bool restricted = e.idempotency != Idempotency::Idempotent;
    const std::string& served_by = names.at(e.zone);
    const std::string would_serve = restricted && !after.zone.empty() ? std::string(after.zone) : served_by;
    t.work[would_serve] += weight * static_cast<double>(e.work);
    if (!restricted) continue;
    const bool service = before.service_name != after.service_name, site = before.zone != after.zone;
    if (!service && !site) continue;
    t.to_other_service += service ? weight : 0;
    t.to_other_site += site ? weight : 0;
    t.left_alone += before.service >= 0 && after.service < 0 ? weight : 0;
    t.taken_in += before.service < 0 && after.service >= 0 ? weight : 0;
    // When a service moves as a whole, the transfer of its ownership takes care of what is still owed.
    // Between two services, or from one to none, there is no such transfer: a key that has run in the old
    // zone may run again in the new one.
    if (service && site && before.service >= 0) t.keys_split += weight;
    t.classes[names.at(e.request_class)] += weight;
    t.tenants[names.at(e.tenant)] += weight;
  }
  return t;
}

Assessment assess(const PreviewTotals& t, const std::map<std::string, double>& zone_capacity,
                  std::size_t live_members, std::size_t differing, const PreviewInputs& inputs,
                  const Rules& rules) {
  Assessment v;
  v.inputs = inputs;
  v.coverage = live_members == 0 ? 0 : static_cast<double>(t.members) / static_cast<double>(live_members);
  // The half-width of the 95 % confidence interval of a fraction, in the worst case of one half. The
  // effective sample size accounts for the unequal weights.
  const double effective_size = t.squares > 0 ? t.all * t.all / t.squares : 0;
  v.error = effective_size > 0 ? 1.96 * 0.5 / std::sqrt(effective_size) : 1;
  const auto fraction = [&](double n) { return t.all > 0 ? n / t.all : 0; };
  const auto add_cause = [&](Risk risk, const std::string& cause) {
    v.risk = std::max(v.risk, risk);
    const auto at = risk == Risk::Unsafe ? v.causes.begin() : v.causes.end();
    v.causes.insert(at, std::string(nameOf(risk)) + ": " + cause);
  };
  if (t.keys_split > 0)
    add_cause(Risk::Unsafe,
              percent(fraction(t.keys_split)) +
                  " of the requests must not run twice and would move to another site without a "
                  "transfer of ownership");
  if (t.left_alone > 0)
    add_cause(Risk::Unsafe,
              percent(fraction(t.left_alone)) +
                  " of the requests must not run twice and would no longer belong to a service");
  for (const auto& [zone, work] : t.work) {
    const auto capacity = zone_capacity.find(zone);
    const double load =
        t.seconds > 0 ? work / t.seconds * static_cast<double>(std::max<std::size_t>(t.members, 1)) : 0;
    if (capacity == zone_capacity.end() || capacity->second <= 0) continue;
    if (load > rules.max_zone_load * capacity->second)
      add_cause(Risk::Risky,
                "zone " + zone + " would be at " + percent(load / capacity->second) + " of its capacity");
  }
  if (differing > 0)
    add_cause(Risk::Risky, std::to_string(differing) + " members have a different pending file");
  if (v.coverage < rules.min_coverage)
    add_cause(Risk::Risky, "only " + std::to_string(t.members) + " of " + std::to_string(live_members) +
                               " members have reported");
  if (v.error > rules.max_error)
    add_cause(Risk::Risky, "the sampling error may be as large as " + percent(v.error));
  for (const auto& [route, n] : t.routes) {
    if (n <= 0) add_cause(Risk::Risky, "route " + route + " was not used by any recorded request");
  }
  return v;
}

}  // namespace client_proxy::change_preview
