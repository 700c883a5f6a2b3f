#include "change_preview/change_preview.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace client_proxy::change_preview {
namespace {

using traffic_sample::Idempotency;

void addAll(std::map<std::string, double>& to, const std::map<std::string, double>& from) {
  for (const auto& [name, value] : from) to[name] += value;
}

std::string percent(double part) {
  std::string text(16, '\0');
  text.resize(static_cast<std::size_t>(std::snprintf(text.data(), text.size(), "%.1f %%", 100 * part)));
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
  t.seconds = std::max(0.0, static_cast<double>(until - record.from()) / 1e6);
  for (const std::string& route : pending.routes) t.routes[route] += 0;
  for (const auto& [e, weight] : record.sample()) {
    t.all += weight;
    t.squares += weight * weight;
    const Placement before = now.place(e), after = pending.place(e);
    if (after.route >= 0) t.routes[pending.routes[static_cast<std::size_t>(after.route)]] += weight;
    const bool bound = e.idempotency != Idempotency::Idempotent;
    const std::string& went = names.at(e.zone);
    const std::string goes = bound && !after.zone.empty() ? std::string(after.zone) : went;
    t.work[goes] += weight * static_cast<double>(e.work);
    if (!bound) continue;
    const bool service = before.service_name != after.service_name, site = before.zone != after.zone;
    if (!service && !site) continue;
    t.to_other_service += service ? weight : 0;
    t.to_other_site += site ? weight : 0;
    t.left_alone += before.service >= 0 && after.service < 0 ? weight : 0;
    t.taken_in += before.service < 0 && after.service >= 0 ? weight : 0;
    // Within one service a deed sees to what is owed. Between two, or out of one, nothing does: a key that
    // ran here runs there.
    if (service && site && before.service >= 0) t.keys_split += weight;
    t.classes[names.at(e.request_class)] += weight;
    t.tenants[names.at(e.tenant)] += weight;
  }
  return t;
}

Assessment assess(const PreviewTotals& t, const std::map<std::string, double>& rooms, std::size_t live,
                  std::size_t unlike, const PreviewInputs& inputs, const Rules& rules) {
  Assessment v;
  v.inputs = inputs;
  v.coverage = live == 0 ? 0 : static_cast<double>(t.members) / static_cast<double>(live);
  // Of any part that is told, at the worst part, a half: by as many requests as the weights are worth.
  const double priority_weight = t.squares > 0 ? t.all * t.all / t.squares : 0;
  v.error = priority_weight > 0 ? 1.96 * 0.5 / std::sqrt(priority_weight) : 1;
  const auto part = [&](double n) { return t.all > 0 ? n / t.all : 0; };
  const auto say = [&](Risk j, const std::string& cause) {
    v.risk = std::max(v.risk, j);
    const auto at = j == Risk::Unsafe ? v.causes.begin() : v.causes.end();
    v.causes.insert(at, std::string(nameOf(j)) + ": " + cause);
  };
  if (t.keys_split > 0)
    say(Risk::Unsafe,
        percent(part(t.keys_split)) +
            " of the requests may not run twice and would change site with no deed between the two");
  if (t.left_alone > 0)
    say(Risk::Unsafe,
        percent(part(t.left_alone)) + " of the requests may not run twice and would leave their service");
  for (const auto& [zone, work] : t.work) {
    const auto room = rooms.find(zone);
    const double load =
        t.seconds > 0 ? work / t.seconds * static_cast<double>(std::max<std::size_t>(t.members, 1)) : 0;
    if (room == rooms.end() || room->second <= 0) continue;
    if (load > rules.full * room->second)
      say(Risk::Risky, "zone " + zone + " would be at " + percent(load / room->second) + " of its room");
  }
  if (unlike > 0) say(Risk::Risky, std::to_string(unlike) + " members have another pending file");
  if (v.coverage < rules.coverage)
    say(Risk::Risky,
        "only " + std::to_string(t.members) + " of " + std::to_string(live) + " members have told");
  if (v.error > rules.error) say(Risk::Risky, "the sample may be off by " + percent(v.error));
  for (const auto& [route, n] : t.routes) {
    if (n <= 0) say(Risk::Risky, "route " + route + " was not used by any recorded request");
  }
  return v;
}

}  // namespace client_proxy::change_preview
