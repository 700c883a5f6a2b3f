// The four rules of rule_checker.h: a table of when a request may be retried, a seeded random sequence of
// valid events, and tests that the checker detects violations.
#include <gtest/gtest.h>

#include <queue>
#include <random>
#include <tuple>

#include "support.h"

namespace load_balancer::test {
namespace {

// ---- retries: idempotency x result x time within or after the window ----

struct RetryCase {
  std::int32_t cls;      // index into the classes of makeSettings()
  Result result;         // of the first attempt
  Time after;            // its latency
  bool may_send;         // true: a second attempt must follow
  ActionKind otherwise;  // the answer if no second attempt may follow
};

std::ostream& operator<<(std::ostream& out, const RetryCase& c) {
  return out << "class " << c.cls << " result " << static_cast<int>(c.result) << " after " << c.after;
}

class Gate : public testing::TestWithParam<RetryCase> {};

TEST_P(Gate, IsRetriedOrAnsweredByIdempotencyResultAndWindow) {
  const RetryCase& c = GetParam();
  Settings settings = makeSettings();
  for (RequestClass& k : settings.classes)
    k.latency_objective = k.deadline;  // so that the deduplication window decides
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
  EXPECT_EQ(d.checker.violations, std::vector<std::string>{});
}

constexpr auto kReject = ActionKind::Reject;
constexpr auto kFail = ActionKind::Fail;
INSTANTIATE_TEST_SUITE_P(Table, Gate,
                         testing::Values(
                             // invalid response: may have run; bad request: never retried
                             RetryCase{0, Result::InvalidResponse, 100 * kMs, true, kReject},
                             RetryCase{4, Result::InvalidResponse, 100 * kMs, false, kFail},
                             RetryCase{0, Result::BadRequest, 100 * kMs, false, kFail},
                             RetryCase{4, Result::BadRequest, 100 * kMs, false, kFail},
                             // never ran: every class may be retried
                             RetryCase{0, Result::ConnectFailed, 100 * kMs, true, kReject},
                             RetryCase{1, Result::ConnectFailed, 1200 * kMs, true, kReject},
                             RetryCase{2, Result::Rejected, 1200 * kMs, true, kReject},
                             RetryCase{3, Result::NotSent, 1200 * kMs, true, kReject},
                             RetryCase{4, Result::Rejected, 100 * kMs, true, kReject},
                             RetryCase{4, Result::RequestIncomplete, 100 * kMs, true, kReject},
                             RetryCase{4, Result::ConnectFailed, 100 * kMs, true, kReject},
                             RetryCase{4, Result::NotSent, 100 * kMs, true, kReject},
                             // may have run: idempotent requests may be retried
                             RetryCase{0, Result::Error, 100 * kMs, true, kReject},
                             RetryCase{0, Result::Reset, 1200 * kMs, true, kReject},
                             RetryCase{0, Result::TimedOut, 1200 * kMs, true, kReject},
                             RetryCase{0, Result::Cancelled, 100 * kMs, true, kReject},
                             // may have run: with a key, may be retried within the window (900 ms) only
                             RetryCase{1, Result::Error, 894 * kMs, true, kReject},
                             RetryCase{1, Result::Error, 901 * kMs, false, kReject},
                             RetryCase{2, Result::TimedOut, 894 * kMs, true, kFail},
                             RetryCase{2, Result::TimedOut, 901 * kMs, false, kFail},
                             RetryCase{3, Result::Reset, 894 * kMs, true, kFail},
                             RetryCase{3, Result::Reset, 901 * kMs, false, kFail},
                             // may have run: non-idempotent requests are never retried
                             RetryCase{4, Result::Error, 100 * kMs, false, kFail},
                             RetryCase{4, Result::Reset, 100 * kMs, false, kFail},
                             RetryCase{4, Result::TimedOut, 100 * kMs, false, kFail},
                             RetryCase{4, Result::Cancelled, 100 * kMs, false, kFail}));

// Guards against a repeat of a key that is sent again, or for the first time, when hosts no longer drop it:
// the window begins with the first request of the key, not with its repeat.
TEST(GateTest, RepeatOfAKeyIsSentOnlyWithinTheWindowOfItsFirstRequest) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(24));
  d.request(7, 1, 2 * kSec, kUnset, 200 * kMs);
  ASSERT_EQ(d.count(ActionKind::Send), 1);
  d.now += 150 * kMs;
  d.outcome(7, 0, Result::Reset);
  EXPECT_EQ(d.count(ActionKind::Send), 1) << "within both windows";
  d.now += 60 * kMs;
  d.outcome(7, 1, Result::Reset);
  EXPECT_EQ(d.count(ActionKind::Send), 0);
  EXPECT_EQ(d.count(ActionKind::Reject), 1);

