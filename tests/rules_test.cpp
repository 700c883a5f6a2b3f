// The four rules: the gate as a table, a seeded random walk over legal events, and proof that the checker
// which judges that walk catches broken action streams.
#include <gtest/gtest.h>

#include <queue>
#include <random>
#include <tuple>

#include "support.h"

namespace load_balancer::test {
namespace {

// ---- the gate: effect x outcome x window edge ----

struct GateCase {
  std::int32_t cls;      // 0 safe, 1 keyed all, 2 keyed zone, 3 keyed cell, 4 unsafe
  Result result;         // of the first attempt
  Time after;            // when it came
  bool may_send;         // may a second attempt follow (and if so, does it)
  ActionKind otherwise;  // else this answer is owed
};

std::ostream& operator<<(std::ostream& out, const GateCase& c) {
  return out << "class " << c.cls << " result " << static_cast<int>(c.result) << " after " << c.after;
}

class Gate : public testing::TestWithParam<GateCase> {};

TEST_P(Gate, SecondAttemptOrAnswer) {
  const GateCase& c = GetParam();
  Settings settings = makeSettings();
  for (RequestClass& k : settings.classes)
    k.latency_objective = k.deadline;  // so that the window decides, not the aim
  Driver d(settings);
  d.servers(ListKind::Restored, makeHosts(24));
  d.request(7, c.cls);
  const std::string first = d.sentTo();
  ASSERT_FALSE(first.empty());
  d.now += c.after;
  d.outcome(7, 0, c.result, c.after);
  if (c.may_send) {
    ASSERT_EQ(d.count(ActionKind::Send), 1);
    EXPECT_NE(d.sentTo(), first);
  } else {
    EXPECT_EQ(d.count(ActionKind::Send), 0);
    EXPECT_EQ(d.count(c.otherwise), 1);
  }
  EXPECT_EQ(d.checker.broken, std::vector<std::string>{});
}

constexpr auto kRefuse = ActionKind::Reject;
constexpr auto kFail = ActionKind::Fail;
INSTANTIATE_TEST_SUITE_P(Table, Gate,
                         testing::Values(
                             // a spoilt answer may have run; a request found at fault is not repeated
                             GateCase{0, Result::InvalidResponse, 100 * kMs, true, kRefuse},
                             GateCase{4, Result::InvalidResponse, 100 * kMs, false, kFail},
                             GateCase{0, Result::BadRequest, 100 * kMs, false, kFail},
                             GateCase{4, Result::BadRequest, 100 * kMs, false, kFail},
                             // never ran: every class may go on
                             GateCase{0, Result::ConnectFailed, 100 * kMs, true, kRefuse},
                             GateCase{1, Result::ConnectFailed, 1200 * kMs, true, kRefuse},
                             GateCase{2, Result::Rejected, 1200 * kMs, true, kRefuse},
                             GateCase{3, Result::NotSent, 1200 * kMs, true, kRefuse},
                             GateCase{4, Result::Rejected, 100 * kMs, true, kRefuse},
                             GateCase{4, Result::RequestIncomplete, 100 * kMs, true, kRefuse},
                             GateCase{4, Result::ConnectFailed, 100 * kMs, true, kRefuse},
                             GateCase{4, Result::NotSent, 100 * kMs, true, kRefuse},
                             // may have run: safe goes on
                             GateCase{0, Result::Error, 100 * kMs, true, kRefuse},
                             GateCase{0, Result::Reset, 1200 * kMs, true, kRefuse},
                             GateCase{0, Result::TimedOut, 1200 * kMs, true, kRefuse},
                             GateCase{0, Result::Cancelled, 100 * kMs, true, kRefuse},
                             // may have run: keyed goes on inside its window (900 ms) only
                             GateCase{1, Result::Error, 894 * kMs, true, kRefuse},
                             GateCase{1, Result::Error, 901 * kMs, false, kRefuse},
                             GateCase{2, Result::TimedOut, 894 * kMs, true, kFail},
                             GateCase{2, Result::TimedOut, 901 * kMs, false, kFail},
                             GateCase{3, Result::Reset, 894 * kMs, true, kFail},
                             GateCase{3, Result::Reset, 901 * kMs, false, kFail},
                             // may have run: unsafe never
                             GateCase{4, Result::Error, 100 * kMs, false, kFail},
                             GateCase{4, Result::Reset, 100 * kMs, false, kFail},
                             GateCase{4, Result::TimedOut, 100 * kMs, false, kFail},
                             GateCase{4, Result::Cancelled, 100 * kMs, false, kFail}));

TEST(GateTest, AttemptLimit) {
  Settings settings = makeSettings();
  settings.max_attempts = 2;
  Driver d(settings);
  d.servers(ListKind::Restored, makeHosts(24));
  d.request(7, 4);
  d.outcome(7, 0, Result::ConnectFailed);
  ASSERT_EQ(d.count(ActionKind::Send), 1);
  d.outcome(7, 1, Result::ConnectFailed);
  EXPECT_EQ(d.count(ActionKind::Send), 0);
  EXPECT_EQ(d.count(ActionKind::Reject), 1);
}

TEST(GateTest, NeverTwoAttemptsAtOnce) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(24));
  d.request(7, 0);
  EXPECT_EQ(d.count(ActionKind::Send), 1);
  EXPECT_EQ(d.count(ActionKind::SetTimer), 0);  // the attempt's own time-out is enough
}

