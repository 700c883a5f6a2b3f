#include "platform/settings.h"

#include <nlohmann/json.hpp>

#include "platform/json_node.h"

namespace load_balancer::platform {
namespace {

using nlohmann::json;

RequestClass parseClass(const Node& node) {
  RequestClass c;
  c.latency_objective = node.at("goal_time_us").time(1);
  c.deadline = node.at("deadline_us").time(1);
  const Node idempotency = node.at("effect");
  const std::string name = idempotency.text();
  if (name == "retryable") {
    c.idempotency = Idempotency::Idempotent;
  } else if (name == "dedup") {
    c.idempotency = Idempotency::IdempotentWithKey;
    const Node deduplication_scope = node.at("group");
    const std::string word = deduplication_scope.text();
    if (word == "all") {
      c.deduplication_scope = DeduplicationScope::All;
    } else if (word == "zone") {
      c.deduplication_scope = DeduplicationScope::Zone;
    } else if (word == "cell") {
      c.deduplication_scope = DeduplicationScope::Cell;
    } else {
      deduplication_scope.bad("is unknown: " + word);
    }
    c.deduplication_window = node.at("window_us").time(1);
  } else if (name == "fragile") {
    c.idempotency = Idempotency::NonIdempotent;
  } else {
    idempotency.bad("is unknown: " + name);
  }
  c.priority_weight = node.numberOr("value", 1, 0);
  c.late_weight = node.numberOr("late_worth", 0, 0);
  c.objective_per_work = node.numberOr("aim_stretch", 0, 0);
  return c;
}

ReportSource parseReports(const Node& root) {
  if (!root.has("report") || !root.at("report").has("source")) return ReportSource::None;
  const Node report = root.at("report");
  const Node source = report.at("source");
  const std::string word = source.text();
  if (word == "answers") return ReportSource::Responses;
  if (word == "probe") return ReportSource::HealthChecks;
  if (word != "none") source.bad("is unknown: " + word);
  return ReportSource::None;
}

Settings settingsOf(const Node& root) {
  Settings s;
  s.client = static_cast<std::uint32_t>(root.at("me").whole(0));
  if (root.has("peers_total")) s.clients = static_cast<std::uint32_t>(root.at("peers_total").whole(1));
  s.zone = root.has("my_zone") ? root.at("my_zone").whole(0) : 0;
  const Node discovery = root.at("discovery");
  const std::string how = discovery.text();
  if (how != "ask" && how != "push") discovery.bad("is unknown: " + how);
  s.discovery = how == "ask" ? Discovery::Poll : Discovery::Push;
  s.reports = parseReports(root);
  s.weighted = root.has("weight_source") && root.at("weight_source").text() != "none";
  s.warm_keys = root.has("domain") && root.at("domain").flagOr("warm_keys", false);
  const Node classes = root.at("request_classes");
  if (classes.size() == 0) classes.bad("names no class");
  for (std::size_t i = 0; i < classes.size(); ++i) s.classes.push_back(parseClass(classes.at(i)));
  if (root.has("parties")) {
    const Node parties = root.at("parties");
    for (std::size_t i = 0; i < parties.size(); ++i) {
      const Node party = parties.at(i);
      s.tenants.push_back({.quota = party.numberOr("fraction", 0, 0)});
    }
  }
  s.over_quota_weight = root.numberOr("over_share_worth", 1, 0);
  const Node limits = root.at("limits");
  s.max_attempts = limits.at("max_attempts").whole(1);
  s.may_cancel = limits.flagOr("may_cancel", false);
  s.may_health_check = limits.flagOr("may_probe", false);
  s.retry_after = limits.flagOr("retry_after", false);
  s.max_retry_after = limits.timeOr("max_retry_after_us", 0);
  const Node rules = root.at("rules");
  s.drain_grace = rules.at("drain_grace_us").time(0);
  s.slow_start_initial_capacity = rules.at("cold_from").number(0, 1);
  if (s.slow_start_initial_capacity <= 0) rules.at("cold_from").bad("is out of range: 0");
  s.slow_start_duration = rules.at("cold_us").time(0);
  s.slow_start_overload_factor = rules.at("tip_multiple").number(0);
  s.slow_start_overload_window = rules.at("fall_us").time(0);
  s.poll_interval =
      s.discovery == Discovery::Poll ? rules.at("ask_within_us").time(1) : rules.timeOr("ask_within_us", 0);
  s.tick = root.at("tick_us").time(1);
  return s;
}

json parseObject(std::string_view text) {
  json doc = json::parse(text, nullptr, false);
  if (doc.is_discarded() || !doc.is_object()) throw BadField("config", "is not a JSON object");
  return doc;
}

std::vector<std::string> namesOf(const Node& root, const char* list) {
  std::vector<std::string> names;
  if (!root.has(list)) return names;
  const Node entries = root.at(list);
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const Node entry = entries.at(i);
    names.push_back(entry.isText() ? entry.text() : entry.at("name").text());
  }
  return names;
}

}  // namespace

bool isInFlightGauge(std::string_view name) { return name == "concurrent"; }

Settings parseSettings(std::string_view text) {
  const json doc = parseObject(text);
  return settingsOf(Node(doc, ""));
}

Site parseSite(std::string_view text) {
  const json doc = parseObject(text);
  const Node root(doc, "");
  Site site;
  site.settings = settingsOf(root);
  site.classes = namesOf(root, "request_classes");
  site.tenants = namesOf(root, "parties");
  site.zones = namesOf(root, "zones");
  const Node limits = root.at("limits");
  site.idle = limits.timeOr("conn_idle_us", site.idle);
  site.connect_timeout = limits.timeOr("connect_timeout_us", site.connect_timeout);
  if (limits.has("max_open")) site.max_open = limits.at("max_open").whole(1);
  site.peers = limits.flagOr("peers", false);
  site.reports = site.settings.reports != ReportSource::None;
  return site;
}

}  // namespace load_balancer::platform