  d.request(8, 1, 2 * kSec, kUnset, 0);
  EXPECT_EQ(d.count(ActionKind::Send), 0);
  EXPECT_EQ(d.count(ActionKind::Reject), 1);

  d.request(9, 1, 2 * kSec, kUnset, 200 * kMs);
  d.now += 210 * kMs;
  d.outcome(9, 0, Result::ConnectFailed);
  EXPECT_EQ(d.count(ActionKind::Send), 0) << "it never ran, but the earlier request may have";
  EXPECT_EQ(d.checker.violations, std::vector<std::string>{});
}

TEST(GateTest, RequestIsRejectedAfterMaxAttempts) {
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

TEST(GateTest, SecondAttemptWaitsForTheFirst) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(24));
  d.request(7, 0);
  EXPECT_EQ(d.count(ActionKind::Send), 1);
  EXPECT_EQ(d.count(ActionKind::SetTimer), 0);  // no timer: the attempt's own timeout suffices
}

// ---- the checker itself ----

Actions listOf(Action a) {
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
    checker.check(at, listOf({.kind = ActionKind::Send, .request = id, .server = server}));
  }
  bool caught(const std::string& text) const {
    for (const std::string& b : checker.violations) {
      if (b.find(text) != std::string::npos) return true;
    }
    return false;
  }
  RuleChecker checker;
};

