// Verdicts on zones over days of the fleet model: the module as compiled into the daemon in every client,
// what it has seen told to the others late and with losses, and no verdict but where a zone is lost.
#include <gtest/gtest.h>

#include "zone_health_day.h"

namespace load_balancer::test {
namespace {

class VerdictDays : public ::testing::TestWithParam<double> {};

// Nothing fails but one host; all are as busy as that.
TEST_P(VerdictDays, ABusyDayWithOneDeadHostEndsWithoutAVerdict) {
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    VerdictDay day({.clients = 24, .hosts = 12, .load = GetParam(), .loss = 0.3}, seed);
    day.runFor(3 * kSec);
    day.fleet().stopHost(seed % 12);
    day.runFor(9 * kSec);
    ASSERT_EQ(day.calls(), 0) << "seed " << seed << day.reported();
  }
}

TEST_P(VerdictDays, ALostZoneIsTheOnlyOneCalledAndComesBack) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    VerdictDay day({.clients = 24, .hosts = 12, .load = GetParam() * 0.6, .loss = 0.3}, seed);
    day.runFor(3 * kSec);
    day.fleet().silence(1, true);
    day.runFor(6 * kSec);
    EXPECT_EQ(day.holding(1, client_proxy::zone_health::ZoneState::Down), 24U)
        << "seed " << seed << day.reported();
    day.fleet().silence(1, false);
    day.runFor(16 * kSec);
    EXPECT_EQ(day.holding(1, client_proxy::zone_health::ZoneState::Up), 24U)
        << "seed " << seed << day.reported();
    EXPECT_EQ(day.callsOn(0) + day.callsOn(2), 0) << "seed " << seed << day.reported();
  }
}

INSTANTIATE_TEST_SUITE_P(Loads, VerdictDays, ::testing::Values(0.54, 0.8, 0.95), [](const auto& p) {
  return "At" + std::to_string(static_cast<int>(100 * p.param));
});

}  // namespace
}  // namespace load_balancer::test
