// Twelve processes of the program in three zones, of which one alone may run swap-charge at a time: power
// cuts, splits, pauses and wrong memories between them. Every key that was asked for runs once at most.
#include <gtest/gtest.h>

#include <filesystem>

#include "processes_support.h"

namespace client_proxy::rig {
namespace {

using nlohmann::json;

class OwnersProcesses : public PlannedProcesses {
 protected:
  OwnersProcesses() : PlannedProcesses(world()) {}
  static Plan world() {
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
    ASSERT_TRUE(FleetRig::until([&] { return owned(fleet.all(), "a"); })) << state();
    call();
    ASSERT_TRUE(FleetRig::until([&] { return ranIn(0) > 10; })) << state();
  }
  void TearDown() override {
    if (HasFailure()) std::fputs(fleet.logs().c_str(), stderr);
  }
  json deed(std::size_t n) const {
    const json page = fleet.pageOf(n, "/deeds");
    return page.is_null() ? json() : page.at("services").at(0);
  }
  // All of these send it there, by one term.
  bool owned(const std::set<std::size_t>& members, const std::string& zone) const {
    json term;
    for (const std::size_t n : members) {
      const json d = deed(n);
      if (d.is_null() || d.at("owner") != zone || d.at("sent") != "may-be-sent") return false;
      if (!term.is_null() && d.at("term") != term) return false;
      term = d.at("term");
    }
    return true;
  }
  std::size_t found(const std::string& kind) const {
    std::size_t all = 0;
    for (std::size_t n = 0; n < plan.proxies; ++n) {
      const json page = fleet.pageOf(n, "/deeds");
      if (page.is_null()) continue;
      for (const json& w : page.at("wrong_claims")) all += w.at("kind") == kind ? 1U : 0U;
    }
    return all;
  }
  std::set<std::size_t> of(std::size_t zone) const {
    std::set<std::size_t> all;
    for (std::size_t n = zone; n < plan.proxies; n += 3) all.insert(n);
    return all;
  }
  // Charges that have run in a zone.
  std::size_t ranIn(std::size_t zone) const {
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

TEST_F(OwnersProcesses, HostsOfTheHomeFallSilentAndTheStandByTakesOverForGood) {
  site.cut(0, true);
  const std::size_t before = ranIn(1);
  EXPECT_EQ(before, 0U) << "the home's hosts alone ran it until then";
  ASSERT_TRUE(FleetRig::until([&] { return owned(outside(0), "b") && ranIn(1) > 10; })) << state();
  site.cut(0, false);
  ASSERT_TRUE(FleetRig::until([&] { return owned(fleet.all(), "b"); })) << state();
  // What is given to a zone that is still held lost is claimed by its stand-by at once.
  ASSERT_TRUE(FleetRig::until([&] {
    const json page = fleet.pageOf(4, "/zones");
    return page.is_object() && page.at("zones").at(0).at("state") == "up";
  }));
  EXPECT_EQ(fleet.post(4, "/deeds/charges/give/a"), 200);
  ASSERT_TRUE(FleetRig::until([&] { return owned(fleet.all(), "a"); })) << state();
  EXPECT_EQ(fleet.post(4, "/deeds/nothing/give/a"), 404);
  EXPECT_EQ(keptTheRules(), "");
}

TEST_F(OwnersProcesses, APowerCutOfAllUnderLoadRunsNoKeyTwiceAndChangesNoOwner) {
  kill(fleet.all());
  // The hosts ran on, and come back in another order than the proxies.
  site.cut(2, true);
  start(of(2));
  start(of(1));
  ASSERT_TRUE(FleetRig::until([&] { return fleet.pageOf(1, "/recovery").is_object(); }));
  EXPECT_EQ(fleet.pageOf(1, "/recovery").at("process_before"), "cut short");
  EXPECT_EQ(deed(1).at("owner"), "a") << "by its own memory; and nothing is sent by that";
  start(of(0));
  site.cut(2, false);
  ASSERT_TRUE(FleetRig::until([&] { return owned(fleet.all(), "a"); })) << state();
  EXPECT_EQ(deed(7).at("term"), 1);
  const std::size_t ran = ranIn(0);
  ASSERT_TRUE(FleetRig::until([&] { return ranIn(0) > ran + 20; })) << state();
  EXPECT_EQ(ranIn(1) + ranIn(2), 0U);
  ASSERT_TRUE(FleetRig::until([&] { return fleet.pageOf(3, "/recovery").at("stage") == "whole"; }))
      << state();
  EXPECT_EQ(keptTheRules(), "");
}

TEST_F(OwnersProcesses, ThePowerGoesAgainDuringTheReturn) {
  kill(fleet.all());
  start(of(0));
  start(of(1));
  kill(of(0));
  kill(of(1));
  start(fleet.all());
  ASSERT_TRUE(FleetRig::until([&] { return owned(fleet.all(), "a"); })) << state();
  EXPECT_EQ(deed(7).at("term"), 1);
  EXPECT_EQ(keptTheRules(), "");
}

TEST_F(OwnersProcesses, AZoneThatLosesItsPowerComesBackToWhatTheOthersHold) {
  kill(of(0));
  ASSERT_TRUE(FleetRig::until([&] { return owned(outside(0), "b"); })) << state();
  start(of(0));
  ASSERT_TRUE(FleetRig::until([&] { return owned(fleet.all(), "b"); })) << state();
  EXPECT_GT(found("stale"), 0U) << state();
  EXPECT_EQ(keptTheRules(), "");
}

TEST_F(OwnersProcesses, FrozenOwnersThatThawSendNothingUnderTheOldDeed) {
  for (const std::size_t n : of(0)) {
    callers->pause(n);
    callers->excuse(n);
    fleet.freeze(n);
  }
  ASSERT_TRUE(FleetRig::until([&] { return owned(outside(0), "b"); })) << state();
  const std::size_t ran = ranIn(0);
  for (const std::size_t n : of(0)) {
    callers->excuse(n);
    fleet.thaw(n);
    callers->resume(n);
  }
  ASSERT_TRUE(FleetRig::until([&] { return owned(fleet.all(), "b"); })) << state();
  // What they had taken before the pause may not be sent any more.
  EXPECT_LE(ranIn(0), ran + 1) << "one may have been on its way";
  EXPECT_GT(found("past-lease"), 0U) << state();
  EXPECT_EQ(keptTheRules(), "");
}

TEST_F(OwnersProcesses, EightAgainstFourWithTheOwnerAmongTheFour) {
  fleet.relay().setCut([](auto a, auto b) { return (a % 3 == 0) != (b % 3 == 0); });
  site.cut(0, true);
  ASSERT_TRUE(FleetRig::until([&] { return owned(outside(0), "b"); })) << state();
  for (const std::size_t n : of(0)) EXPECT_NE(deed(n).at("sent"), "may-be-sent") << n;
  fleet.relay().setCut({});
  site.cut(0, false);
  ASSERT_TRUE(FleetRig::until([&] { return owned(fleet.all(), "b"); })) << state();
  EXPECT_EQ(keptTheRules(), "");
}

TEST_F(OwnersProcesses, OneMemoryLostOneCopiedAndOnePutBackAreEachNamedAndWidenNothing) {
  namespace fs = std::filesystem;
  const fs::path old = fleet.memory(3) + "-old";
  kill({3});
  fs::copy(fleet.memory(3), old);
  start({3});
  fleet.post(5, "/deeds/charges/give/c");
  ASSERT_TRUE(FleetRig::until([&] { return owned(fleet.all(), "c"); })) << state();
  kill({3, 4, 7, 8});
  fs::remove_all(fleet.memory(3));
  fs::copy(old, fleet.memory(3));   // put back to before
  fs::remove_all(fleet.memory(4));  // lost
  fs::remove_all(fleet.memory(8));
  fs::copy(fleet.memory(7), fleet.memory(8));  // another member's
  fs::remove_all(old);
  start({3, 4, 7, 8});
  ASSERT_TRUE(FleetRig::until([&] { return owned(fleet.all(), "c"); })) << state();
  EXPECT_EQ(fleet.pageOf(4, "/recovery").at("process_before"), "nothing");
  const std::string fault = fleet.pageOf(8, "/recovery").at("memory").at("fault");
  EXPECT_NE(fault.find("another's: "), std::string::npos) << fault;
  EXPECT_NE(fault.find("member 7"), std::string::npos) << fault;
  EXPECT_EQ(keptTheRules(), "");
}

// Told over the fleet: what moves, what could run twice, who has not told, who has another file.
TEST_F(OwnersProcesses, APendingChangeIsRehearsedOnWhatAllHaveServed) {
  const auto rehearsed = [&](std::size_t by) {
    EXPECT_EQ(fleet.post(by, "/rehearsal"), 200);
    json page;
    EXPECT_TRUE(FleetRig::until([&] {
      page = fleet.pageOf(by, "/rehearsal");
      return page.is_object() && page.at("state") != "gathering";
    }));
    return page;
  };
  EXPECT_EQ(fleet.post(2, "/rehearsal"), 409) << "there is no pending file";
  // Enough of them everywhere, so that the sample tells.
  ASSERT_TRUE(FleetRig::until([&] { return record.events().size() > 4000; }));
  for (const std::size_t n : fleet.all())
    fleet.setPending(n, {{.name = "charges", .request_class = "swap-charge", .home = 1, .stand_by = 2}});
  const json moves = rehearsed(2);
  EXPECT_EQ(moves.at("members"), 12) << moves.dump(2);
  EXPECT_EQ(moves.at("keys_split"), 0.0) << "within its service a deed sees to it";
  EXPECT_GT(moves.at("to_other_site").get<double>(), 0.2) << moves.dump(2);
  EXPECT_NE(moves.at("judgement"), "unsafe") << moves.dump(2);
  // Another service takes the route, elsewhere; one member has not been given the file, and one dies.
  for (const std::size_t n : fleet.all()) {
    if (n != 7)
      fleet.setPending(n, {{.name = "swaps", .request_class = "swap-charge", .home = 1, .stand_by = 2}});
  }
  fleet.relay().setLink({.loss = 0.2});
  kill({5});
  const json split = rehearsed(2);
  EXPECT_EQ(split.at("judgement"), "unsafe") << split.dump(2);
  EXPECT_GT(split.at("keys_split").get<double>(), 0.2) << split.dump(2);
  EXPECT_EQ(split.at("unlike"), json::array({7})) << split.dump(2);
  EXPECT_GE(split.at("members").get<int>(), 9) << split.dump(2);
  // What it rested on is another: it is void.
  fleet.relay().setLink({});
  ASSERT_TRUE(FleetRig::until([&] { return fleet.pageOf(2, "/rehearsal").at("state") == "void"; }));
  EXPECT_EQ(keptTheRules(), "");
}

TEST_F(OwnersProcesses, AFifthOfAllDatagramsLostStopsNothing) {
  fleet.relay().setLink({.loss = 0.2});
  const std::size_t ran = ranIn(0);
  ASSERT_TRUE(FleetRig::until([&] { return ranIn(0) > ran + 60; })) << state();
  EXPECT_EQ(ranIn(1) + ranIn(2), 0U);
  EXPECT_EQ(keptTheRules(), "");
}

}  // namespace
}  // namespace client_proxy::rig
