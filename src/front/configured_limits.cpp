#include "configured_limits.h"

#include <algorithm>

#include "console/console_server.h"
#include "front/proxy.h"

namespace client_proxy {
namespace {

using load_balancer::Idempotency;

// The console's: its connections, its listener, and one that is about to make room for another.
constexpr std::size_t kConsoleDescriptors = console::ConsoleServer::kMostConnections + 2;

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;

// Clients' own repeats that may be open whatever else is: what a few failing hosts lead to.
constexpr std::size_t kLeastRetries = 64;

constexpr Time kLongestKept = 60 * kSecond;  // what may have run is remembered for, whatever classes say

// Never more than a second.
Time shortestAim(const load_balancer::Settings& settings) {
  Time latency_objective = kSecond;
  for (const load_balancer::RequestClass& c : settings.classes)
    latency_objective = std::min(latency_objective, c.latency_objective);
  return latency_objective;
}

}  // namespace

Time longestDeadline(const load_balancer::Settings& settings) {
  Time longest = 0;
  for (const load_balancer::RequestClass& c : settings.classes) longest = std::max(longest, c.deadline);
  return longest;
}

Server::Limits serverLimits(const Config& config, std::size_t descriptors) {
  Server::Limits limits;
  limits.body_bytes = std::max<std::size_t>(config.memory_mb * kMegabyte / 4, kMostBody);
  limits.connections.most = descriptors;  // fewer where hosts use their share
  limits.connections.overflow = std::max<std::size_t>(descriptors / 16, 4);
  limits.connections.kept = config.own.idle_kept.value_or(std::max<std::size_t>(descriptors / 24, 8));
  limits.connections.most = config.own.connections.value_or(limits.connections.most);
  limits.connections.per_peer = config.own.connections_per_address.value_or(0);
  limits.connections.silent = config.own.first_byte.value_or(limits.connections.silent);
  limits.connections.request = config.own.request.value_or(limits.connections.request);
  limits.connections.idle = config.own.idle.value_or(limits.connections.idle);
  limits.connections.write = config.own.write.value_or(limits.connections.write);
  limits.connections.linger = config.own.linger.value_or(limits.connections.linger);
  return limits;
}

std::vector<admission::RequestGate::Share> sharesOf(
    const std::vector<std::string>& names, const std::vector<std::string>& of,
    const std::vector<admission::RequestGate::Share>& shares) {
  std::vector<admission::RequestGate::Share> out;
  if (shares.empty()) return out;
  for (const std::string& name : names) {
    const auto it = std::find(of.begin(), of.end(), name);
    out.push_back(it == of.end() ? admission::RequestGate::Share{}
                                 : shares[static_cast<std::size_t>(it - of.begin())]);
  }
  return out;
}

admission::RequestGate::Limits requestLimits(const Config& config) {
  const OperatorSettings& own = config.own;
  const load_balancer::Settings& settings = config.site.settings;
  admission::RequestGate::Limits limits;
  limits.open = own.open.value_or(static_cast<std::size_t>(config.site.max_open));
  limits.bytes = std::max<std::size_t>(config.memory_mb * kMegabyte / 2, kMostBody);
  limits.waiting = own.waiting.value_or(limits.open / 8);
  limits.classes = own.classes;
  limits.classes.resize(settings.classes.size());
  limits.tenants = own.tenants;
  if (limits.tenants.empty()) {
    for (const load_balancer::Tenant& t : settings.tenants)
      limits.tenants.push_back({.weight = std::max(t.quota, 0.01)});
  }
  limits.retries_least = own.retries_least.value_or(kLeastRetries);
  limits.retries_part = own.retries_part.value_or(1);
  if (settings.retry_after) {
    limits.advice_least = shortestAim(settings) / 8;
    limits.advice_most = settings.max_retry_after;
  }
  return limits;
}

admission::DuplicateDetector::Limits repeatLimits(const Config& config) {
  admission::DuplicateDetector::Limits limits;
  limits.kept = 0;
  for (const load_balancer::RequestClass& c : config.site.settings.classes)
    limits.kept =
        std::max({limits.kept, c.deadline,
                  c.idempotency == Idempotency::IdempotentWithKey ? 2 * c.deduplication_window : 0});
  limits.kept = std::min(limits.kept, kLongestKept);
  limits.bytes = config.memory_mb * kMegabyte / 128;
  return limits;
}

Upstream::Limits upstreamLimits(const Config& config) {
  Upstream::Limits limits;
  limits.idle = config.site.idle;
  limits.health_check_load = config.site.reports;
  // Answers are small and written at once; what stops half-way is worth a part of the aim at most.
  const Time latency_objective = shortestAim(config.site.settings);
  limits.answer_whole = std::max(latency_objective / 4, 20 * kMillisecond);
  // A machine that has vanished must leave time for another; hosts are never far away.
  limits.connect_timeout =
      std::min(config.site.connect_timeout, std::max(latency_objective / 4, 20 * kMillisecond));
  limits.idle = config.own.upstream_idle.value_or(limits.idle);
  limits.health_check_timeout = config.own.health_check_timeout.value_or(limits.health_check_timeout);
  limits.answer_whole = config.own.answer.value_or(limits.answer_whole);
  limits.connect_timeout = config.own.connect.value_or(limits.connect_timeout);
  return limits;
}

std::size_t budgetOf(const Config& config) {
  const std::size_t own = kOwnDescriptors + (config.console ? kConsoleDescriptors : 0);
  return config.sockets > 2 * own ? config.sockets - own : own;
}

void Proxy::Registry::assign(const Config& config) {
  const load_balancer::Settings& settings = config.site.settings;
  admission::IndexRegistry<load_balancer::RequestClass>::Named classes_now;
  for (std::size_t i = 0; i < config.site.classes.size(); ++i) {
    classes_now.emplace_back(config.site.classes[i], settings.classes[i]);
    // As many attempts as when it came, also after a reload that says otherwise.
    std::int32_t& attempts = classes_now.back().second.max_attempts;
    if (attempts == 0) attempts = settings.max_attempts;
  }
  classes.assign(classes_now);
  admission::IndexRegistry<TenantInfo>::Named tenants_now;
  for (const std::string& name : config.site.tenants) tenants_now.emplace_back(name, TenantInfo{});
  tenants.assign(tenants_now);
}

// By number. One that no name means any more is what it was, for the requests that came under it.
load_balancer::Settings Proxy::Registry::settings(const Config& config) const {
  load_balancer::Settings s = config.site.settings;
  s.classes.clear();
  for (std::size_t i = 0; i < classes.size(); ++i)
    s.classes.push_back(classes.at(static_cast<std::int32_t>(i)));
  s.tenants.assign(tenants.size(), {});
  for (std::size_t i = 0; i < config.site.tenants.size(); ++i) {
    if (const auto number = tenants.find(config.site.tenants[i]))
      s.tenants[static_cast<std::size_t>(*number)] = config.site.settings.tenants[i];
  }
  return s;
}

admission::RequestGate::Limits Proxy::Registry::limits(const Config& config) const {
  admission::RequestGate::Limits limits = requestLimits(config);
  const auto by_number = [](const auto& indices, const std::vector<std::string>& names, const auto& shares) {
    std::vector<admission::RequestGate::Share> out(indices.size());
    for (std::size_t i = 0; i < std::min(names.size(), shares.size()); ++i) {
      if (const auto number = indices.find(names[i])) out[static_cast<std::size_t>(*number)] = shares[i];
    }
    return out;
  };
  limits.classes = by_number(classes, config.site.classes, limits.classes);
  limits.tenants = by_number(tenants, config.site.tenants, limits.tenants);
  return limits;
}

}  // namespace client_proxy
