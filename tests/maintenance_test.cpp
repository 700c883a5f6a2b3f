// Servers that staff take out and put back, event by event, with the rules checked beside it.
#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <set>

#include "support.h"

namespace load_balancer::test {
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
  restarted.started_at = d->now;
  d->servers(ListKind::Changes, {restarted});
  EXPECT_EQ(used(40).count("server-001"), 0U);
  d->servers(ListKind::Changes, {makeHost(1, HostState::Removed)});
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
  settings.may_health_check = true;
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
  d->servers(ListKind::Changes, {host(HostState::Removed)});
  d->servers(ListKind::Changes, {makeHost(90)});  // would take the free slot
  d->servers(ListKind::Changes, {host(HostState::Healthy)});
  ASSERT_TRUE(d->balancer.setMaintenance(d->now, chosen, false));
  EXPECT_EQ(d->balancer.subset(d->now), before);
}

TEST_F(Maintenance, OneThatIsPutBackWhileItIsGoneIsForgotten) {
  start(4);
  EXPECT_TRUE(maintain(3, true));
  d->servers(ListKind::Changes, {makeHost(3, HostState::Removed)});
  EXPECT_EQ(d->balancer.knownServers(), 4U);
  EXPECT_TRUE(maintain(3, false));
  EXPECT_EQ(d->balancer.knownServers(), 3U);
  EXPECT_EQ(d->balancer.slotCount(), 3U);
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
    ASSERT_EQ(d->count(ActionKind::Reject), 1) << cls;
    EXPECT_GT(d->actions.back().time, 0);
  }
}

TEST_F(Maintenance, StandingCountsWhoIsAvoidedAndWhy) {
  start(5);
  EXPECT_EQ(d->balancer.hostCounts().listed, 5U);
  EXPECT_EQ(d->balancer.hostCounts().avoided, 0U);
  maintain(0, true);
  d->servers(ListKind::Changes, {makeHost(1, HostState::Draining)});
  EXPECT_EQ(d->balancer.hostCounts().avoided, 2U);
  d->request(1, 0);
  d->outcome(1, 0, Result::ConnectFailed);  // ejected
  EXPECT_EQ(d->balancer.hostCounts().avoided, 3U);
  d->servers(ListKind::Changes, {makeHost(0, HostState::Removed)});
  EXPECT_EQ(d->balancer.hostCounts().listed, 4U);
  EXPECT_EQ(d->balancer.hostCounts().avoided, 2U);
}

// ---- how much one that comes back cold gets, and one that is slow ----

// Of 400 requests after it was put back, how many go to server 2; it answers in `cold`, the others in 100 ms.
int sentToReturned(Time cold, bool weighted = false, double size = 1) {
  Settings settings = makeSettings();
  settings.weighted = weighted;
  Driver d(settings);
  std::vector<Host> hosts = makeHosts(6);
  hosts[2].capacity = size;
  d.servers(ListKind::Restored, hosts);
  const std::string returned = makeHost(2).id;
  int sent = 0;
  for (RequestId id = 1; id <= 800; ++id) {
    d.now += 5 * kMs;
    if (id == 400) {
      d.balancer.setMaintenance(d.now, returned, true);
      d.balancer.setMaintenance(d.now, returned, false);
    }
    d.request(id, 0);
    const bool there = d.sentTo() == returned;
    sent += id > 400 && there ? 1 : 0;
    d.outcome(id, 0, Result::Ok, there && id > 400 ? cold : 100 * kMs);
  }
  return sent;
}

TEST(ColdShare, GrowsWhileTheServerAnswersAtEaseAndStaysBounded) {
  const int ordinary = sentToReturned(100 * kMs), at_ease = sentToReturned(10 * kMs);
  EXPECT_GT(at_ease, ordinary * 3 / 2);
  // 400 requests over 6 servers are 67 each; in 2 s of 10 it has 0.25 to 0.4 of its capacity, and falls over
  // at three times that.
  EXPECT_LT(at_ease, 67);
  EXPECT_LT(ordinary, 67 / 2);
}

