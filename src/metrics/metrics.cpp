#include "metrics/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <map>

namespace client_proxy::metrics {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

MetricFamily counter(const char* name, const char* help, const std::map<std::string, ClassCounts>& classes,
                     std::uint64_t ClassCounts::*count) {
  MetricFamily family{.name = name, .help = help, .type = MetricType::Counter, .metric = {}};
  for (const auto& [of, counts] : classes) {
    ClientMetric metric;
    metric.label.push_back({"type", of});
    metric.counter.value = static_cast<double>(counts.*count);
    family.metric.push_back(std::move(metric));
  }
  return family;
}

MetricFamily rows(const char* name, const char* help, MetricType type, const char* label,
                  const FleetMetrics::Rows& all) {
  MetricFamily family{.name = name, .help = help, .type = type, .metric = {}};
  for (const auto& [of, value] : all) {
    ClientMetric metric;
    metric.label.push_back({label, of});
    (type == MetricType::Gauge ? metric.gauge.value : metric.counter.value) = static_cast<double>(value);
    family.metric.push_back(std::move(metric));
  }
  return family;
}

template <typename T>
MetricFamily gauge(const char* name, const char* help, T value) {
  ClientMetric metric;
  metric.gauge.value = static_cast<double>(value);
  return {.name = name, .help = help, .type = MetricType::Gauge, .metric = {metric}};
}

MetricFamily total(const char* name, const char* help, std::uint64_t value) {
  ClientMetric metric;
  metric.counter.value = static_cast<double>(value);
  return {.name = name, .help = help, .type = MetricType::Counter, .metric = {metric}};
}

}  // namespace

RequestOutcome outcomeOf(int status) {
  if (status == 200) return RequestOutcome::Success;
  return status == 429 || status == 503 ? RequestOutcome::Overload : RequestOutcome::Error;
}

void RequestCounters::ended(std::size_t request_class, int status) {
  ClassCounts& counts = at(request_class);
  switch (outcomeOf(status)) {
    case RequestOutcome::Success:
      ++counts.success;
      break;
    case RequestOutcome::Overload:
      ++counts.overload;
      break;
    case RequestOutcome::Error:
      ++counts.error;
      break;
  }
}

std::string toPrometheusText(const ProxyMetrics& page) {
  std::map<std::string, ClassCounts> classes;
  for (const ProxyMetrics::Row& row : page.classes) {
    ClassCounts& sum = classes[row.name];
    sum.success += row.counts.success;
    sum.overload += row.counts.overload;
    sum.error += row.counts.error;
    sum.dispatches += row.counts.dispatches;
  }
  return prometheus::TextSerializer().Serialize({
      counter("app_success", "Requests served.", classes, &ClassCounts::success),
      counter("app_overload", "Requests refused.", classes, &ClassCounts::overload),
      counter("app_error", "Requests failed.", classes, &ClassCounts::error),
      counter("app_dispatches", "Attempts written whole to hosts.", classes, &ClassCounts::dispatches),
      gauge("app_concurrent", "Requests taken but not yet ended.", page.concurrent),
      gauge("app_targets", "Hosts in the list.", page.targets),
      gauge("app_targets_disabled", "Hosts in the list that are avoided, by hand or by choice.",
            page.targets_disabled),
      gauge("app_slow_start_targets", "Hosts in the list that are in slow start.", page.slow_start_targets),
      total("app_slow_start_dispatches", "Attempts at hosts in slow start.", page.slow_start_sent),
      rows("app_rule_violations", "Stopped before they broke a rule, and defects of the program.",
           MetricType::Counter, "rule", page.violations),
  });
}

std::string toPrometheusText(const FleetMetrics& page) {
  constexpr auto kCounter = MetricType::Counter;
  return prometheus::TextSerializer().Serialize({
      rows("app_fleet_members", "Listed proxies, as this one sees them.", MetricType::Gauge, "state",
           page.members),
      rows("app_fleet_datagrams", "Datagrams between proxies.", kCounter, "way", page.datagrams),
      rows("app_fleet_bytes", "Their bytes.", kCounter, "way", page.bytes),
      rows("app_fleet_drops", "Datagrams that were not used.", kCounter, "cause", page.drops),
      gauge("app_fleet_unchanged_seconds", "Since somebody came or went.", page.unchanged_seconds),
      gauge("app_fleet_sure", "Whether the view is to be relied on.", page.sure ? 1 : 0),
  });
}

}  // namespace client_proxy::metrics