// ---- the checker itself ----

Actions one(Action a) {
  Actions list;
  list.push_back(std::move(a));
  return list;
}

class Checker : public testing::Test {
 protected:
  Checker() : checker(makeSettings()) {
    checker.servers(kStart, ListKind::Restored, makeHosts(8));
    for (RequestId id = 1; id <= 5; ++id) {
      Request r;
      r.id = id;
      r.time_left = kSec;
      r.request_class = static_cast<std::int32_t>(id) - 1;
      checker.request(kStart, r);
    }
  }
  void send(RequestId id, const char* server, Time at = kStart) {
    checker.check(at, one({.kind = ActionKind::Send, .request = id, .server = server}));
  }
  bool caught(const std::string& what) const {
    for (const std::string& b : checker.broken) {
      if (b.find(what) != std::string::npos) return true;
    }
    return false;
  }
  RuleChecker checker;
};

TEST_F(Checker, AcceptsAPlainSend) {
  send(5, "server-000");
  EXPECT_TRUE(checker.broken.empty());
}
TEST_F(Checker, CatchesASecondAnswer) {
  checker.check(kStart, one({.kind = ActionKind::Reject, .request = 1}));
  checker.check(kStart, one({.kind = ActionKind::Fail, .request = 1}));
  EXPECT_TRUE(caught("rule 1: a second answer"));
}
TEST_F(Checker, CatchesASendAfterTheAnswer) {
  checker.check(kStart, one({.kind = ActionKind::Reject, .request = 1}));
  send(1, "server-000");
  EXPECT_TRUE(caught("rule 1: send after"));
}
TEST_F(Checker, CatchesALateAndAMissingAnswer) {
  checker.check(kStart + 2 * kSec, one({.kind = ActionKind::Reject, .request = 1}));
  EXPECT_TRUE(caught("rule 1: answered too late"));
  checker.finish(kStart + 2 * kSec);
  EXPECT_TRUE(caught("rule 1: never answered"));
}
TEST_F(Checker, CatchesAnUnsafeRepeatAndRefusal) {
  send(5, "server-000");
  send(5, "server-001");
  EXPECT_TRUE(caught("rule 2: unsafe"));
  checker.check(kStart, one({.kind = ActionKind::Reject, .request = 5}));
  EXPECT_TRUE(caught("rule 2: refused"));
}
TEST_F(Checker, CatchesAnotherZoneCellAndALateRepeat) {
  send(3, "server-000");
  send(3, "server-001");
  EXPECT_TRUE(caught("rule 2: another zone"));
  send(4, "server-000");
  send(4, "server-005");
  EXPECT_TRUE(caught("rule 2: another cell"));
  send(2, "server-000");
  send(2, "server-001", kStart + 901 * kMs);
  EXPECT_TRUE(caught("rule 2: after the window"));
}
TEST_F(Checker, CatchesASendToADrainingServer) {
  checker.servers(kStart, ListKind::Changes, {makeHost(0, HostState::Draining)});
  send(1, "server-000");
  EXPECT_TRUE(caught("rule 3"));
}
TEST_F(Checker, CatchesASendToAServerThatAFullListOmits) {
  checker.servers(kStart, ListKind::Full, makeHosts(4));
  send(1, "server-006");
  EXPECT_TRUE(caught("rule 3"));
}
TEST_F(Checker, CatchesTooMuchForAColdServer) {
  Host cold = makeHost(0);
  cold.started_at = kStart;
  checker.cold_rate = 1;  // over 4.8 members, times 3, a quarter of the capacity, two seconds: 0.3
  checker.cold_slack = 1;
  checker.servers(kStart, ListKind::Changes, {cold});
  send(1, "server-000", kStart + 1);
  EXPECT_FALSE(caught("rule 4"));
  send(2, "server-000", kStart + 2);
  EXPECT_TRUE(caught("rule 4"));
}

// ---- a random walk over legal events ----

