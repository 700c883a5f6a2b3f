// Settings that change while requests are in flight: what was learned about servers is kept, each request
// ends under the settings of its class, and invalid changes are rejected as a whole.
#include <gtest/gtest.h>

#include <stdexcept>

#include "support.h"

namespace load_balancer::test {
namespace {

TEST(Reconfigure, SlotsAndEjectionsAreKept) {
  Settings settings = makeSettings();
  settings.may_health_check = true;
  Driver d(settings);
  d.servers(ListKind::Restored, makeHosts(60));
  d.request(1, 4);
  const std::string bad = d.sentTo();
  d.outcome(1, 0, Result::ConnectFailed);
  d.outcome(1, 1, Result::Ok, kMs);
  const auto before = d.balancer.subset(d.now);
  settings.classes.push_back(makeClass(Idempotency::Idempotent));
  settings.slow_start_duration = 5 * kSec;
  d.balancer.reconfigure(settings);
  EXPECT_EQ(d.balancer.subset(d.now), before);
  for (RequestId id = 10; id < 40; ++id) {
    d.request(id, 4);
    EXPECT_NE(d.sentTo(), bad);
    d.outcome(id, 0, Result::Ok, kMs);
  }
}

// A reload must not renew a client's share of a server in slow start.
TEST(Reconfigure, SharesOfServersInSlowStartAreNotRenewed) {
  const auto sentInSlowStart = [](bool reload) {
    Settings settings = makeSettings();
    Driver d(settings);
    std::vector<Host> hosts = makeHosts(4);
    hosts[0].started_at = d.now - kMs;
    d.servers(ListKind::Full, hosts);
    int sent = 0;
    for (RequestId id = 1; id <= 200; ++id) {
      d.now += 5 * kMs;
      d.request(id, 4);
      sent += d.sentTo() == hosts[0].id ? 1 : 0;
      d.outcome(id, 0, Result::Ok, kMs);
      if (!reload) continue;
      settings.classes[1].latency_objective += 1;  // no request of it is in flight
      d.balancer.reconfigure(settings);
    }
    return sent;
  };
  EXPECT_EQ(sentInSlowStart(true), sentInSlowStart(false));
}

TEST(Reconfigure, NewClassIsServed) {
  Settings settings = makeSettings();
  Driver d(settings);
  d.servers(ListKind::Restored, makeHosts(4));
  Request unknown;
  unknown.id = 1;
  unknown.request_class = 5;
  unknown.time_left = kSec;
  Actions out;
  d.balancer.onRequest(d.now, unknown, out);
  ASSERT_EQ(out.size(), 1U);
  EXPECT_EQ(out[0].kind, ActionKind::Reject) << "the class does not exist yet";
  settings.classes.push_back(makeClass(Idempotency::Idempotent));
  settings.tenants.push_back({.quota = 1});
  d.balancer.reconfigure(settings);
  d.checker = RuleChecker(settings);
  d.checker.servers(d.now, ListKind::Full, makeHosts(4));
  d.request(2, 5, 2 * kSec, 0);
  EXPECT_EQ(d.count(ActionKind::Send), 1);
}

TEST(Reconfigure, ClassHasItsOwnLimitOfAttempts) {
  Settings settings = makeSettings();
  settings.classes[0].max_attempts = 2;
  Driver d(settings);
  d.servers(ListKind::Restored, makeHosts(10));
  const auto attempts = [&](RequestId id, std::int32_t cls) {
    d.request(id, cls);
    for (std::int32_t n = 0; !d.checker.requests.at(id).ended && n < 9; ++n)
      d.outcome(id, n, Result::Rejected, kMs);
    return d.checker.requests.at(id).attempts.size();
  };
  EXPECT_EQ(attempts(1, 0), 2U);
  EXPECT_EQ(attempts(2, 4), 5U) << "the limit of the settings";
  // A class keeps its own limit; classes without one follow the new limit of the settings.
  settings.classes.push_back(settings.classes[0]);
  settings.classes.back().max_attempts = 4;
  settings.max_attempts = 3;
  d.balancer.reconfigure(settings);
  EXPECT_EQ(attempts(3, 0), 2U);
  EXPECT_EQ(attempts(4, 4), 3U);
  d.checker = RuleChecker([&] {
    Settings with_higher_limit = settings;
    with_higher_limit.max_attempts = 4;
    return with_higher_limit;
  }());
  d.checker.servers(d.now, ListKind::Full, makeHosts(10));
  EXPECT_EQ(attempts(5, 5), 4U);
}

TEST(Reconfigure, InvalidChangeIsRejectedByFieldAndChangesNothing) {
  const Settings settings = makeSettings();
  Driver d(settings);
  d.servers(ListKind::Restored, makeHosts(10));
  const auto before = d.balancer.subset(d.now);
  const auto expectRejected = [&](const char* field, const auto& change) {
    Settings other = settings;
    change(other);
    try {
      d.balancer.reconfigure(other);
      ADD_FAILURE() << field << " was accepted";
    } catch (const std::invalid_argument& e) {
      EXPECT_NE(std::string(e.what()).find(field), std::string::npos) << e.what();
    }
  };
  expectRejected("classes", [](Settings& s) { s.classes.pop_back(); });
  expectRejected("client", [](Settings& s) { s.client += 1; });
  expectRejected("zone", [](Settings& s) { s.zone += 1; });
  expectRejected("discovery", [](Settings& s) { s.discovery = Discovery::Poll; });
  expectRejected("aim", [](Settings& s) { s.classes[0].latency_objective = 0; });
  expectRejected("max_attempts", [](Settings& s) { s.classes[0].max_attempts = -1; });
  EXPECT_EQ(d.balancer.subset(d.now), before);
  d.request(1, 4);
  EXPECT_EQ(d.count(ActionKind::Send), 1);
}

}  // namespace
}  // namespace load_balancer::test
