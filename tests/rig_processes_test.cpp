// Processes of the program at work: applications call, hosts answer, and what lies between fails. All that
// was asked is held against the rules.
#include <gtest/gtest.h>

#include "rig/run.h"

namespace client_proxy::rig {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Plan world(std::uint64_t seed) {
  Plan plan;
  plan.seed = seed;
  plan.proxies = 12;
  plan.lasting = seconds(9);
  plan.callers = {.rate = 6, .busy_every = 6, .busy_times = 5};
  plan.classes = {{.name = "slot-status", .share = 3},
                  {.name = "swap-charge", .idempotency = Idempotency::NonIdempotent}};
  for (const char* name : {"a", "b", "c"}) plan.zones.push_back({.name = name, .region = "south"});
  return plan;
}

testing::AssertionResult keepsTheRules(const Plan& plan) {
  const Outcome o = carryOut(CLIENT_PROXY_PROGRAM, plan);
  if (!o.agreed) return testing::AssertionFailure() << "no one view at the end\n" << o.logs;
  if (o.verdict.served * 2 < o.verdict.asked)
    return testing::AssertionFailure() << "served " << o.verdict.served << " of " << o.verdict.asked;
  if (o.verdict.broken.empty()) return testing::AssertionSuccess();
  testing::AssertionResult failed = testing::AssertionFailure();
  for (const std::string& b : o.verdict.broken) failed << b << "\n";
  return failed << o.logs;
}

TEST(RigProcesses, AZoneFallsSilentAndComesBackWhileAProxyDies) {
  Plan plan = world(31);
  plan.steps = {
      {.name = "zone", .fault = Fault::Cut, .subject = 1, .at = seconds(2), .lasting = seconds(4)},
      {.name = "kill", .fault = Fault::Kill, .subject = 3, .at = seconds(3), .lasting = seconds(2)},
      {.name = "kill", .fault = Fault::Kill, .subject = 4, .at = seconds(3), .lasting = seconds(4)}};
  EXPECT_TRUE(keepsTheRules(plan));
}

TEST(RigProcesses, HostsDieDrainAndReturnWhileDiscoveryIsDown) {
  Plan plan = world(32);
  plan.steps = {
      {.name = "die", .fault = Fault::HostKill, .subject = 0, .at = seconds(1), .lasting = seconds(3)},
      {.name = "die too", .fault = Fault::HostKill, .subject = 5, .at = seconds(1), .lasting = seconds(3)},
      {.name = "drain", .fault = Fault::HostLeave, .subject = 9, .at = seconds(1), .lasting = seconds(6)},
      {.name = "discovery", .fault = Fault::Discovery, .at = seconds(2), .lasting = seconds(3)},
      {.name = "loss", .fault = Fault::Loss, .part = 0.2, .at = seconds(1), .lasting = seconds(6)}};
  EXPECT_TRUE(keepsTheRules(plan));
}

// Guards against second answers of hosts that pass for the answers to the next requests: clients got answers
// made for others, and unsafe and keyed requests were sent again because of another request's rejection.
TEST(RigProcesses, HostsAnswerTwiceAndRejectSome) {
  Plan plan = world(34);
  plan.proxies = 3;
  plan.callers = {.rate = 120};
  plan.classes.push_back({.name = "reservation", .idempotency = Idempotency::IdempotentWithKey});
  for (ZonePlan& zone : plan.zones) {
    zone.hosts = 2;
    zone.work = milliseconds(25);
    zone.rejected_every = 10;
  }
  plan.second_answers.every = 20;
  EXPECT_TRUE(keepsTheRules(plan));
}

TEST(RigProcesses, ProxiesAreUpgradedEndedFrozenAndOnesLinkFlaps) {
  Plan plan = world(33);
  plan.steps = {
      {.name = "upgrade", .fault = Fault::Upgrade, .subject = 0, .at = seconds(1)},
      {.name = "upgrade too", .fault = Fault::Upgrade, .subject = 6, .at = seconds(2)},
      {.name = "end", .fault = Fault::End, .subject = 2, .at = seconds(1), .lasting = seconds(1)},
      {.name = "freeze", .fault = Fault::Freeze, .subject = 4, .at = seconds(2), .lasting = seconds(3)},
      {.name = "flap",
       .fault = Fault::Deaf,
       .subject = 7,
       .at = seconds(1),
       .lasting = milliseconds(700),
       .times = 5,
       .every = milliseconds(1400)}};
  EXPECT_TRUE(keepsTheRules(plan));
}

}  // namespace
}  // namespace client_proxy::rig
