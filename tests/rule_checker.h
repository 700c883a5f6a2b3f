// Judges every action of one Balancer against the wording of the four rules, from the events and actions
// alone. It plays no servers and measures no performance.
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
    Time sent = 0;
    Run run = Run::Outstanding;
  };
  struct Track {
    Request request;
    Time arrived = 0;
    bool ended = false;
    std::vector<Attempt> attempts;
  };

  explicit RuleChecker(Settings settings) : settings_(std::move(settings)) {}

  std::vector<std::string> broken;
  std::map<RequestId, Track> requests;
  std::size_t sends = 0, refusals = 0, failures = 0;

  // ---- events, as the Balancer is told them ----
  void servers(Time now, ListKind kind, const std::vector<Host>& hosts) {
    if (kind == ListKind::Unavailable) return;
    if (kind != ListKind::Changes) {
      for (auto& [id, known] : known_) {
        if (known.state != HostState::Removed) known.left = now;
        known.state = HostState::Removed;
      }
    }
    for (const Host& h : hosts) {
      Known& k = known_[h.id];
      if (h.state != HostState::Healthy && k.state == HostState::Healthy) k.left = now;
      if (h.state != HostState::Healthy && k.left == kNever) k.left = now;
      if (h.state == HostState::Healthy) k.left = kNever;
      k.state = h.state;
      if (h.started_at != k.started_at) k.cold_sends.clear();
      k.started_at = h.started_at;
      k.zone = h.zone;
      k.cell = h.cell;
    }
  }
  void request(Time now, const Request& r) { requests[r.id] = Track{r, now, false, {}}; }
  void outcome(const Outcome& o) {
    Track& t = requests.at(o.request);
    t.attempts.at(static_cast<std::size_t>(o.attempt)).run =
        proves(o.result) ? Run::NeverRan : Run::MayHaveRun;
    if (o.final || o.result == Result::Ok) t.ended = true;
  }
  void gone(RequestId id) { requests.at(id).ended = true; }

  // ---- actions ----
  void check(Time now, const Actions& actions) {
    for (const Action& a : actions) {
      switch (a.kind) {
        case ActionKind::Send:
          send(now, a);
          break;
        case ActionKind::Reject:
        case ActionKind::Fail:
          answer(now, a);
          break;
        case ActionKind::Cancel:
          cancel(a);
          break;
        case ActionKind::SetTimer:
          if (a.time <= now) broken.push_back("timer in the past");
          break;
        case ActionKind::HealthCheck:
          if (!settings_.may_health_check) broken.push_back("probe is not permitted");
          if (!known_.contains(std::string(a.server))) broken.push_back("probe of an unknown server");
          break;
        case ActionKind::Subscribe:
        case ActionKind::Log:
          break;
      }
    }
  }

  // Rule 1 at the end of a run: nothing may be left without an answer past its deadline.
  void finish(Time now) {
    for (const auto& [id, t] : requests) {
      if (!t.ended && now > t.arrived + t.request.time_left + kSlack)
        broken.push_back("rule 1: never answered");
    }
  }

 private:
  static constexpr Time kNever = -1;
  static constexpr Time kSlack = 20'000;
  struct Known {
    HostState state = HostState::Healthy;
    Time left = kNever, started_at = 0;
    std::int32_t zone = 0, cell = 0;
    std::vector<Time> cold_sends;
  };

  static bool proves(Result r) {
    return r == Result::Rejected || r == Result::ConnectFailed || r == Result::RequestIncomplete ||
           r == Result::NotSent;
  }

  void send(Time now, const Action& a) {
    ++sends;
    const auto it = requests.find(a.request);
    if (it == requests.end()) return broken.push_back("send for an unknown request");
    Track& t = it->second;
    const auto host = known_.find(std::string(a.server));
    if (host == known_.end()) return broken.push_back("send to an unknown server");
    if (t.ended) broken.push_back("rule 1: send after the answer");
    if (a.time < 0) broken.push_back("negative time-out");
    if (static_cast<std::int32_t>(t.attempts.size()) >= settings_.max_attempts) {
      broken.push_back("more attempts than permitted");
    }
    repeat(now, t, host->second);
    if (host->second.left != kNever) broken.push_back("rule 3: send to a server that drains or is gone");
    cold(now, host->second);
    t.attempts.push_back(
        {std::string(a.server), host->second.zone, host->second.cell, now, Run::Outstanding});
  }

  void repeat(Time now, const Track& t, const Known& host) {
    const RequestClass& c = settings_.classes.at(static_cast<std::size_t>(t.request.request_class));
    Time first = kNever;
    for (const Attempt& a : t.attempts) {
      if (a.run == Run::NeverRan) continue;
      if (a.run == Run::Outstanding) broken.push_back("rule 2: two attempts out");
      if (c.idempotency == Idempotency::NonIdempotent) broken.push_back("rule 2: unsafe request sent again");
      if (c.idempotency != Idempotency::IdempotentWithKey) continue;
      if (first == kNever) first = a.sent;
      if (c.deduplication_scope == DeduplicationScope::Zone && a.zone != host.zone)
        broken.push_back("rule 2: another zone");
      if (c.deduplication_scope == DeduplicationScope::Cell && a.cell != host.cell)
        broken.push_back("rule 2: another cell");
    }
    if (first != kNever && now > first + c.deduplication_window) broken.push_back("rule 2: after the window");
  }

  // What one client may send to a cold server within one window: if every client keeps to its own ordinary
  // rate for each member of its subset, times the multiple of the capacity that is there at least, the sum
  // over all clients stays within the budget. A few requests of slack for the bucket.
  void cold(Time now, Known& host) {
    if (host.started_at == 0 || now - host.started_at >= settings_.slow_start_duration) return;
    host.cold_sends.push_back(now);
    if (cold_rate <= 0) return;
    const auto since = std::lower_bound(host.cold_sends.begin(), host.cold_sends.end(),
                                        now - settings_.slow_start_overload_window);
    const auto sent = static_cast<double>(host.cold_sends.end() - since);
    const auto healthy = std::count_if(known_.begin(), known_.end(),
                                       [](const auto& k) { return k.second.state == HostState::Healthy; });
    const double members =
        std::max(1.0, std::min(16.0, static_cast<double>(healthy)) * 0.6);  // ejections are capped
    const double age =
        static_cast<double>(now - host.started_at) / static_cast<double>(settings_.slow_start_duration);
    const double capacity =
        settings_.slow_start_initial_capacity + (1 - settings_.slow_start_initial_capacity) * age;
    const double seconds = static_cast<double>(settings_.slow_start_overload_window) / 1e6;
    const double limit =
        cold_rate / members * settings_.slow_start_overload_factor * capacity * seconds + cold_slack;
    if (sent > limit) broken.push_back("rule 4: too much for a cold server");
  }

 public:
  double cold_rate = 0;  // this client's arrivals a second; 0: rule 4 is not judged in this run
  double cold_slack = 3;

 private:
  void answer(Time now, const Action& a) {
    const auto it = requests.find(a.request);
    if (it == requests.end()) return broken.push_back("answer to an unknown request");
    Track& t = it->second;
    if (t.ended) return broken.push_back("rule 1: a second answer");
    if (now > t.arrived + t.request.time_left + kSlack) broken.push_back("rule 1: answered too late");
    t.ended = true;
    if (a.kind == ActionKind::Fail) {
      ++failures;
      return;
    }
    ++refusals;
    const RequestClass& c = settings_.classes.at(static_cast<std::size_t>(t.request.request_class));
    if (c.idempotency == Idempotency::Idempotent ||
        (c.idempotency == Idempotency::IdempotentWithKey && c.deduplication_scope == DeduplicationScope::All))
      return;
    for (const Attempt& at : t.attempts) {
      if (at.run != Run::NeverRan) broken.push_back("rule 2: refused though it may have run");
    }
  }

  void cancel(const Action& a) {
    if (!settings_.may_cancel) broken.push_back("cancel is not permitted");
    const auto it = requests.find(a.request);
    if (it == requests.end() || a.attempt < 0 ||
        static_cast<std::size_t>(a.attempt) >= it->second.attempts.size()) {
      broken.push_back("cancel of an attempt never made");
    }
  }

  Settings settings_;
  std::map<std::string, Known> known_;
};

}  // namespace load_balancer::test
