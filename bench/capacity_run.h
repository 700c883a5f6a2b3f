// What a fleet of one size costs and how fast it follows, measured.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "capacity_table.h"
#include "rig/mixed_fleet.h"

namespace client_proxy::capacity {

// The operators' limits for what a proxy spends on control.
constexpr double kMostBytesASecond = 8000, kMostCpuMillisecondsASecond = 19, kMostMegabytes = 32;

struct Programs {
  std::string proxy, hollow;
};

struct Phases {
  std::chrono::seconds first{10};    // measured from when all agree
  std::chrono::seconds records{12};  // from the start until the members' records have gone round
  std::chrono::seconds rest{12};     // measured then
  std::size_t crashes = 3;
};
// Records are told at most once in 0.2 s a live member (docs/design-fleet.md); some seconds more for the
// last.
Phases phasesFor(std::size_t members);

// Two readings of all members' counters, and what lies between.
class Interval {
 public:
  using Pick = std::function<double(const fleet_transport::MembershipService::Traffic&)>;
  Interval(std::vector<rig::MemberTraffic> before, std::vector<rig::MemberTraffic> after);
  // Per second, of each member that is in both and that `who` takes.
  std::vector<double> rates(const Pick& what,
                            const std::function<bool(const rig::MemberTraffic&)>& who) const;
  const std::vector<rig::MemberTraffic>& after() const { return after_; }

 private:
  std::vector<rig::MemberTraffic> before_, after_;
};

double meanOf(const std::vector<double>& values);
double quantileOf(std::vector<double> values, double part);

// Looks for a change in the views of all: seldom where looking costs much.
std::chrono::milliseconds lookEvery(std::size_t members);

// Starts a fleet of this plan, measures it, and adds a column to the table. Throws std::runtime_error where
// the fleet does not agree, with what its members hold.
void measureSize(const Programs& programs, const rig::MixedPlan& plan, const Phases& phases, Table& table);

// The same for the leases alone: what a keeper and others send and get when services are on.
void measureLeases(const Programs& programs, const rig::MixedPlan& plan, Table& table);

// Prints, once in `step`, what a member sent on average since the last line, for so long from the start.
void traceSize(const Programs& programs, const rig::MixedPlan& plan, std::chrono::seconds lasting,
               std::chrono::seconds step);

}  // namespace client_proxy::capacity
