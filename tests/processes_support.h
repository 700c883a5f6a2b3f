// Fixture of the process tests: a plan's stand-in hosts, the proxies in front of them, and the clients that
// call the proxies.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "rig/callers.h"
#include "rig/fleet_rig.h"
#include "rig/rules.h"
#include "rig/site.h"

namespace client_proxy::rig {

class PlannedProcesses : public ::testing::Test {
 protected:
  explicit PlannedProcesses(Plan p) : plan(std::move(p)) {}

  // Starts the calls of the plan's clients.
  void call() {
    std::vector<Callers::Endpoint> at;
    for (std::size_t n = 0; n < plan.proxies; ++n) at.push_back(fleet.listensForCalls(n));
    callers = std::make_unique<Callers>(plan, at, record);
  }
  // The proxies of all zones but this one.
  std::set<std::size_t> outside(std::size_t zone) const {
    std::set<std::size_t> rest;
    for (std::size_t n = 0; n < plan.proxies; ++n) {
      if (plan.zoneOfProxy(n) != zone) rest.insert(n);
    }
    return rest;
  }
  // Stops the calls and returns the broken rules, one a line; empty if all were kept.
  std::string keptTheRules() {
    callers->stop();
    std::string all;
    for (const std::string& b : judge(record.events()).broken) all += b + "\n";
    return all;
  }

  const Plan plan;
  Record record;
  Site site{plan, record};
  FleetRig fleet{CLIENT_PROXY_PROGRAM, plan, site};
  std::unique_ptr<Callers> callers;
};

}  // namespace client_proxy::rig
