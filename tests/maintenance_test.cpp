// Maintenance: operators take servers out of service and put them back. Also how much a server in slow start
// gets, and the handover of what a Balancer has learned to another one. The Driver checks every action
// against the rules.
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
  bool setMaintenance(int n, bool on) { return d->balancer.setMaintenance(d->now, makeHost(n).id, on); }
  // Sends `count` idempotent requests, `gap` apart, each answered before the next. Returns the servers that
  // they go to.
  std::multiset<std::string> serversUsed(int count, Time gap = 10 * kMs) {
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

TEST_F(Maintenance, NoRequestGoesToAServerInMaintenanceWhateverIsListed) {
  start(4);
  EXPECT_TRUE(setMaintenance(1, true));
  EXPECT_EQ(serversUsed(40).count("server-001"), 0U);
  d->servers(ListKind::Full, makeHosts(4));
  Host restarted = makeHost(1);
  restarted.started_at = d->now;
  d->servers(ListKind::Changes, {restarted});
  EXPECT_EQ(serversUsed(40).count("server-001"), 0U);
  d->servers(ListKind::Changes, {makeHost(1, HostState::Removed)});
  d->servers(ListKind::Changes, {makeHost(1)});
  EXPECT_EQ(serversUsed(40).count("server-001"), 0U);
}

TEST_F(Maintenance, NoRetryGoesToAServerInMaintenance) {
  start(2);
  d->request(1, 0);
  const std::string first = d->sentTo();
  EXPECT_TRUE(setMaintenance(first == "server-000" ? 1 : 0, true));
  for (std::int32_t attempt = 0; attempt < 4; ++attempt) {
    d->outcome(1, attempt, Result::ConnectFailed);
    EXPECT_TRUE(d->sentTo().empty() || d->sentTo() == first);
  }
}

TEST_F(Maintenance, EjectedServerInMaintenanceIsNotProbed) {
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

TEST_F(Maintenance, RequestInFlightIsCompleted) {
  start(1);
  d->request(1, 4);
  ASSERT_EQ(d->sentTo(), "server-000");
  EXPECT_TRUE(setMaintenance(0, true));
  d->outcome(1, 0, Result::Ok, kMs);
  EXPECT_EQ(d->balancer.liveRequests(), 0U);
}

TEST_F(Maintenance, MaintenanceDoesNotNestAndUnknownIdsAreRejected) {
  start(3);
  EXPECT_TRUE(setMaintenance(1, true));
  EXPECT_TRUE(setMaintenance(1, true));
  EXPECT_TRUE(setMaintenance(1, false));
  EXPECT_GT(serversUsed(60, 100 * kMs).count("server-001"), 0U);
  EXPECT_TRUE(setMaintenance(1, false));  // it exists, although it is not in maintenance
  EXPECT_FALSE(setMaintenance(7, true));
  EXPECT_FALSE(setMaintenance(7, false));
  EXPECT_FALSE(d->balancer.setMaintenance(d->now, "", true));
}

TEST_F(Maintenance, ReturnedServerIsInSlowStartAndGetsRequestsWithinFiveSeconds) {
  start(4);
  serversUsed(200);
  EXPECT_TRUE(setMaintenance(2, true));
  serversUsed(200);
  EXPECT_TRUE(setMaintenance(2, false));
  const auto early = serversUsed(40), later = serversUsed(460);
  EXPECT_LT(early.count("server-002"), early.size() / 6) << "more than the share of a server in slow start";
  EXPECT_GT(later.count("server-002"), 0U);
}

TEST_F(Maintenance, ServerInMaintenanceKeepsItsSlotWhileItIsNotListed) {
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
  d->servers(ListKind::Changes, {makeHost(90)});  // would take the slot if it were free
  d->servers(ListKind::Changes, {host(HostState::Healthy)});
  ASSERT_TRUE(d->balancer.setMaintenance(d->now, chosen, false));
  EXPECT_EQ(d->balancer.subset(d->now), before);
}

TEST_F(Maintenance, ServerPutBackWhileNotListedIsRemoved) {
  start(4);
  EXPECT_TRUE(setMaintenance(3, true));
  d->servers(ListKind::Changes, {makeHost(3, HostState::Removed)});
  EXPECT_EQ(d->balancer.knownServers(), 4U);
  EXPECT_TRUE(setMaintenance(3, false));
  EXPECT_EQ(d->balancer.knownServers(), 3U);
  EXPECT_EQ(d->balancer.slotCount(), 3U);
  EXPECT_FALSE(setMaintenance(3, true));
}

TEST_F(Maintenance, RequestIsRejectedWithRetryAdviceIfAllServersAreInMaintenance) {
  Settings settings = makeSettings();
  settings.retry_after = true;
  settings.max_retry_after = kSec;
  start(2, settings);
  setMaintenance(0, true);
  setMaintenance(1, true);
  for (const std::int32_t cls : {0, 1, 2, 3, 4}) {
    d->request(static_cast<RequestId>(10 + cls), cls);
    ASSERT_EQ(d->count(ActionKind::Reject), 1) << cls;
    EXPECT_GT(d->actions.back().time, 0);
  }
}

TEST_F(Maintenance, HostCountsIncludeMaintenanceDrainingAndEjected) {
  start(5);
  EXPECT_EQ(d->balancer.hostCounts().listed, 5U);
  EXPECT_EQ(d->balancer.hostCounts().avoided, 0U);
  setMaintenance(0, true);
  d->servers(ListKind::Changes, {makeHost(1, HostState::Draining)});
  EXPECT_EQ(d->balancer.hostCounts().avoided, 2U);
  d->request(1, 0);
  d->outcome(1, 0, Result::ConnectFailed);  // ejected
  EXPECT_EQ(d->balancer.hostCounts().avoided, 3U);
  d->servers(ListKind::Changes, {makeHost(0, HostState::Removed)});
  EXPECT_EQ(d->balancer.hostCounts().listed, 4U);
  EXPECT_EQ(d->balancer.hostCounts().avoided, 2U);
}

// ---- the share of a server that returns in slow start, and of a slow server ----

// How many of 400 requests go to server 2 after it was put back. It then answers within `latency`, the others
// within 100 ms.
int sentToReturned(Time latency, bool weighted = false, double capacity = 1) {
  Settings settings = makeSettings();
  settings.weighted = weighted;
  Driver d(settings);
  std::vector<Host> hosts = makeHosts(6);
  hosts[2].capacity = capacity;
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
    d.outcome(id, 0, Result::Ok, there && id > 400 ? latency : 100 * kMs);
  }
  return sent;
}

TEST(ColdShare, GrowsWithFastResponsesAndStaysBounded) {
  const int equal = sentToReturned(100 * kMs), fast = sentToReturned(10 * kMs);
  EXPECT_GT(fast, equal * 3 / 2);
  // 400 requests over 6 servers are 67 each. In the first 2 of 10 s the server has 0.25 to 0.4 of its
  // capacity, and is overloaded at three times that.
  EXPECT_LT(fast, 67);
  EXPECT_LT(equal, 67 / 2);
}

TEST(ColdShare, IsProportionalToCapacity) {
  EXPECT_GT(sentToReturned(100 * kMs, true, 2), sentToReturned(100 * kMs, true, 0.5) * 2);
}

TEST_F(Maintenance, RequestsInFlightAtASlowServerCountForMore) {
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
  EXPECT_LE(slow, 13);  // equal servers would get 15 each
}

// ---- snapshot and restore ----

TEST_F(Maintenance, RestoreKeepsMaintenanceEjectionsSlotsAndSlowStart) {
  Settings settings = makeSettings();
  settings.may_health_check = true;
  start(30, settings);
  d->servers(ListKind::Changes, {makeHost(4, HostState::Removed), makeHost(9, HostState::Removed)});
  d->servers(ListKind::Changes, {makeHost(77), makeHost(9)});  // slots no longer follow the order of ids
  const std::string in_maintenance = d->balancer.subset(d->now)[1];
  d->balancer.setMaintenance(d->now, in_maintenance, true);
  d->request(++next_, 0);
  const std::string ejected = d->sentTo();
  d->outcome(next_, 0, Result::ConnectFailed);
  d->balancer.setMaintenance(d->now, makeHost(20).id, true);
  d->balancer.setMaintenance(d->now, makeHost(20).id, false);  // now in slow start
  std::vector<Host> listed = makeHosts(30);
  listed.erase(listed.begin() + 4);
  listed.push_back(makeHost(77));
  const auto snapshot = d->balancer.snapshot();

  Driver after(settings, 99);
  after.now = d->now + kMs;
  after.servers(ListKind::Restored, listed);
  after.actions.clear();
  after.balancer.restore(after.now, snapshot, after.actions);
  EXPECT_EQ(after.balancer.snapshot(), snapshot);
  EXPECT_EQ(after.balancer.subset(after.now), d->balancer.subset(d->now));
  std::set<std::string> sent;
  for (RequestId id = 1; id <= 100; ++id) {
    after.now += kMs;
    after.request(id, 0);
    sent.insert(after.sentTo());
    after.outcome(id, 0, Result::Ok, kMs);
  }
  EXPECT_EQ(sent.count(in_maintenance), 0U);
  EXPECT_EQ(sent.count(ejected), 0U);
}

TEST_F(Maintenance, RestoreKeepsMaintenanceOfUnlistedServersAndIgnoresInvalidValues) {
  start(3);
  Actions out;
  std::vector<HostSnapshot> snapshot(6);
  snapshot[0].id = "server-000";
  snapshot[0].slot = -7;
  snapshot[0].latency_ratio = -1;
  snapshot[1].id = "server-001";
  snapshot[1].slot = std::numeric_limits<std::int32_t>::max();
  snapshot[1].ejected_until = std::numeric_limits<Time>::max();
  snapshot[1].ejected = true;
  snapshot[2].id = "server-002";
  snapshot[2].slot = 5;
  snapshot[3].id = "server-002";  // twice
  snapshot[3].slot = 6;
  snapshot[4].id = "server-050";
  snapshot[4].slot = 5;
  snapshot[4].in_maintenance = true;
  snapshot[5].id = "server-060";
  d->balancer.restore(d->now, snapshot, out);
  EXPECT_EQ(d->balancer.knownServers(), 4U);
  d->servers(ListKind::Changes, {makeHost(50)});
  EXPECT_EQ(serversUsed(60).count("server-050"), 0U);
  d->now += 10 * kSec;  // a restored ejection is capped at the longest that a Balancer makes
  EXPECT_GT(serversUsed(60).count("server-001"), 0U);
  EXPECT_TRUE(d->balancer.setMaintenance(d->now, "server-050", false));
}

}  // namespace
}  // namespace load_balancer::test