struct Pending {
  Time at;
  std::uint64_t order;
  enum class What { Outcome, Timer, Deadline } what;
  RequestId request;
  std::int32_t attempt;
  Result result;
  std::uint64_t handle;
  Time sent;
  bool operator<(const Pending& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
};

class RandomWalk : public testing::TestWithParam<std::uint64_t> {};

TEST_P(RandomWalk, KeepsTheRules) {
  std::mt19937_64 dice(GetParam());
  const auto roll = [&](std::uint64_t n) { return static_cast<Time>(dice() % n); };
  Settings settings = makeSettings();
  settings.may_cancel = roll(2) == 0;
  settings.may_health_check = roll(2) == 0;
  settings.discovery = roll(2) == 0 ? Discovery::Poll : Discovery::Push;
  settings.max_attempts = static_cast<std::int32_t>(1 + roll(6));
  settings.client = static_cast<std::uint32_t>(roll(40));
  settings.tenants = {{0.7}, {0.3}};
  for (RequestClass& c : settings.classes) c.late_weight = roll(2) == 0 ? 0.5 : 0;
  Driver d(settings, GetParam());
  d.checker.cold_rate = 50;  // one arrival in 20 ms on average
  const int fleet = static_cast<int>(1 + roll(40));
  d.servers(ListKind::Restored, roll(8) == 0 ? std::vector<Host>{} : makeHosts(fleet));
  std::priority_queue<Pending> pending;
  std::uint64_t order = 0;
  std::map<RequestId, Time> deadline;
  const auto carryOut = [&] {
    for (const Action& a : d.actions) {
      if (a.kind == ActionKind::SetTimer) {
        pending.push({a.time + roll(6 * kMs), order++, Pending::What::Timer, 0, 0, Result::Ok, a.timer, 0});
      } else if (a.kind == ActionKind::HealthCheck) {
        // answered below at once or never: both are legal for a checker of rules
      } else if (a.kind == ActionKind::Send) {
        static constexpr Result kAll[] = {Result::Ok,    Result::Ok,           Result::Ok,
                                          Result::Error, Result::Rejected,     Result::TimedOut,
                                          Result::Reset, Result::ConnectFailed};
        Result result = kAll[roll(8)];
        const Time limit = std::min(deadline[a.request], a.time > 0 ? d.now + a.time : deadline[a.request]);
        Time at = d.now + roll(static_cast<std::uint64_t>(kSec));
        if (result == Result::TimedOut || at >= limit) {
          result = Result::TimedOut;
          at = limit;
        }
        const auto attempt = static_cast<std::int32_t>(d.checker.requests.at(a.request).attempts.size() - 1);
        pending.push(
            {std::max(at, d.now + 1), order++, Pending::What::Outcome, a.request, attempt, result, 0, d.now});
      }
    }
  };
  carryOut();
  RequestId next_id = 1;
  Time next_arrival = d.now;
  const Time end = d.now + 20 * kSec;
  while (d.now < end || !pending.empty()) {
    const bool arrival = next_arrival < end && (pending.empty() || next_arrival <= pending.top().at);
    if (!arrival && pending.empty()) break;
    if (arrival) {
      d.now = next_arrival;
      next_arrival += roll(40 * kMs);
      if (roll(60) == 0) {  // news of the list
        std::vector<Host> hosts;
        const int kind = static_cast<int>(roll(4));
        for (int n = 0; n < fleet * 2; ++n) {
          if (kind == 0 && roll(10) != 0) continue;
          if (kind == 1 && roll(4) == 0) continue;
          const auto mood = roll(10);
          Host h = makeHost(n, mood == 0 ? HostState::Draining : HostState::Healthy);
          if (mood == 1 && kind == 0) h.state = HostState::Removed;
          if (mood < 4) h.started_at = d.now - roll(20 * kSec);
          hosts.push_back(h);
        }
        if (kind <= 1) d.servers(kind == 0 ? ListKind::Changes : ListKind::Full, hosts);
        if (kind == 2) d.servers(ListKind::Unavailable, {});
        if (kind <= 2) carryOut();  // else nothing was called, and the last actions have been carried out
      }
      const Time left = roll(20) == 0 ? roll(3 * kMs) : 100 * kMs + roll(2 * kSec);
      deadline[next_id] = d.now + left;
      d.request(next_id, static_cast<std::int32_t>(roll(5)), left, static_cast<std::int32_t>(roll(3)) - 1);
      carryOut();
      if (roll(50) == 0 && !d.checker.requests.at(next_id).ended) {
        d.gone(next_id);
        carryOut();
      }
      ++next_id;
      continue;
    }
    const Pending p = pending.top();
    pending.pop();
    d.now = std::max(d.now, p.at);
    if (p.what == Pending::What::Timer) {
      d.timer(p.handle);
    } else {
      d.outcome(p.request, p.attempt, p.result, d.now - p.sent, d.checker.requests.at(p.request).ended);
    }
    carryOut();
    if (d.now > end + 30 * kSec) break;  // discovery timers go on for ever
  }
  d.checker.finish(d.now + 10 * kSec);
  EXPECT_EQ(d.checker.broken, std::vector<std::string>{});
  EXPECT_GT(d.checker.requests.size(), 100U);
  EXPECT_EQ(d.balancer.liveRequests(), 0U);  // nothing of ended requests is kept
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomWalk, testing::Range<std::uint64_t>(1, 61));

}  // namespace
}  // namespace load_balancer::test
