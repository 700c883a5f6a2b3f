// The load that many clients put on hosts and on discovery when they all react to the same event at the same
// moment. Each bound follows from the settings, and each test was seen to fail without the mechanism that
// keeps its bound.
#include <gtest/gtest.h>

#include <cmath>
#include <ostream>

#include "fleet_model.h"

namespace load_balancer::test {
namespace {

// An upper bound of a random count with this mean: six standard deviations above it.
double upperBound(double mean) { return mean + 6 * std::sqrt(mean) + 1; }

class Herd : public ::testing::TestWithParam<FleetModel::Shape> {
 protected:
  static Settings settings() { return fleetSettings(); }
  // The average number of clients that have a host in their subset of twelve.
  static double clientsPerHost() { return 12.0 * GetParam().clients / GetParam().hosts; }
  FleetModel fleet{GetParam(), settings(), 7};
};

// After a restart, clients spread their calls to discovery over a third of the poll interval, 3 s at most,
// and back off after failures. So the calls in any 100 ms exceed an even distribution only a little and never
// come from a tenth of the clients.
TEST_P(Herd, ClientsRestartedTogetherSpreadTheirCallsToDiscovery) {
  fleet.runFor(20 * kSec);
  ASSERT_EQ(fleet.watching(), GetParam().clients);
  const std::uint32_t before = fleet.discoveryCalls().all();
  fleet.restartClients(0.7);
  ASSERT_GT(fleet.restarted(), GetParam().clients / 2);
  fleet.runFor(40 * kSec);
  const double per_step = fleet.restarted() * 0.1 / 3;
  EXPECT_LE(fleet.discoveryCalls().most(), upperBound(1.5 * per_step));
  // A client whose call fails retries after at least half a second, with increasing delays.
  EXPECT_LE(fleet.discoveryCalls().all() - before, 8 * fleet.restarted());
  EXPECT_EQ(fleet.watching(), GetParam().clients);
  EXPECT_GT(static_cast<double>(fleet.successes()), 0.97 * static_cast<double>(fleet.requests()));
}

TEST_P(Herd, ClientRestartsOpenConnectionsToHostsOfTheSubsetOnly) {
  fleet.runFor(5 * kSec);
  fleet.restartClients(0.7);
  fleet.runFor(10 * kSec);
  for (const auto& host : fleet.hosts()) {
    // A client has few requests in flight. Further connections come from clients that use the host as a
    // substitute, and from requests that overlap.
    EXPECT_LE(host.most_open, 3 * clientsPerHost()) << host.listed.id;
    EXPECT_LE(host.connects.most(), upperBound(clientsPerHost() / 2)) << host.listed.id;
  }
}

// Half of the hosts have stopped, the others are at their limit, and all clients are notified of the same few
// new hosts at the same moment. A host that is sent more than the overload factor times its present capacity
// during the overload window would fail and not recover.
TEST_P(Herd, NewHostsAreNotOverloadedByAllClientsTogether) {
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
  EXPECT_GT(sent, 0U) << "the new hosts must be used";
  fleet.runFor(2 * s.slow_start_duration);
  for (std::size_t h = first; h < fleet.hosts().size(); ++h) {
    EXPECT_GT(fleet.hosts()[h].sends.all(), fleet.capacity(s.slow_start_duration) / 4)
        << "must be used once it is warm";
  }
}

// Each client that uses a stopped host detects this by itself and then probes the host with backoff: after
// 0.75 s at first, up to 6 s later.
TEST_P(Herd, StoppedHostsAreProbedByFewClientsWithBackoff) {
  fleet.runFor(8 * kSec);
  for (std::size_t h = 0; h < fleet.hosts().size(); h += 8) fleet.stopHost(h);
  fleet.runFor(30 * kSec);
  for (std::size_t h = 0; h < fleet.hosts().size(); h += 8) {
    const auto& host = fleet.hosts()[h];
    EXPECT_GT(host.probes.all(), 0U);
    EXPECT_LE(host.probes.most(), upperBound(2 * clientsPerHost() * 0.1 / 0.75)) << host.listed.id;
    EXPECT_LE(host.probes.all(), 2 * clientsPerHost() * 8) << host.listed.id;
    EXPECT_LE(host.connects.most(), upperBound(clientsPerHost())) << host.listed.id;
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

// A host in slow start may exceed its budget of requests by chance, but not by more than 2 * sqrt(budget)
// + 2. The budget follows from the settings alone: each client sends its ordinary share of the host's
// capacity. What a client may save up starts at a random fraction of one request, so that the first requests
// of many clients are spread rather than a burst.
struct ColdFleet {
  std::uint32_t clients, hosts;
  double load, hot;  // fraction of all hosts' capacity; factor on the request rate of every tenth client
  double slow_start_initial_capacity, overload_factor;  // from the settings
  Time slow_start_duration, window;
};

void PrintTo(const ColdFleet& f, std::ostream* out) {
  *out << f.clients << " clients, " << f.hosts << " hosts";
}

class ColdHosts : public ::testing::TestWithParam<ColdFleet> {};

TEST_P(ColdHosts, GetNoMoreThanTheirBudgetFromAllClientsTogether) {
  const ColdFleet& f = GetParam();
  Settings s = fleetSettings();
  s.slow_start_initial_capacity = f.slow_start_initial_capacity,
  s.slow_start_overload_factor = f.overload_factor, s.slow_start_duration = f.slow_start_duration,
  s.slow_start_overload_window = f.window;
  std::uint32_t sent = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FleetModel::Shape shape;
    shape.clients = f.clients, shape.hosts = f.hosts, shape.hot = f.hot;
    const double total_rate = f.load * f.hosts * shape.cores / (static_cast<double>(shape.work) / 1e6);
    shape.rate = total_rate / (f.clients * (0.9 + 0.1 * f.hot));
    FleetModel fleet(shape, s, seed);
    const Time start = fleet.now();
    fleet.runFor(15 * kSec);
    const Time added_at = fleet.now() - start;
    fleet.addColdHosts(2);
    fleet.runFor(f.window);
    fleet.restartClients(0.3);  // restarted clients must keep the budget too
    fleet.runFor(3 * f.window);
    for (std::size_t h = f.hosts; h < fleet.hosts().size(); ++h) {
      const auto& host = fleet.hosts()[h];
      sent += host.sends.all();
      for (int w = 0; w < 4; ++w) {
        const double age = static_cast<double>(w * f.window) / static_cast<double>(f.slow_start_duration);
        const double capacity_fraction =
            f.slow_start_initial_capacity + (1 - f.slow_start_initial_capacity) * std::min(1.0, age);
        const double budget = f.overload_factor * capacity_fraction * fleet.capacity(f.window);
        EXPECT_LE(host.sends.between(added_at + w * f.window, added_at + (w + 1) * f.window),
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
