// Zone health in the fleet model: every client runs the module as compiled into the daemon, its reports reach
// the others late and with losses, and no zone is declared down but one that has failed.
#include <gtest/gtest.h>

#include "zone_health_day.h"

namespace load_balancer::test {
namespace {

class VerdictDays : public ::testing::TestWithParam<double> {};

// One host stops, and nothing else fails; the hosts are under the load of the parameter.
TEST_P(VerdictDays, OneStoppedHostUnderLoadDeclaresNoZoneDown) {
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    ZoneHealthDay day({.clients = 24, .hosts = 12, .load = GetParam(), .loss = 0.3}, seed);
    day.runFor(3 * kSec);
    day.fleet().stopHost(seed % 12);
    day.runFor(9 * kSec);
    ASSERT_EQ(day.declarations(), 0) << "seed " << seed << day.log();
  }
}

TEST_P(VerdictDays, OnlyTheFailedZoneIsDeclaredDownAndItRecovers) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    ZoneHealthDay day({.clients = 24, .hosts = 12, .load = GetParam() * 0.6, .loss = 0.3}, seed);
    day.runFor(3 * kSec);
    day.fleet().setUnresponsive(1, true);
    day.runFor(6 * kSec);
    EXPECT_EQ(day.membersWith(1, client_proxy::zone_health::ZoneState::Down), 24U)
        << "seed " << seed << day.log();
    day.fleet().setUnresponsive(1, false);
    day.runFor(16 * kSec);
    EXPECT_EQ(day.membersWith(1, client_proxy::zone_health::ZoneState::Up), 24U)
        << "seed " << seed << day.log();
    EXPECT_EQ(day.declarations(0) + day.declarations(2), 0) << "seed " << seed << day.log();
  }
}

INSTANTIATE_TEST_SUITE_P(Loads, VerdictDays, ::testing::Values(0.54, 0.8, 0.95), [](const auto& p) {
  return "At" + std::to_string(static_cast<int>(100 * p.param));
});

}  // namespace
}  // namespace load_balancer::test
