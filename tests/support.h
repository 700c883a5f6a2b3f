// Shared by tests of the library: settings and hosts to test with, and a driver around one Balancer that
// checks every action against the rules. Times are in microseconds.
#pragma once

#include <string>
#include <vector>

#include "load_balancer/balancer.h"
#include "rule_checker.h"

namespace load_balancer::test {

constexpr Time kMs = 1000;
constexpr Time kSec = 1'000'000;
constexpr Time kStart = 5'000'000'000;  // the clock at the start of each test

inline RequestClass makeClass(Idempotency idempotency,
                              DeduplicationScope deduplication_scope = DeduplicationScope::All) {
  RequestClass c;
  c.latency_objective = 500 * kMs;
  c.deadline = 2 * kSec;
  c.idempotency = idempotency;
  c.deduplication_scope = deduplication_scope;
  c.deduplication_window = 900 * kMs;
  c.priority_weight = 2;
  return c;
}

// Request classes: 0 idempotent; 1, 2 and 3 idempotent with a key, deduplicated by all hosts, within the zone
// and within the cell; 4 non-idempotent.
inline Settings makeSettings() {
  Settings s;
  s.classes = {makeClass(Idempotency::Idempotent),
               makeClass(Idempotency::IdempotentWithKey, DeduplicationScope::All),
               makeClass(Idempotency::IdempotentWithKey, DeduplicationScope::Zone),
               makeClass(Idempotency::IdempotentWithKey, DeduplicationScope::Cell),
               makeClass(Idempotency::NonIdempotent)};
  s.max_attempts = 5;
  s.may_cancel = true;
  s.drain_grace = 500 * kMs;
  s.slow_start_initial_capacity = 0.25;
  s.slow_start_duration = 10 * kSec;
  s.slow_start_overload_factor = 3;
  s.slow_start_overload_window = 2 * kSec;
  s.poll_interval = 10 * kSec;
  s.tick = 5 * kMs;
  return s;
}

// Host "server-00n" in zone n mod 3 and cell n / 4.
inline Host makeHost(int n, HostState state = HostState::Healthy) {
  Host h;
  h.id = "server-" + std::string(n < 10 ? "00" : n < 100 ? "0" : "") + std::to_string(n);
  h.state = state;
  h.zone = n % 3;
  h.cell = n / 4;
  return h;
}

inline std::vector<Host> makeHosts(int count) {
  std::vector<Host> hosts;
  for (int n = 0; n < count; ++n) hosts.push_back(makeHost(n));
  return hosts;
}

// One Balancer and a checker. Each function reports an event to both at the time `now`, checks the resulting
// actions and returns them; they stay in `actions` until the next event.
class Driver {
 public:
  explicit Driver(const Settings& settings, std::uint64_t seed = 1)
      : checker(settings), balancer(settings, seed) {}

  const Actions& servers(ListKind kind, const std::vector<Host>& hosts) {
    checker.servers(now, kind, hosts);
    return act([&](Actions& out) { balancer.onServers(now, kind, hosts, out); });
  }
  const Actions& request(RequestId id, std::int32_t cls, Time left = 2 * kSec, std::int32_t tenant = kUnset,
                         std::optional<Time> deduplication_time_left = {}) {
    Request r;
    r.deduplication_time_left = deduplication_time_left;
    r.id = id;
    r.time_left = left;
    r.request_class = cls;
    r.tenant = tenant;
    checker.request(now, r);
    return act([&](Actions& out) { balancer.onRequest(now, r, out); });
  }
  const Actions& outcome(RequestId id, std::int32_t attempt, Result result, Time latency = 0,
                         bool final = false) {
    Outcome o;
    o.request = id;
    o.attempt = attempt;
    o.result = result;
    o.final = final || result == Result::Ok;
    o.latency = latency;
    checker.outcome(o);
    return act([&](Actions& out) { balancer.onOutcome(now, o, out); });
  }
  const Actions& timer(std::uint64_t handle) {
    return act([&](Actions& out) { balancer.onTimer(now, handle, out); });
  }
  const Actions& clientDisconnected(RequestId id) {
    checker.clientDisconnected(id);
    return act([&](Actions& out) { balancer.onClientDisconnected(now, id, out); });
  }
  const Actions& probe(const std::string& server, bool ok, double in_flight = -1) {
    LoadReport load;
    load.in_flight = in_flight;
    return act([&](Actions& out) { balancer.onHealthCheck(now, server, ok, kMs, load, out); });
  }

  // The server of the first Send in the last actions; empty if there is none.
  std::string sentTo() const {
    for (const Action& a : actions) {
      if (a.kind == ActionKind::Send) return std::string(a.server);
    }
    return {};
  }
  // The reason of the first Send in the last actions.
  Reason reason() const {
    for (const Action& a : actions) {
      if (a.kind == ActionKind::Send) return a.reason;
    }
    return Reason::None;
  }
  // The servers of all HealthChecks in the last actions.
  std::vector<std::string> probed() const {
    std::vector<std::string> ids;
    for (const Action& a : actions) {
      if (a.kind == ActionKind::HealthCheck) ids.emplace_back(a.server);
    }
    return ids;
  }
  // True if a Log in the last actions begins with `text`.
  bool logged(const std::string& text) const {
    for (const Action& a : actions) {
      if (a.kind == ActionKind::Log && a.text.find(text) == 0) return true;
    }
    return false;
  }
  int count(ActionKind kind) const {
    int n = 0;
    for (const Action& a : actions) n += a.kind == kind ? 1 : 0;
    return n;
  }

  Time now = kStart;
  RuleChecker checker;
  Balancer balancer;
  Actions actions;

 private:
  template <typename Call>
  const Actions& act(Call call) {
    actions.clear();
    call(actions);
    checker.check(now, actions);
    return actions;
  }
};

}  // namespace load_balancer::test
