// Zone health with twelve processes of the program in three zones: which zones they declare down together.
#include <gtest/gtest.h>

#include "processes_support.h"

namespace client_proxy::rig {
namespace {

using nlohmann::json;

class ZoneProcesses : public PlannedProcesses {
 protected:
  ZoneProcesses() : PlannedProcesses(world()) {}
  static Plan world() {
    Plan plan;
    plan.seed = 41;
    plan.callers.rate = 8;
    plan.classes = {{.name = "slot-status", .share = 3},
                    {.name = "swap-charge", .idempotency = Idempotency::NonIdempotent}};
    for (const char* name : {"a", "b", "c"}) plan.zones.push_back({.name = name, .region = "south"});
    return plan;
  }
  void SetUp() override {
    fleet.startAll();
    ASSERT_TRUE(FleetRig::until([&] { return fleet.agree(fleet.all()); })) << fleet.logs();
    call();
    ASSERT_TRUE(FleetRig::until([&] { return fleet.page(0).at("sure") == true; }));
  }
  json zone(std::size_t n, std::size_t z) const {
    const json page = fleet.pageOf(n, "/zones");
    return page.is_null() || page.at("zones").size() <= z ? json() : page.at("zones").at(z);
  }
  // All of these members show the zone in this state, with the same epoch.
  bool agreeOnZone(const std::set<std::size_t>& members, std::size_t z, const std::string& state) const {
    json epoch;
    for (const std::size_t n : members) {
      const json page = zone(n, z);
      if (page.is_null() || page.at("state") != state) return false;
      if (!epoch.is_null() && page.at("epoch") != epoch) return false;
      epoch = page.at("epoch");
    }
    return true;
  }
};

TEST_F(ZoneProcesses, AZoneOfUnresponsiveHostsIsDownWithOneEpochForAllAndRecovers) {
  site.cut(1, true);
  ASSERT_TRUE(FleetRig::until([&] { return agreeOnZone(outside(1), 1, "lost"); })) << fleet.logs();
  for (const std::size_t n : outside(1)) EXPECT_EQ(zone(n, 0).at("epoch"), 0) << fleet.logs();
  for (std::size_t n = 1; n < plan.proxies; n += 3)
    EXPECT_EQ(zone(n, 1).at("order"), "free") << "its own proxies still send to its hosts";
  const auto at = fleet.console(0);
  Child ctl({CLIENT_PROXY_PROGRAM, "ctl", "--console",
             at.address().to_string() + ":" + std::to_string(at.port()), "zones"});
  EXPECT_TRUE(ctl.said("lost")) << "the zones command shows it";
  const auto before = site.ran();
  ASSERT_TRUE(FleetRig::until([&] { return site.ran()[4] > before[4] + 20; }))
      << "its own proxies are served by its hosts";
  ASSERT_TRUE(FleetRig::until([&] { return site.ran()[0] > before[0] + 20; })) << "the other zones serve";
  site.cut(1, false);
  ASSERT_TRUE(FleetRig::until([&] { return agreeOnZone(fleet.all(), 1, "up"); })) << fleet.logs();
  ASSERT_TRUE(FleetRig::until([&] { return site.ran()[4] > before[4] + 5; })) << "its hosts serve again";
  EXPECT_EQ(keptTheRules(), "");
}

TEST_F(ZoneProcesses, ProxiesInAPartitionedZoneDeclareNoOtherZoneDown) {
  site.cut(1, true);
  fleet.relay().setCut([](auto a, auto b) { return (a % 3 == 1) != (b % 3 == 1); });
  ASSERT_TRUE(FleetRig::until([&] { return agreeOnZone(outside(1), 1, "lost"); })) << fleet.logs();
  for (std::size_t n = 1; n < plan.proxies; n += 3) {
    EXPECT_EQ(zone(n, 0).at("epoch"), 0) << fleet.logs();
    EXPECT_EQ(zone(n, 2).at("epoch"), 0);
  }
  fleet.relay().setCut({});
  site.cut(1, false);
  ASSERT_TRUE(FleetRig::until([&] { return fleet.agree(fleet.all()) && agreeOnZone(fleet.all(), 1, "up"); }))
      << fleet.logs();
  EXPECT_EQ(keptTheRules(), "");
}

TEST_F(ZoneProcesses, WithoutGossipNoZoneIsDeclaredDownAndProxiesServe) {
  fleet.relay().setCut([](auto, auto) { return true; });
  ASSERT_TRUE(FleetRig::until([&] { return fleet.page(0).at("sure") == false; }));
  const auto before = site.ran();
  ASSERT_TRUE(FleetRig::until([&] { return site.ran()[4] > before[4] + 20; }));
  for (std::size_t n = 0; n < plan.proxies; ++n) {
    for (std::size_t z = 0; z < 3; ++z) EXPECT_EQ(zone(n, z).at("epoch"), 0);
  }
  EXPECT_EQ(keptTheRules(), "");
}

}  // namespace
}  // namespace client_proxy::rig
