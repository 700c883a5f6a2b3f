// What a whole fleet does to hosts and to discovery when its members do the same thing in the same moment.
// Each bound follows from the settings; each was seen to fail when what keeps it was taken out of the module.
#include <gtest/gtest.h>

#include <cmath>
#include <ostream>

#include "fleet_model.h"

namespace load_balancer::test {
namespace {

// What chance makes of this many on average: six deviations more.
double atMost(double mean) { return mean + 6 * std::sqrt(mean) + 1; }

class Herd : public ::testing::TestWithParam<FleetModel::Shape> {
 protected:
  static Settings settings() { return fleetSettings(); }
  // Clients that know a host, on average: a subset of twelve each.
  static double holders() { return 12.0 * GetParam().clients / GetParam().hosts; }
  FleetModel fleet{GetParam(), settings(), 7};
};

// Calls are spread over a third of the time that the settings give, three seconds at most, and what fails
// backs off: discovery gets some more than that in any 100 ms, never a tenth of the fleet.
TEST_P(Herd, SevenInTenRestartedInOneInstantAskDiscoveryOneAfterAnother) {
  fleet.runFor(20 * kSec);
  ASSERT_EQ(fleet.watching(), GetParam().clients);
  const std::uint32_t before = fleet.discoveryCalls().all();
  fleet.restartClients(0.7);
  ASSERT_GT(fleet.restarted(), GetParam().clients / 2);
  fleet.runFor(40 * kSec);
  const double each_step = fleet.restarted() * 0.1 / 3;
  EXPECT_LE(fleet.discoveryCalls().most(), atMost(1.5 * each_step));
  // One that is turned away comes again after half a second at the least, and less often each time.
  EXPECT_LE(fleet.discoveryCalls().all() - before, 8 * fleet.restarted());
  EXPECT_EQ(fleet.watching(), GetParam().clients);
  EXPECT_GT(static_cast<double>(fleet.successes()), 0.97 * static_cast<double>(fleet.requests()));
}

TEST_P(Herd, ARestartBringsEachHostAConnectionFromThoseThatHoldItNotFromAll) {
  fleet.runFor(5 * kSec);
  fleet.restartClients(0.7);
  fleet.runFor(10 * kSec);
  for (const auto& host : fleet.hosts()) {
    // Requests in flight at once are few; what else it has are stand-ins' and those that overlapped.
    EXPECT_LE(host.most_open, 3 * holders()) << host.listed.id;
    EXPECT_LE(host.connects.most(), atMost(holders() / 2)) << host.listed.id;
  }
}

// Half of the fleet has gone, the rest is full, and all clients are told of the same few empty hosts in the
// same moment. Sent more than the multiple of what it can do at that moment for the window, one would fall
// over and stay down.
TEST_P(Herd, NewHostsAreNotPushedOverByAllClientsTogether) {
  fleet.runFor(20 * kSec);
  ASSERT_EQ(fleet.watching(), GetParam().clients);
  for (std::size_t h = 0; h < fleet.hosts().size(); h += 2) fleet.stopHost(h);
  fleet.runFor(5 * kSec);
  const std::size_t first = fleet.hosts().size();
  fleet.addColdHosts(GetParam().hosts / 10);
  fleet.runFor(2 * kSec);
  const Settings s = settings();
  std::uint32_t sent = 0;
  for (std::size_t h = first; h < fleet.hosts().size(); ++h) {
    const auto& host = fleet.hosts()[h];
    sent += host.cold_sends.all();
    EXPECT_LE(host.cold_sends.most(s.slow_start_overload_window),
              s.slow_start_overload_factor * s.slow_start_initial_capacity *
                  fleet.capacity(s.slow_start_overload_window))
        << host.listed.id;
  }
  EXPECT_GT(sent, 0U) << "they are not left alone either";
  fleet.runFor(2 * s.slow_start_duration);
  for (std::size_t h = first; h < fleet.hosts().size(); ++h) {
    EXPECT_GT(fleet.hosts()[h].sends.all(), fleet.capacity(s.slow_start_duration) / 4) << "warm, and used";
  }
}

// Each of those that hold a dead host finds it out by itself, and asks for it no more than the back-off
// allows: three quarters of a second at first, six later.
TEST_P(Herd, DeadHostsAreProbedByFewAndLessAndLess) {
  fleet.runFor(8 * kSec);
  for (std::size_t h = 0; h < fleet.hosts().size(); h += 8) fleet.stopHost(h);
  fleet.runFor(30 * kSec);
  for (std::size_t h = 0; h < fleet.hosts().size(); h += 8) {
    const auto& host = fleet.hosts()[h];
    EXPECT_GT(host.probes.all(), 0U);
    EXPECT_LE(host.probes.most(), atMost(2 * holders() * 0.1 / 0.75)) << host.listed.id;
    EXPECT_LE(host.probes.all(), 2 * holders() * 8) << host.listed.id;
    EXPECT_LE(host.connects.most(), atMost(holders())) << host.listed.id;
  }
  EXPECT_GT(static_cast<double>(fleet.successes()), 0.95 * static_cast<double>(fleet.requests()));
}

FleetModel::Shape shapeOf(std::uint32_t clients, std::uint32_t hosts, double rate) {
  FleetModel::Shape s;
  s.clients = clients, s.hosts = hosts, s.rate = rate;
  return s;
}
INSTANTIATE_TEST_SUITE_P(Fleets, Herd, ::testing::Values(shapeOf(48, 40, 10), shapeOf(300, 190, 7.5)),
                         [](const auto& p) { return "Of" + std::to_string(p.param.clients); });

// Whatever a cold host gets beyond the calls that its budget holds, all but 2 x their root + 2 is no chance.
// The budget follows from the settings alone, and so does the bound: each client lets its own ordinary share
// of a cold host's capacity through, and what it may save up is drawn evenly from one call's worth at the
// start, so that many clients begin as a stream and not with a burst.
struct ColdFleet {
  std::uint32_t clients, hosts;
  double load, hot;  // of what all hosts can do; times the ordinary rate, of every tenth client
  double slow_start_initial_capacity, multiple;  // as the settings say
  Time slow_start_duration, window;
};

void PrintTo(const ColdFleet& f, std::ostream* out) {
  *out << f.clients << " clients, " << f.hosts << " hosts";
}

class ColdHosts : public ::testing::TestWithParam<ColdFleet> {};

TEST_P(ColdHosts, AreSentNoMoreThanTheirBudgetAndChanceByAllClientsTogether) {
  const ColdFleet& f = GetParam();
  Settings s = fleetSettings();
  s.slow_start_initial_capacity = f.slow_start_initial_capacity, s.slow_start_overload_factor = f.multiple,
  s.slow_start_duration = f.slow_start_duration, s.slow_start_overload_window = f.window;
  std::uint32_t sent = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FleetModel::Shape shape;
    shape.clients = f.clients, shape.hosts = f.hosts, shape.hot = f.hot;
    const double every = f.load * f.hosts * shape.cores / (static_cast<double>(shape.work) / 1e6);
    shape.rate = every / (f.clients * (0.9 + 0.1 * f.hot));
    FleetModel fleet(shape, s, seed);
    const Time start = fleet.now();
    fleet.runFor(15 * kSec);
    const Time cold = fleet.now() - start;
    fleet.addColdHosts(2);
    fleet.runFor(f.window);
    fleet.restartClients(0.3);  // some begin anew meanwhile, and know what has just started
    fleet.runFor(3 * f.window);
    for (std::size_t h = f.hosts; h < fleet.hosts().size(); ++h) {
      const auto& host = fleet.hosts()[h];
      sent += host.sends.all();
      for (int w = 0; w < 4; ++w) {
        const double age = static_cast<double>(w * f.window) / static_cast<double>(f.slow_start_duration);
        const double part =
            f.slow_start_initial_capacity + (1 - f.slow_start_initial_capacity) * std::min(1.0, age);
        const double budget = f.multiple * part * fleet.capacity(f.window);
        EXPECT_LE(host.sends.between(cold + w * f.window, cold + (w + 1) * f.window),
                  budget + 2 * std::sqrt(budget) + 2)
            << "seed " << seed << ", " << host.listed.id << ", window " << w;
      }
    }
  }
  EXPECT_GT(sent, 0U);
}

INSTANTIATE_TEST_SUITE_P(Fleets, ColdHosts,
                         ::testing::Values(ColdFleet{1, 8, 0.7, 1, 0.32, 3, 8900 * kMs, 2 * kSec},
                                           ColdFleet{3, 8, 0.9, 1, 0.12, 4, 22 * kSec, 2 * kSec},
                                           ColdFleet{6, 10, 0.9, 3, 0.25, 2.5, 12 * kSec, 1500 * kMs},
                                           ColdFleet{20, 8, 0.7, 1, 0.32, 3, 8900 * kMs, 2 * kSec},
                                           ColdFleet{24, 10, 0.9, 8, 0.32, 3, 8900 * kMs, 2 * kSec},
                                           ColdFleet{30, 12, 0.9, 1, 0.12, 4, 22 * kSec, 2 * kSec},
                                           ColdFleet{30, 6, 0.8, 5, 0.1, 2, 25 * kSec, 3 * kSec},
                                           ColdFleet{28, 20, 0.95, 3, 0.25, 2.5, 12 * kSec, 1500 * kMs},
                                           ColdFleet{300, 40, 0.9, 4, 0.32, 3, 8900 * kMs, 2 * kSec}),
                         [](const auto& p) {
                           return "Of" + std::to_string(p.param.clients) + "At" +
                                  std::to_string(p.param.hosts);
                         });

}  // namespace
}  // namespace load_balancer::test