TEST_F(Checker, AcceptsASendToAHealthyServer) {
  send(5, "server-000");
  EXPECT_TRUE(checker.violations.empty());
}
TEST_F(Checker, CatchesASecondAnswer) {
  checker.check(kStart, listOf({.kind = ActionKind::Reject, .request = 1}));
  checker.check(kStart, listOf({.kind = ActionKind::Fail, .request = 1}));
  EXPECT_TRUE(caught("rule 1: second answer"));
}
TEST_F(Checker, CatchesASendAfterTheAnswer) {
  checker.check(kStart, listOf({.kind = ActionKind::Reject, .request = 1}));
  send(1, "server-000");
  EXPECT_TRUE(caught("rule 1: send after"));
}
TEST_F(Checker, CatchesALateAnswerAndAMissingAnswer) {
  checker.check(kStart + 2 * kSec, listOf({.kind = ActionKind::Reject, .request = 1}));
  EXPECT_TRUE(caught("rule 1: answered too late"));
  checker.finish(kStart + 2 * kSec);
  EXPECT_TRUE(caught("rule 1: request never answered"));
}
TEST_F(Checker, CatchesARetryAndARejectionOfANonIdempotentRequest) {
  send(5, "server-000");
  send(5, "server-001");
  EXPECT_TRUE(caught("rule 2: non-idempotent request sent again"));
  checker.check(kStart, listOf({.kind = ActionKind::Reject, .request = 5}));
  EXPECT_TRUE(caught("rule 2: rejected"));
}
TEST_F(Checker, CatchesARetryInAnotherZoneOrCellOrAfterTheWindow) {
  send(3, "server-000");
  send(3, "server-001");
  EXPECT_TRUE(caught("rule 2: retry in another zone"));
  send(4, "server-000");
  send(4, "server-005");
  EXPECT_TRUE(caught("rule 2: retry in another cell"));
  send(2, "server-000");
  send(2, "server-001", kStart + 901 * kMs);
  EXPECT_TRUE(caught("rule 2: retry after the window"));
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
TEST_F(Checker, CatchesTooManySendsToAServerInSlowStart) {
  Host starting = makeHost(0);
  starting.started_at = kStart;
  // The bound is 1 request per second / 4.8 members * factor 3 * capacity 0.25 * 2 s = 0.3 requests.
  checker.client_request_rate = 1;
  checker.slow_start_slack = 1;
  checker.servers(kStart, ListKind::Changes, {starting});
  send(1, "server-000", kStart + 1);
  EXPECT_FALSE(caught("rule 4"));
  send(2, "server-000", kStart + 2);
  EXPECT_TRUE(caught("rule 4"));
}

// ---- a random sequence of valid events ----

struct PendingEvent {
  Time at;
  std::uint64_t order;
  enum class Kind { Outcome, Timer, Deadline } kind;
  RequestId request;
  std::int32_t attempt;
  Result result;
  std::uint64_t handle;
  Time sent;
  bool operator<(const PendingEvent& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
};

class RandomWalk : public testing::TestWithParam<std::uint64_t> {};

TEST_P(RandomWalk, KeepsTheFourRules) {
  std::mt19937_64 random(GetParam());
  const auto below = [&](std::uint64_t n) { return static_cast<Time>(random() % n); };
  Settings settings = makeSettings();
  settings.may_cancel = below(2) == 0;
  settings.may_health_check = below(2) == 0;
  settings.discovery = below(2) == 0 ? Discovery::Poll : Discovery::Push;
  settings.max_attempts = static_cast<std::int32_t>(1 + below(6));
  settings.client = static_cast<std::uint32_t>(below(40));
  settings.tenants = {{0.7}, {0.3}};
  for (RequestClass& c : settings.classes) c.late_weight = below(2) == 0 ? 0.5 : 0;
  Driver d(settings, GetParam());
  d.checker.client_request_rate = 50;  // one request every 20 ms on average
  const int host_count = static_cast<int>(1 + below(40));
  d.servers(ListKind::Restored, below(8) == 0 ? std::vector<Host>{} : makeHosts(host_count));
  std::priority_queue<PendingEvent> pending;
  std::uint64_t order = 0;
  std::map<RequestId, Time> deadline;
  const auto carryOut = [&] {
    for (const Action& a : d.actions) {
      if (a.kind == ActionKind::SetTimer) {
        pending.push(
            {a.time + below(6 * kMs), order++, PendingEvent::Kind::Timer, 0, 0, Result::Ok, a.timer, 0});
      } else if (a.kind == ActionKind::HealthCheck) {
        // never reported: the rules hold whether or not a health check ends
      } else if (a.kind == ActionKind::Send) {
        static constexpr Result kAll[] = {Result::Ok,    Result::Ok,           Result::Ok,
                                          Result::Error, Result::Rejected,     Result::TimedOut,
                                          Result::Reset, Result::ConnectFailed};
        Result result = kAll[below(8)];
        const Time limit = std::min(deadline[a.request], a.time > 0 ? d.now + a.time : deadline[a.request]);
        Time at = d.now + below(static_cast<std::uint64_t>(kSec));
        if (result == Result::TimedOut || at >= limit) {
          result = Result::TimedOut;
          at = limit;
        }
        const auto attempt = static_cast<std::int32_t>(d.checker.requests.at(a.request).attempts.size() - 1);
        pending.push({std::max(at, d.now + 1), order++, PendingEvent::Kind::Outcome, a.request, attempt,
                      result, 0, d.now});
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
      next_arrival += below(40 * kMs);
      if (below(60) == 0) {  // an update from discovery
        std::vector<Host> hosts;
        const int kind = static_cast<int>(below(4));
        for (int n = 0; n < host_count * 2; ++n) {
          if (kind == 0 && below(10) != 0) continue;
          if (kind == 1 && below(4) == 0) continue;
          const auto condition = below(10);
          Host h = makeHost(n, condition == 0 ? HostState::Draining : HostState::Healthy);
          if (condition == 1 && kind == 0) h.state = HostState::Removed;
          if (condition < 4) h.started_at = d.now - below(20 * kSec);
          hosts.push_back(h);
        }
        if (kind <= 1) d.servers(kind == 0 ? ListKind::Changes : ListKind::Full, hosts);
        if (kind == 2) d.servers(ListKind::Unavailable, {});
        if (kind <= 2) carryOut();  // otherwise there are no new actions
      }
      const Time left = below(20) == 0 ? below(3 * kMs) : 100 * kMs + below(2 * kSec);
      deadline[next_id] = d.now + left;
      d.request(next_id, static_cast<std::int32_t>(below(5)), left, static_cast<std::int32_t>(below(3)) - 1);
      carryOut();
      if (below(50) == 0 && !d.checker.requests.at(next_id).ended) {
        d.clientDisconnected(next_id);
        carryOut();
      }
      ++next_id;
      continue;
    }
    const PendingEvent p = pending.top();
    pending.pop();
    d.now = std::max(d.now, p.at);
    if (p.kind == PendingEvent::Kind::Timer) {
      d.timer(p.handle);
    } else {
      d.outcome(p.request, p.attempt, p.result, d.now - p.sent, d.checker.requests.at(p.request).ended);
    }
    carryOut();
    if (d.now > end + 30 * kSec) break;  // the timers of discovery never end
  }
  d.checker.finish(d.now + 10 * kSec);
  EXPECT_EQ(d.checker.violations, std::vector<std::string>{});
  EXPECT_GT(d.checker.requests.size(), 100U);
  EXPECT_EQ(d.balancer.liveRequests(), 0U);  // ended requests are not kept
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomWalk, testing::Range<std::uint64_t>(1, 61));

}  // namespace
}  // namespace load_balancer::test
