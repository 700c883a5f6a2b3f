// Hollow members against the program's own: one fleet of both, and what each sends. Everything waits for what
// is seen; the limits only end a test that has failed.
#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "bench/capacity_run.h"
#include "rig/hollow_host.h"
#include "rig/mixed_fleet.h"

namespace client_proxy::rig {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMembers = 24, kReal = 12;

// A members file of three members in two zones, of which two are held.
nlohmann::json smallFile() {
  const nlohmann::json addresses = {"127.0.0.1:9001", "127.0.0.1:9002", "127.0.0.1:9003"};
  nlohmann::json members;
  for (std::size_t n = 0; n < 3; ++n)
    members.push_back(
        {{"number", n}, {"zone", n < 2 ? "a" : "b"}, {"region", "north"}, {"listen", addresses[n]}});
  return {{"fleet", "rig"},
          {"zones", {"a", "b"}},
          {"members", members},
          {"held", {0, 2}},
          {"addresses", {{"north", addresses}}},
          {"services", nlohmann::json::array()},
          {"deadline_ms", 2500},
          {"lease_ms", 3000},
          {"discovery", ""}};
}

TEST(HollowFile, NamesItsMembersAndWhereEachFindsTheOthers) {
  const HollowFile file = parseHollowFile(smallFile().dump());
  ASSERT_EQ(file.members.size(), 2U);
  EXPECT_EQ(file.members[1].number, 2);
  EXPECT_EQ(file.members[1].zone, "b");
  EXPECT_EQ(file.members[1].listen.port(), 9003);
  EXPECT_EQ(file.members[1].members.at(0).at.port(), 9001);
  EXPECT_FALSE(file.plan.services || file.plan.discovery);
}

TEST(HollowFile, RefusesWhatIsNotWhole) {
  nlohmann::json strange = smallFile();
  strange["held"] = {7};
  EXPECT_THROW(parseHollowFile(strange.dump()), std::runtime_error);
  strange = smallFile();
  strange.erase("addresses");
  EXPECT_THROW(parseHollowFile(strange.dump()), std::runtime_error);
  EXPECT_THROW(parseHollowFile("{"), std::runtime_error);
}

class HollowFleet : public ::testing::Test {
 protected:
  void SetUp() override {
    fleet.startAll();
    ASSERT_TRUE(holds([&] { return fleet.agree(fleet.all(), kMembers); })) << fleet.logs();
  }
  static bool holds(const std::function<bool()>& what) { return MixedFleet::until(what, 20ms, 40s) >= 0; }

  MixedFleet fleet{CLIENT_PROXY_PROGRAM, CLIENT_PROXY_HOLLOW,
                   MixedPlan{.members = kMembers, .real = kReal, .services = 12}};
};

TEST_F(HollowFleet, IsOneFleetWithTheProgramsOwn) {
  constexpr std::size_t kHollow = 8, kProcess = 18;
  ASSERT_TRUE(fleet.isHollow(kHollow));
  ASSERT_FALSE(fleet.isHollow(kProcess));
  for (const std::size_t gone : {kHollow, kProcess}) {
    const auto rest = fleet.which([&](std::size_t n) { return n != gone; });
    fleet.crash({gone});
    EXPECT_TRUE(holds([&] { return fleet.agree(rest, kMembers - 1); })) << gone << fleet.logs();
    fleet.start({gone});
    EXPECT_TRUE(holds([&] { return fleet.agree(fleet.all(), kMembers); })) << gone << fleet.logs();
  }
  // Promises of real members count for hollow keepers, and all hollow members have heard who serves what.
  EXPECT_TRUE(holds([&] { return fleet.served() == fleet.hollow(); })) << fleet.logs();
}

TEST_F(HollowFleet, SendsWhatTheProgramSends) {
  constexpr double kTolerance = 0.25;
  std::this_thread::sleep_for(capacity::phasesFor(kMembers).records);  // what is measured is a rate
  const auto before = fleet.traffic();
  std::this_thread::sleep_for(8s);
  const capacity::Interval interval(before, fleet.traffic());
  const auto mean = [&](const capacity::Interval::Pick& what, bool hollow) {
    return capacity::meanOf(interval.rates(what, [&](const MemberTraffic& m) {
      return m.hollow == hollow && !fleet.keepers().contains(m.number);
    }));
  };
  const auto expectAlike = [&](const char* name, const capacity::Interval::Pick& what) {
    const double real = mean(what, false), hollow = mean(what, true);
    EXPECT_GT(real, 0) << name;
    EXPECT_NEAR(hollow, real, kTolerance * real) << name;
  };
  using Traffic = fleet_transport::MembershipService::Traffic;
  expectAlike("bytes out", [](const Traffic& t) { return static_cast<double>(t.bytes_out); });
  expectAlike("bytes in", [](const Traffic& t) { return static_cast<double>(t.bytes_in); });
  expectAlike("datagrams out", [](const Traffic& t) { return static_cast<double>(t.datagrams_out); });
  expectAlike("datagrams in", [](const Traffic& t) { return static_cast<double>(t.datagrams_in); });
}

TEST_F(HollowFleet, LosesAndFindsDiscoveryAndTheOtherRegion) {
  const auto allWatch = [&] { return fleet.watching() == fleet.hollow(); };
  ASSERT_TRUE(holds(allWatch));
  fleet.discovery().set(false);
  EXPECT_TRUE(holds([&] { return fleet.watching() == 0; }));
  fleet.discovery().set(true);
  EXPECT_TRUE(holds(allWatch));

  const auto north = fleet.which([&](std::size_t n) { return fleet.regionOf(n) == "north"; });
  const auto south = fleet.which([&](std::size_t n) { return fleet.regionOf(n) != "north"; });
  fleet.cutRegions(true);
  EXPECT_TRUE(holds([&] { return fleet.agree(north, north.size()) && fleet.agree(south, south.size()); }))
      << fleet.logs();
  fleet.cutRegions(false);
  EXPECT_TRUE(holds([&] { return fleet.agree(fleet.all(), kMembers); })) << fleet.logs();
}

}  // namespace
}  // namespace client_proxy::rig
