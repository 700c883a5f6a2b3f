// Slopes: what a member costs at three small sizes, against what it may cost at the size that is planned for.
// And the arithmetic behind the table of bench_capacity.
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <exception>
#include <string>
#include <thread>

#include "bench/capacity_run.h"
#include "bench/capacity_table.h"

namespace client_proxy::capacity {
namespace {

TEST(CapacityFit, FindsALineAndSaysHowFarOffItIs) {
  const auto straight = fitLine({{60, 160}, {150, 250}, {300, 400}, {730, 830}});
  ASSERT_TRUE(straight);
  EXPECT_NEAR(straight->intercept, 100, 1e-6);
  EXPECT_NEAR(straight->slope, 1, 1e-9);
  EXPECT_TRUE(straight->straight());
  const auto square = fitLine({{60, 3600}, {150, 22'500}, {300, 90'000}, {730, 532'900}});
  EXPECT_FALSE(square->straight());
  EXPECT_FALSE(fitLine({{60, 1}}));
}

TEST(CapacityFit, ReckonsWhereABudgetIsSpentOnlyFromAStraightLine) {
  Table table;
  for (const std::size_t size : {60U, 150U, 300U}) {
    const auto n = static_cast<double>(size);
    table.set("line", "B/s", size, 100 + 10 * n, 8000);
    table.set("square", "B/s", size, n * n, 8000);
    table.set("flat", "B/s", size, 130, 8000);
  }
  ASSERT_TRUE(table.find("line")->spentAt());
  EXPECT_NEAR(*table.find("line")->spentAt(), 790, 1e-6);
  EXPECT_FALSE(table.find("square")->spentAt());
  EXPECT_FALSE(table.find("flat")->spentAt());
  EXPECT_NE(table.text().find("not straight"), std::string::npos);
  EXPECT_EQ(table.json().size(), 3U);
}

constexpr std::array<std::size_t, 3> kSizes = {20, 40, 80};
constexpr double kPlanned = 730;  // members

// Fleets of the three sizes, side by side.
class CapacitySlopes : public ::testing::Test {
 protected:
  static void SetUpTestSuite() {
    std::array<Table, kSizes.size()> tables;
    std::array<std::string, kSizes.size()> faults;
    std::vector<std::thread> runs;
    for (std::size_t i = 0; i < kSizes.size(); ++i) {
      runs.emplace_back([&, i] {
        try {
          const rig::MixedPlan plan{.members = kSizes[i], .real = 0, .services = 12};
          measureSize({"", CLIENT_PROXY_HOLLOW}, plan, phases(), tables[i]);
        } catch (const std::exception& e) {
          faults[i] = e.what();
        }
      });
    }
    for (std::thread& run : runs) run.join();
    for (std::size_t i = 0; i < kSizes.size(); ++i) {
      ASSERT_EQ(faults[i], "");
      measured.add(tables[i]);
    }
    std::printf("%s", measured.text().c_str());
  }
  // The same for all sizes: as long as the largest needs for its records.
  static Phases phases() {
    Phases p = phasesFor(kSizes.back());
    p.first = std::chrono::seconds(5);
    p.rest = std::chrono::seconds(10);
    p.crashes = 1;
    return p;
  }
  static double value(const std::string& name, std::size_t size) {
    return measured.find(name)->values.at(size);
  }
  // Also where the line is not straight: a budget has to hold all the same.
  static double atPlannedSize(const std::string& name) {
    const bench::Fit fit = measured.find(name)->fit().value();
    return fit.intercept + fit.slope * kPlanned;
  }

  static inline Table measured;
};

// What the fleet spends in all may grow with its size and not with the square: a member's part stays nearly
// the same.
TEST_F(CapacitySlopes, MembershipCostsAMemberNearlyTheSameInAnyFleet) {
  constexpr double kMostGrowth = 1.6;  // over four times the members
  for (const char* name :
       {"at rest: membership bytes out a hollow", "at rest: membership datagrams out a hollow"})
    EXPECT_LT(value(name, kSizes.back()), kMostGrowth * value(name, kSizes.front())) << name;
}

TEST_F(CapacitySlopes, MembershipStaysWithinTheBudgetAtThePlannedSize) {
  EXPECT_LT(atPlannedSize("at rest: membership bytes out a hollow"), kMostBytesASecond);
  EXPECT_LT(atPlannedSize("at rest: bytes out a member"), kMostBytesASecond);
  EXPECT_LT(atPlannedSize("at rest: bytes in a member"), kMostBytesASecond);
}

// A keeper of leases asks all members, so its part grows as the fleet does: no faster.
TEST_F(CapacitySlopes, AKeeperOfLeasesCostsNoMoreThanInProportion) {
  constexpr double kMostGrowth = 2.5;  // over twice the members
  for (const char* name : {"at rest: keeper: datagrams out", "at rest: keeper: bytes out"})
    EXPECT_LT(value(name, kSizes[2]), kMostGrowth * value(name, kSizes[1])) << name;
}

TEST_F(CapacitySlopes, ACrashAndAStartAreKnownToAllSoon) {
  constexpr double kMostSeconds = 12;
  EXPECT_LT(value("a crash known to all, most", kSizes.back()), kMostSeconds);
  EXPECT_LT(value("a start known to all, most", kSizes.back()), kMostSeconds);
}

TEST_F(CapacitySlopes, AllHollowMembersHaveTheirClientsAtWork) {
  for (const std::size_t size : kSizes) {
    EXPECT_EQ(value("hollow members that may send to all services", size), static_cast<double>(size));
    EXPECT_EQ(value("hollow members that watch discovery", size), static_cast<double>(size));
  }
}

}  // namespace
}  // namespace client_proxy::capacity