TEST(ColdShare, IsThatOfItsSize) {
  EXPECT_GT(sentToReturned(100 * kMs, true, 2), sentToReturned(100 * kMs, true, 0.5) * 2);
}

TEST_F(Maintenance, WhatIsInFlightAtASlowServerCountsForMore) {
  start(2);
  for (int i = 0; i < 60; ++i) {
    d->now += 10 * kMs;
    d->request(++next_, 0);
    const bool slow = d->sentTo() == "server-000";
    d->outcome(next_, 0, Result::Ok, slow ? 200 * kMs : 40 * kMs);
  }
  int slow = 0;
  for (int i = 0; i < 30; ++i) {  // none ends
    d->request(++next_, 0);
    slow += d->sentTo() == "server-000" ? 1 : 0;
  }
  EXPECT_GE(slow, 5);
  EXPECT_LE(slow, 13);  // 15 if they were alike
}

// ---- what another Balancer takes over ----

TEST_F(Maintenance, AnotherBalancerKnowsBansEjectionsSlotsAndColdMarks) {
  Settings settings = makeSettings();
  settings.may_health_check = true;
  start(30, settings);
  d->servers(ListKind::Changes, {makeHost(4, HostState::Removed), makeHost(9, HostState::Removed)});
  d->servers(ListKind::Changes, {makeHost(77), makeHost(9)});  // slots are no longer in the order of ids
  const std::string banned = d->balancer.subset(d->now)[1];
  d->balancer.setMaintenance(d->now, banned, true);
  d->request(++next_, 0);
  const std::string ejected = d->sentTo();
  d->outcome(next_, 0, Result::ConnectFailed);
  d->balancer.setMaintenance(d->now, makeHost(20).id, true);
  d->balancer.setMaintenance(d->now, makeHost(20).id, false);  // cold now
  std::vector<Host> listed = makeHosts(30);
  listed.erase(listed.begin() + 4);
  listed.push_back(makeHost(77));
  const auto known = d->balancer.snapshot();

  Driver after(settings, 99);
  after.now = d->now + kMs;
  after.servers(ListKind::Restored, listed);
  after.actions.clear();
  after.balancer.restore(after.now, known, after.actions);
  EXPECT_EQ(after.balancer.snapshot(), known);
  EXPECT_EQ(after.balancer.subset(after.now), d->balancer.subset(d->now));
  std::set<std::string> sent;
  for (RequestId id = 1; id <= 100; ++id) {
    after.now += kMs;
    after.request(id, 0);
    sent.insert(after.sentTo());
    after.outcome(id, 0, Result::Ok, kMs);
  }
  EXPECT_EQ(sent.count(banned), 0U);
  EXPECT_EQ(sent.count(ejected), 0U);
}

TEST_F(Maintenance, ABanIsRecalledOfAServerThatIsNotListedAndWhatIsImpossibleIsPassedOver) {
  start(3);
  Actions out;
  std::vector<HostSnapshot> known(6);
  known[0].id = "server-000";
  known[0].slot = -7;
  known[0].latency_ratio = -1;
  known[1].id = "server-001";
  known[1].slot = std::numeric_limits<std::int32_t>::max();
  known[1].ejected_until = std::numeric_limits<Time>::max();
  known[1].ejected = true;
  known[2].id = "server-002";
  known[2].slot = 5;
  known[3].id = "server-002";  // twice
  known[3].slot = 6;
  known[4].id = "server-050";
  known[4].slot = 5;
  known[4].in_maintenance = true;
  known[5].id = "server-060";
  d->balancer.restore(d->now, known, out);
  EXPECT_EQ(d->balancer.knownServers(), 4U);
  d->servers(ListKind::Changes, {makeHost(50)});
  EXPECT_EQ(used(60).count("server-050"), 0U);
  d->now += 10 * kSec;  // no ejection lasts longer than the module's own
  EXPECT_GT(used(60).count("server-001"), 0U);
  EXPECT_TRUE(d->balancer.setMaintenance(d->now, "server-050", false));
}

}  // namespace
}  // namespace load_balancer::test
