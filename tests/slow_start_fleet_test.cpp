// Slow start under combined faults. Guards against all clients together overloading a restarted host: the
// requests that they send to it in each overload window must stay within the budget that follows from the
// settings and the capacity of a warm host.
#include <gtest/gtest.h>

#include <functional>
#include <iostream>
#include <ostream>
#include <string>

#include "fleet_model.h"
#include "rig/slow_start_budget.h"

namespace load_balancer::test {
namespace {

namespace rig = client_proxy::rig;

constexpr Time kNormalTime = 15 * kSec;  // before the faults
constexpr double kLoad = 0.7;            // of the capacity of all warm hosts
constexpr std::uint64_t kSeed = 1;

struct NamedPlan {
  const char* name;
  rig::SlowStartPlan slow_start;
};
const NamedPlan kSite{"site",
                      {.initial_capacity = 0.32, .duration = rig::Span(8900 * kMs), .overload_factor = 3}};
const NamedPlan kTight{"tight",
                       {.initial_capacity = 0.2, .duration = rig::Span(15 * kSec), .overload_factor = 2}};

struct FleetPlan {
  const char* name;
  std::uint32_t clients, hosts;
  int cores;
  Time work;
  double hot;  // request rate of every tenth client, as a multiple of the others'
};
constexpr FleetPlan kSmall{"30 clients at 8 hosts", 30, 8, 2, 85 * kMs, 4};
constexpr FleetPlan kManyClients{"300 clients at 60 hosts", 300, 60, 2, 85 * kMs, 4};
constexpr FleetPlan kManyHosts{"300 clients at 200 hosts", 300, 200, 2, 85 * kMs, 4};
constexpr FleetPlan kSlowHosts{"900 clients at 100 slow hosts", 900, 100, 1, 250 * kMs, 1};

struct Fault {
  const char* name;
  std::function<void(FleetModel&)> inject;  // called after normal load; returns when hosts are warm again
};

void runUntilWarm(FleetModel& fleet) { fleet.runFor(10 * kSec); }

void restartAllInABurst(FleetModel& fleet) {
  fleet.setLoad(3);
  fleet.restartHosts(0, fleet.hosts().size());
  fleet.runFor(4 * kSec);
  fleet.setLoad(1);
  runUntilWarm(fleet);
}
void restartHostsWhoseClockIsBehind(FleetModel& fleet) {
  fleet.restartHosts(0, fleet.hosts().size() / 3, -3600 * kSec);
  runUntilWarm(fleet);
}
void restartHostsWhoseClockIsAhead(FleetModel& fleet) {
  fleet.restartHosts(0, fleet.hosts().size() / 3, 3600 * kSec);
  runUntilWarm(fleet);
}
void restartClientsAndThenHostsWhoseClockIsBehind(FleetModel& fleet) {
  fleet.restartClients(0.7);
  fleet.runFor(3 * kSec);
  restartHostsWhoseClockIsBehind(fleet);
}
void restartHostsTwiceAndClientsBetween(FleetModel& fleet) {
  fleet.restartHosts(0, fleet.hosts().size());
  fleet.runFor(1200 * kMs);
  fleet.restartClients(0.5);
  fleet.runFor(1300 * kMs);
  fleet.restartHosts(0, fleet.hosts().size());
  runUntilWarm(fleet);
}
void restartClientsInWaves(FleetModel& fleet) {
  fleet.restartHosts(0, fleet.hosts().size() / 2);
  for (int wave = 0; wave < 20; ++wave) {
    fleet.runFor(250 * kMs);
    fleet.restartClients(0.1);
  }
  runUntilWarm(fleet);
}
void restartEverythingInABurst(FleetModel& fleet) {
  fleet.setLoad(3);
  fleet.restartHosts(0, fleet.hosts().size());
  fleet.restartClients(1);
  fleet.runFor(4 * kSec);
  fleet.setLoad(1);
  runUntilWarm(fleet);
}
void restartMostHostsInABurst(FleetModel& fleet) {
  fleet.setLoad(2);
  fleet.restartHosts(0, fleet.hosts().size() * 6 / 10);
  fleet.runFor(4 * kSec);
  fleet.setLoad(1);
  runUntilWarm(fleet);
}

const Fault kFaults[] = {{"AllHostsInABurst", restartAllInABurst},
                         {"MostHostsInABurst", restartMostHostsInABurst},
                         {"HostClocksBehind", restartHostsWhoseClockIsBehind},
                         {"HostClocksAhead", restartHostsWhoseClockIsAhead},
                         {"ClientsThenHostClocksBehind", restartClientsAndThenHostsWhoseClockIsBehind},
                         {"HostsTwiceClientsBetween", restartHostsTwiceAndClientsBetween},
                         {"ClientsInWaves", restartClientsInWaves},
                         {"EverythingInABurst", restartEverythingInABurst}};

// The requests in the worst overload window of a host's slow start, relative to the budget of that window (by
// the capacity at its end).
double worstWindow(const FleetModel& fleet, const FleetModel::Machine& host, const rig::SlowStartPlan& plan) {
  if (host.started == 0) return 0;
  const Time start = host.started - kStart;
  const Time window = plan.overload_window.count();
  double worst = 0;
  for (Time age = FleetModel::kStep; age <= plan.duration.count(); age += FleetModel::kStep) {
    const std::uint32_t sent = host.cold_sends.between(start + age - std::min(age, window), start + age);
    worst = std::max(worst, sent / rig::mostInWindow(plan, fleet.capacity(kSec), rig::Span(age)));
  }
  return worst;
}

void PrintTo(const Fault& fault, std::ostream* out) { *out << fault.name; }

class SlowStartFaults : public ::testing::TestWithParam<Fault> {
 protected:
  // Sets the request rate such that all clients together use `kLoad` of the capacity of the warm hosts.
  static FleetModel::Shape shapeOf(const FleetPlan& plan) {
    FleetModel::Shape shape;
    shape.clients = plan.clients, shape.hosts = plan.hosts;
    shape.cores = plan.cores, shape.work = plan.work;
    shape.hot = plan.hot;
    const double all = kLoad * shape.hosts * shape.cores / (static_cast<double>(shape.work) / 1e6);
    shape.rate = all / (shape.clients * (0.9 + 0.1 * shape.hot));
    return shape;
  }
  static Settings settingsOf(const rig::SlowStartPlan& plan) {
    Settings settings = fleetSettings();
    settings.slow_start_initial_capacity = plan.initial_capacity;
    settings.slow_start_overload_factor = plan.overload_factor;
    settings.slow_start_duration = plan.duration.count();
    settings.slow_start_overload_window = plan.overload_window.count();
    return settings;
  }
  static void expectWithinBudget(const FleetModel& fleet, const rig::SlowStartPlan& plan) {
    double worst = 0;
    std::size_t over = 0;
    std::uint32_t sent = 0;
    for (const FleetModel::Machine& host : fleet.hosts()) {
      const double window = worstWindow(fleet, host, plan);
      worst = std::max(worst, window);
      over += window > 1 ? 1U : 0U;
      sent += host.cold_sends.all();
    }
    std::cout << "worst window " << worst << " of its budget; over budget " << over << " of "
              << fleet.hosts().size() << " hosts; sent " << sent << ", answered " << fleet.successes()
              << " of " << fleet.requests() << '\n';
    EXPECT_LE(worst, 1) << over << " of " << fleet.hosts().size() << " hosts over budget";
    EXPECT_EQ(fleet.violations(), 0U);
    EXPECT_GT(sent, 0U) << "hosts in slow start must be used";
  }
};

TEST_P(SlowStartFaults, AllClientsTogetherStayWithinTheBudgetOfEachHost) {
  for (const FleetPlan& fleet_plan : {kSmall, kManyClients, kManyHosts, kSlowHosts}) {
    for (const NamedPlan& plan : {kSite, kTight}) {
      SCOPED_TRACE(std::string(fleet_plan.name) + ", " + plan.name);
      std::cout << fleet_plan.name << ", " << plan.name << ": ";
      FleetModel fleet(shapeOf(fleet_plan), settingsOf(plan.slow_start), kSeed);
      fleet.runFor(kNormalTime);
      GetParam().inject(fleet);
      expectWithinBudget(fleet, plan.slow_start);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Fleets, SlowStartFaults, ::testing::ValuesIn(kFaults),
                         [](const auto& p) { return std::string(p.param.name); });

}  // namespace
}  // namespace load_balancer::test
