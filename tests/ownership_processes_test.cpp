// Twelve proxy processes in three zones, of which only one may run swap-charge at a time, under power cuts,
// partitions, pauses and wrong storage. Each idempotency key must run at most once.
#include <gtest/gtest.h>

#include <filesystem>

#include "processes_support.h"

namespace client_proxy::rig {
namespace {

using nlohmann::json;

class OwnersProcesses : public PlannedProcesses {
 protected:
  OwnersProcesses() : PlannedProcesses(makePlan()) {}
  static Plan makePlan() {
    Plan plan;
    plan.seed = 43;
    plan.callers.rate = 8;
    plan.classes = {{.name = "slot-status", .share = 2},
                    {.name = "swap-charge",
                     .idempotency = Idempotency::IdempotentWithKey,
                     .latency_objective = Span(400'000),
                     .deadline = Span(800'000)},
                    {.name = "battery-report", .idempotency = Idempotency::NonIdempotent}};
    for (const char* name : {"a", "b", "c"}) plan.zones.push_back({.name = name, .region = ""});
    plan.services = {{.name = "charges", .request_class = "swap-charge", .home = 0, .stand_by = 1}};
    return plan;
  }
  void SetUp() override {
    fleet.startAll();
    ASSERT_TRUE(FleetRig::until([&] { return allSendTo(fleet.all(), "a"); })) << state();
    call();
    ASSERT_TRUE(FleetRig::until([&] { return keyedRunsIn(0) > 10; })) << state();
  }
  void TearDown() override {
    if (HasFailure()) std::fputs(fleet.logs().c_str(), stderr);
  }
  json serviceOf(std::size_t n) const {
    const json page = fleet.pageOf(n, "/deeds");
    return page.is_null() ? json() : page.at("services").at(0);
  }
  // Whether all these members may send requests of the service, to this zone and under one term.
  bool allSendTo(const std::set<std::size_t>& members, const std::string& zone) const {
    json term;
    for (const std::size_t n : members) {
      const json service = serviceOf(n);
      if (service.is_null() || service.at("owner") != zone || service.at("sent") != "may-be-sent")
        return false;
      if (!term.is_null() && service.at("term") != term) return false;
      term = service.at("term");
    }
    return true;
  }
  std::size_t conflictCount(const std::string& kind) const {
    std::size_t all = 0;
    for (std::size_t n = 0; n < plan.proxies; ++n) {
      const json page = fleet.pageOf(n, "/deeds");
      if (page.is_null()) continue;
      for (const json& conflict : page.at("wrong_claims")) all += conflict.at("kind") == kind ? 1U : 0U;
    }
    return all;
  }
  std::set<std::size_t> proxiesIn(std::size_t zone) const {
    std::set<std::size_t> all;
    for (std::size_t n = zone; n < plan.proxies; n += 3) all.insert(n);
    return all;
  }
  // Keyed requests that have run in a zone.
  std::size_t keyedRunsIn(std::size_t zone) const {
    std::size_t all = 0;
    for (const Event& e : record.events()) {
      if (e.what == Event::What::Ran && !e.key.empty() &&
          plan.zoneOfHost(static_cast<std::size_t>(e.host)) == zone)
        ++all;
    }
    return all;
  }
  void kill(const std::set<std::size_t>& members) {
    for (const std::size_t n : members) {
      callers->pause(n);
      callers->excuse(n);
    }
    for (const std::size_t n : members) fleet.kill(n);
    for (const std::size_t n : members) callers->excuse(n);
  }
  void start(const std::set<std::size_t>& members) {
    for (const std::size_t n : members) fleet.start(n);
    for (const std::size_t n : members) {
      ASSERT_TRUE(FleetRig::until([&] {
        return FleetRig::getAt(fleet.listensForCalls(n), "/healthz").rfind("HTTP/1.1 200", 0) == 0;
      }));
      callers->resume(n);
    }
  }
  std::string state() const {
    std::string all;
    for (std::size_t n = 0; n < plan.proxies; ++n) all += fleet.get(n, "/deeds") + fleet.get(n, "/recovery");
    return all;
  }
};

TEST_F(OwnersProcesses, StandByTakesOverWhenTheHomesHostsAreUnreachableUntilAnOperatorOverrides) {
  site.cut(0, true);
  const std::size_t stand_by_runs = keyedRunsIn(1);
  EXPECT_EQ(stand_by_runs, 0U) << "before the failure only the home zone's hosts may run requests";
  ASSERT_TRUE(FleetRig::until([&] { return allSendTo(outside(0), "b") && keyedRunsIn(1) > 10; })) << state();
  site.cut(0, false);
  ASSERT_TRUE(FleetRig::until([&] { return allSendTo(fleet.all(), "b"); })) << state();
  // The override waits until the home zone is up, since the stand-by claims the service of a lost zone at
  // once.
  ASSERT_TRUE(FleetRig::until([&] {
    const json page = fleet.pageOf(4, "/zones");
    return page.is_object() && page.at("zones").at(0).at("state") == "up";
  }));
  EXPECT_EQ(fleet.post(4, "/deeds/charges/give/a"), 200);
  ASSERT_TRUE(FleetRig::until([&] { return allSendTo(fleet.all(), "a"); })) << state();
  EXPECT_EQ(fleet.post(4, "/deeds/nothing/give/a"), 404);
  EXPECT_EQ(keptTheRules(), "");
}

TEST_F(OwnersProcesses, PowerCutOfAllProxiesUnderLoadRunsNoKeyTwiceAndKeepsTheOwner) {
  kill(fleet.all());
  // The hosts keep running, and become reachable in another order than the proxies restart.
  site.cut(2, true);
  start(proxiesIn(2));
  start(proxiesIn(1));
  ASSERT_TRUE(FleetRig::until([&] { return fleet.pageOf(1, "/recovery").is_object(); }));
  EXPECT_EQ(fleet.pageOf(1, "/recovery").at("process_before"), "cut short");
  EXPECT_EQ(serviceOf(1).at("owner"), "a") << "from its own storage, which alone permits no requests";
  start(proxiesIn(0));
  site.cut(2, false);
  ASSERT_TRUE(FleetRig::until([&] { return allSendTo(fleet.all(), "a"); })) << state();
  EXPECT_EQ(serviceOf(7).at("term"), 1);
  const std::size_t runs_before = keyedRunsIn(0);
  ASSERT_TRUE(FleetRig::until([&] { return keyedRunsIn(0) > runs_before + 20; })) << state();
  EXPECT_EQ(keyedRunsIn(1) + keyedRunsIn(2), 0U);
  ASSERT_TRUE(FleetRig::until([&] { return fleet.pageOf(3, "/recovery").at("stage") == "whole"; }))
      << state();
  EXPECT_EQ(keptTheRules(), "");
}

TEST_F(OwnersProcesses, SecondPowerCutDuringRecoveryKeepsTheOwnerAndRunsNoKeyTwice) {
  kill(fleet.all());
  start(proxiesIn(0));
  start(proxiesIn(1));
  kill(proxiesIn(0));
  kill(proxiesIn(1));
  start(fleet.all());
  ASSERT_TRUE(FleetRig::until([&] { return allSendTo(fleet.all(), "a"); })) << state();
  EXPECT_EQ(serviceOf(7).at("term"), 1);
  EXPECT_EQ(keptTheRules(), "");
}

TEST_F(OwnersProcesses, ZoneThatRestartsAfterAPowerCutAdoptsTheGrantOfTheOthers) {
  kill(proxiesIn(0));
  ASSERT_TRUE(FleetRig::until([&] { return allSendTo(outside(0), "b"); })) << state();
  start(proxiesIn(0));
  ASSERT_TRUE(FleetRig::until([&] { return allSendTo(fleet.all(), "b"); })) << state();
  EXPECT_GT(conflictCount("stale"), 0U) << state();
  EXPECT_EQ(keptTheRules(), "");
}

TEST_F(OwnersProcesses, FrozenOwnersThatResumeSendNothingUnderTheOldGrant) {
  for (const std::size_t n : proxiesIn(0)) {
    callers->pause(n);
    callers->excuse(n);
    fleet.freeze(n);
  }
  ASSERT_TRUE(FleetRig::until([&] { return allSendTo(outside(0), "b"); })) << state();
  const std::size_t runs_before = keyedRunsIn(0);
  for (const std::size_t n : proxiesIn(0)) {
    callers->excuse(n);
    fleet.thaw(n);
    callers->resume(n);
  }
  ASSERT_TRUE(FleetRig::until([&] { return allSendTo(fleet.all(), "b"); })) << state();
  // Requests that they had accepted before the pause must not be sent afterwards.
  EXPECT_LE(keyedRunsIn(0), runs_before + 1) << "one request may have been in flight";
  EXPECT_GT(conflictCount("past-lease"), 0U) << state();
  EXPECT_EQ(keptTheRules(), "");
}

TEST_F(OwnersProcesses, PartitionWithTheOwnerInTheMinorityMovesTheServiceToTheMajority) {
  fleet.relay().setCut([](auto a, auto b) { return (a % 3 == 0) != (b % 3 == 0); });
  site.cut(0, true);
  ASSERT_TRUE(FleetRig::until([&] { return allSendTo(outside(0), "b"); })) << state();
  for (const std::size_t n : proxiesIn(0)) EXPECT_NE(serviceOf(n).at("sent"), "may-be-sent") << n;
  fleet.relay().setCut({});
  site.cut(0, false);
  ASSERT_TRUE(FleetRig::until([&] { return allSendTo(fleet.all(), "b"); })) << state();
  EXPECT_EQ(keptTheRules(), "");
}

TEST_F(OwnersProcesses, LostCopiedOrOutdatedStorageKeepsTheOwnerAndACopyIsReported) {
  namespace fs = std::filesystem;
  const fs::path backup = fleet.memory(3) + "-old";
  kill({3});
  fs::copy(fleet.memory(3), backup);
  start({3});
  fleet.post(5, "/deeds/charges/give/c");
  ASSERT_TRUE(FleetRig::until([&] { return allSendTo(fleet.all(), "c"); })) << state();
  kill({3, 4, 7, 8});
  fs::remove_all(fleet.memory(3));
  fs::copy(backup, fleet.memory(3));  // an outdated copy
  fs::remove_all(fleet.memory(4));    // lost
  fs::remove_all(fleet.memory(8));
  fs::copy(fleet.memory(7), fleet.memory(8));  // a copy of another member's
  fs::remove_all(backup);
  start({3, 4, 7, 8});
  ASSERT_TRUE(FleetRig::until([&] { return allSendTo(fleet.all(), "c"); })) << state();
  EXPECT_EQ(fleet.pageOf(4, "/recovery").at("process_before"), "nothing");
  const std::string fault = fleet.pageOf(8, "/recovery").at("memory").at("fault");
  EXPECT_NE(fault.find("another's: "), std::string::npos) << fault;
  EXPECT_NE(fault.find("member 7"), std::string::npos) << fault;
  EXPECT_EQ(keptTheRules(), "");
}

// The preview over the fleet reports which requests move, which keys could run twice, how many members have
// replied, and which members have a different pending file.
TEST_F(OwnersProcesses, PreviewOfAPendingChangeCoversTheRequestsServedByAllMembers) {
  const auto run_preview = [&](std::size_t by) {
    EXPECT_EQ(fleet.post(by, "/rehearsal"), 200);
    json page;
    EXPECT_TRUE(FleetRig::until([&] {
      page = fleet.pageOf(by, "/rehearsal");
      return page.is_object() && page.at("state") != "gathering";
    }));
    return page;
  };
  EXPECT_EQ(fleet.post(2, "/rehearsal"), 409) << "there is no pending file";
  // Enough requests on every member for a meaningful sample.
  ASSERT_TRUE(FleetRig::until([&] { return record.events().size() > 4000; }));
  for (const std::size_t n : fleet.all())
    fleet.setPending(n, {{.name = "charges", .request_class = "swap-charge", .home = 1, .stand_by = 2}});
  const json moved = run_preview(2);
  EXPECT_EQ(moved.at("members"), 12) << moved.dump(2);
  EXPECT_EQ(moved.at("keys_split"), 0.0)
      << "within one service, ownership keeps a key from running in two zones";
  EXPECT_GT(moved.at("to_other_site").get<double>(), 0.2) << moved.dump(2);
  EXPECT_NE(moved.at("judgement"), "unsafe") << moved.dump(2);
  // A new service takes over the route with another home zone; one member does not get the file, one is
  // killed.
  for (const std::size_t n : fleet.all()) {
    if (n != 7)
      fleet.setPending(n, {{.name = "swaps", .request_class = "swap-charge", .home = 1, .stand_by = 2}});
  }
  fleet.relay().setLink({.loss = 0.2});
  kill({5});
  const json split = run_preview(2);
  EXPECT_EQ(split.at("judgement"), "unsafe") << split.dump(2);
  EXPECT_GT(split.at("keys_split").get<double>(), 0.2) << split.dump(2);
  EXPECT_EQ(split.at("unlike"), json::array({7})) << split.dump(2);
  EXPECT_GE(split.at("members").get<int>(), 9) << split.dump(2);
  // The live members have changed since the preview, so its result becomes void.
  fleet.relay().setLink({});
  ASSERT_TRUE(FleetRig::until([&] { return fleet.pageOf(2, "/rehearsal").at("state") == "void"; }));
  EXPECT_EQ(keptTheRules(), "");
}

TEST_F(OwnersProcesses, LossOfAFifthOfAllDatagramsDoesNotStopTheService) {
  fleet.relay().setLink({.loss = 0.2});
  const std::size_t runs_before = keyedRunsIn(0);
  ASSERT_TRUE(FleetRig::until([&] { return keyedRunsIn(0) > runs_before + 60; })) << state();
  EXPECT_EQ(keyedRunsIn(1) + keyedRunsIn(2), 0U);
  EXPECT_EQ(keptTheRules(), "");
}

}  // namespace
}  // namespace client_proxy::rig
