// The front's reports to operators: the admission report and the metrics.
#include <nlohmann/json.hpp>
#include <utility>

#include "front/proxy.h"

namespace client_proxy {

using admission::RejectionReason;

std::string Proxy::admissionReport() {
  using nlohmann::json;
  const admission::ConnectionGate& c = server_.gate();
  const auto limit_or_null = [](std::size_t n) { return n == admission::kNoBound ? json() : json(n); };
  json closed = json::object(), rejected = json::object();
  const auto name_or_other = [](const auto& indices, std::size_t i) {
    return i < indices.size() ? indices.name(i) : "other";
  };
  for (std::size_t i = 1; i < admission::kRejectionReasons; ++i) {
    const auto reason = static_cast<RejectionReason>(i);
    const std::string name(admission::nameOf(reason));
    if (c.closed()[i] > 0) closed[name] = c.closed()[i];
    for (std::size_t k = 0; k < rejection_counters_.classes(); ++k) {
      for (std::size_t t = 0; t < rejection_counters_.tenants(); ++t) {
        const auto n = rejection_counters_.count(reason, k, t);
        if (n == 0) continue;
        json& cell = rejected[name][name_or_other(registry_.classes, k)][name_or_other(registry_.tenants, t)];
        cell = n + (cell.is_number() ? cell.get<std::uint64_t>() : 0);  // a name may have had several indices
      }
    }
  }
  const auto side = [&](Side s) {
    return json{{"used", descriptors_.used(s)}, {"most", descriptors_.most(s)}};
  };
  const auto& limits = requests_.limits();
  const json report = {
      {"name", config_.name},
      {"connections",
       {{"open", c.connections()},
        {"silent", c.silent()},
        {"idle", c.idle()},
        {"busy", c.busy()},
        {"addresses", c.peers()},
        {"most", c.limits().most},
        {"accepted", c.accepted()},
        {"reused_part", c.reuse().reusedFraction()},
        {"kept_sparingly", c.reuse().keepsFewIdle()},
        {"closed", closed}}},
      {"descriptors",
       {{"all", descriptors_.limit()}, {"clients", side(Side::Clients)}, {"hosts", side(Side::Hosts)}}},
      {"requests",
       {{"open", requests_.open()},
        {"waiting", requests_.waiting()},
        {"bytes", requests_.bytes()},
        {"repeats", requests_.retries()},
        {"most_open", limit_or_null(limits.open)},
        {"most_waiting", limit_or_null(limits.waiting)},
        {"most_bytes", limit_or_null(limits.bytes)},
        {"admitted", rejection_counters_.total(RejectionReason::None)},
        {"refused", rejected}}}};
  return report.dump(2);
}

std::string Proxy::stats() const {
  metrics::ProxyMetrics metrics;
  for (std::size_t i = 0; i < registry_.classes.size(); ++i)
    metrics.classes.push_back({registry_.classes.name(i), counts_.of(i)});
  const load_balancer::HostCounts hosts = pool_.hostCounts();
  metrics.concurrent = server_.openRequests();
  metrics.targets = hosts.listed;
  metrics.targets_disabled = hosts.avoided;
  const load_balancer::SlowStartCounts slow_start = pool_.slowStartCounts();
  metrics.slow_start_targets = slow_start.hosts;
  metrics.slow_start_sent = slow_start.sent;
  const load_balancer::RuleViolations violations = pool_.ruleViolations();
  metrics.violations = {{"lost", violations.lost},
                        {"duplicate", violations.duplicate},
                        {"drain", violations.drain},
                        {"failback", violations.failback}};
  return metrics::toPrometheusText(metrics);
}

}  // namespace client_proxy
