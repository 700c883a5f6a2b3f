// Checks every action of one Balancer against the four rules, from the events and actions alone:
//
//     rule 1   each request gets exactly one answer, in time
//     rule 2   no request may run twice unless that is harmless
//     rule 3   no request is sent to a host that is draining or removed
//     rule 4   a host in slow start is not sent more than it can take at that time
//
// It neither simulates servers nor measures performance.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "load_balancer/balancer.h"

namespace load_balancer::test {

class RuleChecker {
 public:
  enum class Run { Outstanding, MayHaveRun, NeverRan };
  struct Attempt {
    std::string server;
    std::int32_t zone = 0, cell = 0;
    Time sent_at = 0;
    Run run = Run::Outstanding;
  };
  struct TrackedRequest {
    Request request;
    Time arrived_at = 0;
    bool ended = false;  // answered, or its client has disconnected
    std::vector<Attempt> attempts;
  };

  explicit RuleChecker(Settings settings) : settings_(std::move(settings)) {}

  std::vector<std::string> violations;  // which rule was broken and how, in order
  std::map<RequestId, TrackedRequest> requests;
  std::size_t sends = 0, rejections = 0, failures = 0;

  // ---- events, as reported to the Balancer ----
  void servers(Time now, ListKind kind, const std::vector<Host>& hosts) {
    if (kind == ListKind::Unavailable) return;
    if (kind != ListKind::Changes) {
      for (auto& [id, host] : hosts_) {
        if (host.state != HostState::Removed) host.unavailable_since = now;
        host.state = HostState::Removed;
      }
    }
    for (const Host& h : hosts) {
      KnownHost& k = hosts_[h.id];
      if (h.state != HostState::Healthy && k.state == HostState::Healthy) k.unavailable_since = now;
      if (h.state != HostState::Healthy && k.unavailable_since == kNever) k.unavailable_since = now;
      if (h.state == HostState::Healthy) k.unavailable_since = kNever;
      k.state = h.state;
      if (h.started_at != k.started_at) k.slow_start_sends.clear();
      k.started_at = h.started_at;
      k.zone = h.zone;
      k.cell = h.cell;
    }
  }
  void request(Time now, const Request& r) { requests[r.id] = TrackedRequest{r, now, false, {}}; }
  void outcome(const Outcome& o) {
    TrackedRequest& t = requests.at(o.request);
    t.attempts.at(static_cast<std::size_t>(o.attempt)).run =
        provesNeverRan(o.result) ? Run::NeverRan : Run::MayHaveRun;
    if (o.final || o.result == Result::Ok) t.ended = true;
  }
  void clientDisconnected(RequestId id) { requests.at(id).ended = true; }

  // ---- actions ----
  void check(Time now, const Actions& actions) {
    for (const Action& a : actions) {
      switch (a.kind) {
        case ActionKind::Send:
          checkSend(now, a);
          break;
        case ActionKind::Reject:
        case ActionKind::Fail:
          checkAnswer(now, a);
          break;
        case ActionKind::Cancel:
          checkCancel(a);
          break;
        case ActionKind::SetTimer:
          if (a.time <= now) violations.push_back("timer in the past");
          break;
        case ActionKind::HealthCheck:
          if (!settings_.may_health_check) violations.push_back("probe is not permitted");
          if (!hosts_.contains(std::string(a.server))) violations.push_back("probe of an unknown server");
          break;
        case ActionKind::Subscribe:
        case ActionKind::Log:
          break;
      }
    }
  }

  // Checks rule 1 at the end of a run: no request may be unanswered after its deadline.
  void finish(Time now) {
    for (const auto& [id, t] : requests) {
      if (!t.ended && now > t.arrived_at + t.request.time_left + kSlack)
        violations.push_back("rule 1: request never answered");
    }
  }

 private:
  static constexpr Time kNever = -1;
  static constexpr Time kSlack = 20'000;  // an answer may be this late, as timers may fire late
  struct KnownHost {
    HostState state = HostState::Healthy;
    Time unavailable_since = kNever, started_at = 0;
    std::int32_t zone = 0, cell = 0;
    std::vector<Time> slow_start_sends;
  };

  static bool provesNeverRan(Result r) {
    return r == Result::Rejected || r == Result::ConnectFailed || r == Result::RequestIncomplete ||
           r == Result::NotSent;
  }

  void checkSend(Time now, const Action& a) {
    ++sends;
    const auto it = requests.find(a.request);
    if (it == requests.end()) return violations.push_back("send for an unknown request");
    TrackedRequest& t = it->second;
    const auto host = hosts_.find(std::string(a.server));
    if (host == hosts_.end()) return violations.push_back("send to an unknown server");
    if (t.ended) violations.push_back("rule 1: send after the answer");
    if (a.time < 0) violations.push_back("negative timeout");
    if (static_cast<std::int32_t>(t.attempts.size()) >= settings_.max_attempts) {
      violations.push_back("more attempts than permitted");
    }
    checkRetry(now, t, host->second);
    if (host->second.unavailable_since != kNever)
      violations.push_back("rule 3: send to a server that is draining or removed");
    checkSlowStart(now, host->second);
    t.attempts.push_back(
        {std::string(a.server), host->second.zone, host->second.cell, now, Run::Outstanding});
  }

