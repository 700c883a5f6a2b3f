// Slow start with processes of the program: hosts restart cold under all of them at once.
#include <gtest/gtest.h>

#include <iostream>

#include "rig/run.h"

namespace client_proxy::rig {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A hundred and twenty proxies at 48 hosts, 70 % of what these can do; a subset is a quarter of the hosts.
Plan fleetPlan(std::uint64_t seed) {
  Plan plan;
  plan.seed = seed;
  plan.proxies = 120;
  plan.lasting = seconds(12);
  plan.callers = {.rate = 5.6, .busy_every = 10, .busy_times = 4};
  plan.classes = {{.name = "slot-status", .share = 3},
                  {.name = "swap-charge", .idempotency = Idempotency::NonIdempotent}};
  plan.slow_start = {.initial_capacity = 0.1, .duration = seconds(15), .overload_factor = 2};
  for (const char* name : {"a", "b", "c", "d"})
    plan.zones.push_back(
        {.name = name, .region = "south", .hosts = 12, .queue = 40, .work = milliseconds(100)});
  return plan;
}

// Hosts from the first to before the last die at `at` and are back, cold, a moment later.
void restartHosts(Plan& plan, std::size_t first, std::size_t last, Span at) {
  for (std::size_t host = first; host < last; ++host)
    plan.steps.push_back({.name = "restart host",
                          .fault = Fault::HostKill,
                          .subject = host,
                          .at = at,
                          .lasting = milliseconds(5)});
}

void expectWithinBudget(const Plan& plan) {
  const Outcome outcome = carryOut(CLIENT_PROXY_PROGRAM, plan, false);
  std::cout << "worst window " << outcome.slow_start.worst_window << " of its bound, hosts over it "
            << outcome.slow_start.broken.size() << "; served " << outcome.verdict.served << " of "
            << outcome.verdict.asked << '\n';
  for (const std::string& broken : outcome.slow_start.broken) ADD_FAILURE() << broken;
  for (const std::string& broken : outcome.verdict.broken) ADD_FAILURE() << broken;
  EXPECT_GT(outcome.slow_start.reached, 0U) << "hosts in slow start are used";
}

TEST(SlowStartProcesses, AllHostsRestartInABurst) {
  Plan plan = fleetPlan(41);
  restartHosts(plan, 0, plan.hosts(), seconds(6));
  plan.steps.push_back(
      {.name = "burst", .fault = Fault::Burst, .part = 3, .at = seconds(6), .lasting = seconds(4)});
  expectWithinBudget(plan);
}

TEST(SlowStartProcesses, HostsRestartWhoseClockIsAnHourBehind) {
  Plan plan = fleetPlan(42);
  plan.callers.rate = 6.4;
  plan.host_clock_error = -std::chrono::hours(1);
  restartHosts(plan, 0, plan.hosts() / 3, seconds(6));
  expectWithinBudget(plan);
}

}  // namespace
}  // namespace client_proxy::rig
