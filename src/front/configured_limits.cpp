#include "configured_limits.h"

#include <algorithm>

#include "console/console_server.h"
#include "front/proxy.h"

namespace client_proxy {
namespace {

using load_balancer::Idempotency;

// The console's connections, its listener, and one connection that is about to replace another.
constexpr std::size_t kConsoleDescriptors = console::ConsoleServer::kMostConnections + 2;

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;

// The buffers of connections get this many eighths of the memory; the rest is for the process itself, its
// lists, and what each connection and request holds beside its buffers.
constexpr std::size_t kBufferEighths = 3;

// Records of requests get this part: at 32 MB some 4,000, more than run in the time for which they are kept.
constexpr std::size_t kMemoryPerRecords = 32;

// Client retries that may be open in any case: about as many as a few failing hosts cause.
constexpr std::size_t kMinRetries = 64;

// Records of requests that may have run are kept no longer than this, whatever the class settings.
constexpr Time kMaxRecordLifetime = 60 * kSecond;

// The shortest latency objective of all classes, but at most one second.
Time shortestLatencyObjective(const load_balancer::Settings& settings) {
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

std::size_t bufferMemory(const Config& config) {
  return std::max<std::size_t>(config.memory_mb * kMegabyte / 8 * kBufferEighths, 2 * kMostBody);
}

Server::Limits serverLimits(const Config& config, std::size_t descriptors) {
  Server::Limits limits;
  limits.connections.most = descriptors;  // fewer while hosts use their share
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

std::vector<admission::RequestGate::Share> reorderShares(
    const std::vector<std::string>& names, const std::vector<std::string>& share_names,
    const std::vector<admission::RequestGate::Share>& shares) {
  std::vector<admission::RequestGate::Share> reordered;
  if (shares.empty()) return reordered;
  for (const std::string& name : names) {
    const auto it = std::find(share_names.begin(), share_names.end(), name);
    reordered.push_back(it == share_names.end() ? admission::RequestGate::Share{}
                                                : shares[static_cast<std::size_t>(it - share_names.begin())]);
  }
  return reordered;
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
  limits.retries_least = own.retries_least.value_or(kMinRetries);
  limits.retries_part = own.retries_part.value_or(1);
  if (settings.retry_after) {
    limits.advice_least = shortestLatencyObjective(settings) / 8;
    limits.advice_most = settings.max_retry_after;
  }
  return limits;
}

admission::DuplicateDetector::Limits duplicateDetectorLimits(const Config& config) {
  admission::DuplicateDetector::Limits limits;
  limits.kept = 0;
  for (const load_balancer::RequestClass& c : config.site.settings.classes)
    limits.kept =
        std::max({limits.kept, c.deadline,
                  c.idempotency == Idempotency::IdempotentWithKey ? 2 * c.deduplication_window : 0});
  limits.kept = std::min(limits.kept, kMaxRecordLifetime);
  limits.bytes = config.memory_mb * kMegabyte / kMemoryPerRecords;
  return limits;
}

Upstream::Limits upstreamLimits(const Config& config) {
  Upstream::Limits limits;
  limits.idle = config.site.idle;
  limits.health_check_load = config.site.reports;
  // Responses are small and written at once, so one that stalls half-way gets only part of the latency
  // objective.
  const Time latency_objective = shortestLatencyObjective(config.site.settings);
  limits.answer_whole = std::max(latency_objective / 4, 20 * kMillisecond);
  // Connecting to an unreachable machine must leave time to try another; the network distance is small.
  limits.connect_timeout =
      std::min(config.site.connect_timeout, std::max(latency_objective / 4, 20 * kMillisecond));
  limits.idle = config.own.upstream_idle.value_or(limits.idle);
  limits.health_check_timeout = config.own.health_check_timeout.value_or(limits.health_check_timeout);
  limits.answer_whole = config.own.answer.value_or(limits.answer_whole);
  limits.connect_timeout = config.own.connect.value_or(limits.connect_timeout);
  return limits;
}

std::size_t descriptorBudget(const Config& config) {
  const std::size_t reserved = kReservedDescriptors + (config.console ? kConsoleDescriptors : 0);
  return config.sockets > 2 * reserved ? config.sockets - reserved : reserved;
}

void Proxy::Registry::assign(const Config& config) {
  const load_balancer::Settings& settings = config.site.settings;
  admission::IndexRegistry<load_balancer::RequestClass>::Named named_classes;
  for (std::size_t i = 0; i < config.site.classes.size(); ++i) {
    named_classes.emplace_back(config.site.classes[i], settings.classes[i]);
    // Resolves the default here: a request keeps its number of attempts even if a reload changes the default.
    std::int32_t& attempts = named_classes.back().second.max_attempts;
    if (attempts == 0) attempts = settings.max_attempts;
  }
  classes.assign(named_classes);
  admission::IndexRegistry<TenantInfo>::Named named_tenants;
  for (const std::string& name : config.site.tenants) named_tenants.emplace_back(name, TenantInfo{});
  tenants.assign(named_tenants);
}

// In the order of indices. A class that is no longer in the configuration keeps its settings, for the
// requests that were admitted under it.
load_balancer::Settings Proxy::Registry::settings(const Config& config) const {
  load_balancer::Settings s = config.site.settings;
  s.classes.clear();
  for (std::size_t i = 0; i < classes.size(); ++i)
    s.classes.push_back(classes.at(static_cast<std::int32_t>(i)));
  s.tenants.assign(tenants.size(), {});
  for (std::size_t i = 0; i < config.site.tenants.size(); ++i) {
    if (const auto index = tenants.find(config.site.tenants[i]))
      s.tenants[static_cast<std::size_t>(*index)] = config.site.settings.tenants[i];
  }
  return s;
}

admission::RequestGate::Limits Proxy::Registry::limits(const Config& config) const {
  admission::RequestGate::Limits limits = requestLimits(config);
  const auto by_index = [](const auto& indices, const std::vector<std::string>& names, const auto& shares) {
    std::vector<admission::RequestGate::Share> out(indices.size());
    for (std::size_t i = 0; i < std::min(names.size(), shares.size()); ++i) {
      if (const auto index = indices.find(names[i])) out[static_cast<std::size_t>(*index)] = shares[i];
    }
    return out;
  };
  limits.classes = by_index(classes, config.site.classes, limits.classes);
  limits.tenants = by_index(tenants, config.site.tenants, limits.tenants);
  return limits;
}

}  // namespace client_proxy
