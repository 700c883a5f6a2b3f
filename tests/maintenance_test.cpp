// Servers that staff take out and put back, event by event, with the rules checked beside it.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "support.h"

namespace weldflow::test {
namespace {

class Maintenance : public ::testing::Test {
 protected:
  void start(int hosts, const Settings& settings = makeSettings()) {
    d = std::make_unique<Driver>(settings);
    d->servers(ListKind::Restored, makeHosts(hosts));
  }
  bool maintain(int n, bool out) { return d->balancer.setMaintenance(d->now, makeHost(n).id, out); }
  // The servers that `count` safe requests go to, each served at once.
  std::multiset<std::string> used(int count, Time gap = 10 * kMs) {
    std::multiset<std::string> servers;
    for (int i = 0; i < count; ++i) {
      d->now += gap;
      d->request(++next_, 0);
      const std::string at = d->sentTo();
      if (at.empty()) continue;
      servers.insert(at);
      d->outcome(next_, 0, Result::Ok, kMs);
    }
    return servers;
  }
  std::unique_ptr<Driver> d;
  RequestId next_ = 0;
};

TEST_F(Maintenance, NothingNewGoesToAServerThatIsOutWhateverIsListed) {
  start(4);
  EXPECT_TRUE(maintain(1, true));
  EXPECT_EQ(used(40).count("server-001"), 0U);
  d->servers(ListKind::Full, makeHosts(4));
  Host restarted = makeHost(1);
  restarted.up_since = d->now;
  d->servers(ListKind::Changes, {restarted});
  EXPECT_EQ(used(40).count("server-001"), 0U);
  d->servers(ListKind::Changes, {makeHost(1, HostState::Gone)});
  d->servers(ListKind::Changes, {makeHost(1)});
  EXPECT_EQ(used(40).count("server-001"), 0U);
}

TEST_F(Maintenance, ARetryDoesNotGoThereEither) {
  start(2);
  d->request(1, 0);
  const std::string first = d->sentTo();
  EXPECT_TRUE(maintain(first == "server-000" ? 1 : 0, true));
  for (std::int32_t attempt = 0; attempt < 4; ++attempt) {
    d->outcome(1, attempt, Result::ConnectFailed);
    EXPECT_TRUE(d->sentTo().empty() || d->sentTo() == first);
  }
}

TEST_F(Maintenance, AnEjectedServerThatIsOutIsNotProbed) {
  Settings settings = makeSettings();
  settings.may_probe = true;
  start(4, settings);
  d->request(1, 0);
  const std::string at = d->sentTo();
  d->outcome(1, 0, Result::ConnectFailed);
  ASSERT_TRUE(d->balancer.setMaintenance(d->now, at, true));
  for (int i = 0; i < 60; ++i) {
    d->now += 100 * kMs;
    d->request(static_cast<RequestId>(100 + i), 0);
    for (const std::string& probed : d->probed()) EXPECT_NE(probed, at);
    if (!d->sentTo().empty()) d->outcome(static_cast<RequestId>(100 + i), 0, Result::Ok, kMs);
  }
}

TEST_F(Maintenance, WhatIsInFlightThereEnds) {
  start(1);
  d->request(1, 4);
  ASSERT_EQ(d->sentTo(), "server-000");
  EXPECT_TRUE(maintain(0, true));
  d->outcome(1, 0, Result::Ok, kMs);
  EXPECT_EQ(d->balancer.liveRequests(), 0U);
}

TEST_F(Maintenance, TwoCallsOutNeedOneBackAndAnIdThatNobodyHasIsRefused) {
  start(3);
  EXPECT_TRUE(maintain(1, true));
  EXPECT_TRUE(maintain(1, true));
  EXPECT_TRUE(maintain(1, false));
  EXPECT_GT(used(60, 100 * kMs).count("server-001"), 0U);
  EXPECT_TRUE(maintain(1, false));  // it is there, and in use
  EXPECT_FALSE(maintain(7, true));
  EXPECT_FALSE(maintain(7, false));
  EXPECT_FALSE(d->balancer.setMaintenance(d->now, "", true));
}

TEST_F(Maintenance, ItIsColdWhenItIsPutBackAndGetsItsPartWithinFiveSeconds) {
  start(4);
  used(200);
  EXPECT_TRUE(maintain(2, true));
  used(200);
  EXPECT_TRUE(maintain(2, false));
  const auto first = used(40), later = used(460);
  EXPECT_LT(first.count("server-002"), first.size() / 6) << "more than a cold server's part";
  EXPECT_GT(later.count("server-002"), 0U);
}

TEST_F(Maintenance, OneThatLeavesTheListKeepsItsSlotAndShiftsNobody) {
  start(40);
  const auto before = d->balancer.subset(d->now);
  const std::string chosen = before[3];
  ASSERT_TRUE(d->balancer.setMaintenance(d->now, chosen, true));
  const auto host = [&](HostState state) {
    Host h = makeHost(0, state);
    h.id = chosen;
    return h;
  };
  d->servers(ListKind::Changes, {host(HostState::Gone)});
  d->servers(ListKind::Changes, {makeHost(90)});  // would take the free slot
  d->servers(ListKind::Changes, {host(HostState::Healthy)});
  ASSERT_TRUE(d->balancer.setMaintenance(d->now, chosen, false));
  EXPECT_EQ(d->balancer.subset(d->now), before);
}

TEST_F(Maintenance, OneThatIsPutBackWhileItIsGoneIsForgotten) {
  start(4);
  EXPECT_TRUE(maintain(3, true));
  d->servers(ListKind::Changes, {makeHost(3, HostState::Gone)});
  EXPECT_EQ(d->balancer.knownServers(), 4U);
  EXPECT_TRUE(maintain(3, false));
  EXPECT_EQ(d->balancer.knownServers(), 3U);
  EXPECT_EQ(d->balancer.rememberedSlots(), 3U);
  EXPECT_FALSE(maintain(3, true));
}

TEST_F(Maintenance, WithAllOutARequestIsRefusedAtOnceWithAdvice) {
  Settings settings = makeSettings();
  settings.retry_after = true;
  settings.max_retry_after = kSec;
  start(2, settings);
  maintain(0, true);
  maintain(1, true);
  for (const std::int32_t cls : {0, 1, 2, 3, 4}) {
    d->request(static_cast<RequestId>(10 + cls), cls);
    ASSERT_EQ(d->count(ActionKind::Refuse), 1) << cls;
    EXPECT_GT(d->actions.back().time, 0);
  }
}

TEST_F(Maintenance, StandingCountsWhoIsAvoidedAndWhy) {
  start(5);
  EXPECT_EQ(d->balancer.standing().listed, 5U);
  EXPECT_EQ(d->balancer.standing().avoided, 0U);
  maintain(0, true);
  d->servers(ListKind::Changes, {makeHost(1, HostState::Draining)});
  EXPECT_EQ(d->balancer.standing().avoided, 2U);
  d->request(1, 0);
  d->outcome(1, 0, Result::ConnectFailed);  // ejected
  EXPECT_EQ(d->balancer.standing().avoided, 3U);
  d->servers(ListKind::Changes, {makeHost(0, HostState::Gone)});
  EXPECT_EQ(d->balancer.standing().listed, 4U);
  EXPECT_EQ(d->balancer.standing().avoided, 2U);
}

}  // namespace
}  // namespace weldflow::test