  void checkRetry(Time now, const TrackedRequest& t, const KnownHost& host) {
    const RequestClass& c = settings_.classes.at(static_cast<std::size_t>(t.request.request_class));
    if (t.request.deduplication_time_left && now >= t.arrived_at + *t.request.deduplication_time_left)
      violations.push_back("rule 2: repeat of a key after the window of its first request");
    Time first = kNever;
    for (const Attempt& a : t.attempts) {
      if (a.run == Run::NeverRan) continue;
      if (a.run == Run::Outstanding) violations.push_back("rule 2: two attempts in flight");
      if (c.idempotency == Idempotency::NonIdempotent)
        violations.push_back("rule 2: non-idempotent request sent again");
      if (c.idempotency != Idempotency::IdempotentWithKey) continue;
      if (first == kNever) first = a.sent_at;
      if (c.deduplication_scope == DeduplicationScope::Zone && a.zone != host.zone)
        violations.push_back("rule 2: retry in another zone");
      if (c.deduplication_scope == DeduplicationScope::Cell && a.cell != host.cell)
        violations.push_back("rule 2: retry in another cell");
    }
    if (first != kNever && now > first + c.deduplication_window)
      violations.push_back("rule 2: retry after the window");
  }

  // Bounds what this client sends to a server in slow start within one overload window: its ordinary rate per
  // member of its subset, times the overload factor, times the fraction of capacity that the server has at
  // least. If every client keeps to this, all of them together don't overload the server. `slow_start_slack`
  // requests more are accepted for the burst that the client's token bucket permits.
  void checkSlowStart(Time now, KnownHost& host) {
    if (host.started_at == 0 || now - host.started_at >= settings_.slow_start_duration) return;
    host.slow_start_sends.push_back(now);
    if (client_request_rate <= 0) return;
    const auto since = std::lower_bound(host.slow_start_sends.begin(), host.slow_start_sends.end(),
                                        now - settings_.slow_start_overload_window);
    const auto sent = static_cast<double>(host.slow_start_sends.end() - since);
    const auto healthy = std::count_if(hosts_.begin(), hosts_.end(),
                                       [](const auto& k) { return k.second.state == HostState::Healthy; });
    const double members = std::max(
        1.0, std::min(16.0, static_cast<double>(healthy)) * 0.6);  // at most 40 % of the subset is ejected
    const double age =
        static_cast<double>(now - host.started_at) / static_cast<double>(settings_.slow_start_duration);
    const double capacity =
        settings_.slow_start_initial_capacity + (1 - settings_.slow_start_initial_capacity) * age;
    const double seconds = static_cast<double>(settings_.slow_start_overload_window) / 1e6;
    const double limit =
        client_request_rate / members * settings_.slow_start_overload_factor * capacity * seconds +
        slow_start_slack;
    if (sent > limit) violations.push_back("rule 4: too many requests to a server in slow start");
  }

 public:
  double client_request_rate = 0;  // requests per second that arrive at this client; 0: rule 4 is not checked
  double slow_start_slack = 3;     // requests beyond the bound of rule 4 that are accepted

 private:
  void checkAnswer(Time now, const Action& a) {
    const auto it = requests.find(a.request);
    if (it == requests.end()) return violations.push_back("answer to an unknown request id");
    TrackedRequest& t = it->second;
    if (t.ended) return violations.push_back("rule 1: second answer");
    if (now > t.arrived_at + t.request.time_left + kSlack) violations.push_back("rule 1: answered too late");
    t.ended = true;
    if (a.kind == ActionKind::Fail) {
      ++failures;
      return;
    }
    ++rejections;
    const RequestClass& c = settings_.classes.at(static_cast<std::size_t>(t.request.request_class));
    if (c.idempotency == Idempotency::Idempotent ||
        (c.idempotency == Idempotency::IdempotentWithKey && c.deduplication_scope == DeduplicationScope::All))
      return;
    for (const Attempt& at : t.attempts) {
      if (at.run != Run::NeverRan) violations.push_back("rule 2: rejected though it may have run");
    }
  }

  void checkCancel(const Action& a) {
    if (!settings_.may_cancel) violations.push_back("cancel is not permitted");
    const auto it = requests.find(a.request);
    if (it == requests.end() || a.attempt < 0 ||
        static_cast<std::size_t>(a.attempt) >= it->second.attempts.size()) {
      violations.push_back("cancel of an unknown attempt");
    }
  }

  Settings settings_;
  std::map<std::string, KnownHost> hosts_;
};

}  // namespace load_balancer::test
