// Faults in a large fleet: how long until all agree again, and what the worst second costs a member.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "capacity_run.h"

namespace client_proxy::capacity {

enum class FaultKind : std::uint8_t {
  Rack,        // 18 members of one zone crash at once, and return
  Zone,        // all members of a zone crash at once, and return
  Region,      // the regions lose each other, and find each other again
  Restarts72,  // 72 members crash and return, one after the other
  Discovery,   // discovery is gone, and comes back
  Loss,        // 5 % of all datagrams are lost
};
constexpr std::string_view kFaultNames[] = {"rack", "zone", "region", "restarts72", "discovery", "loss"};
constexpr double kLossOfFault = 0.05;

// Throws std::runtime_error for a name that is none.
FaultKind faultOf(std::string_view name);

// Runs these faults one after the other on one fleet, loss on one of its own, and adds rows "fault NAME: ..."
// to the table. Throws std::runtime_error where a fleet does not come up.
void measureFaults(const Programs& programs, const rig::MixedPlan& plan, const std::vector<FaultKind>& faults,
                   Table& table);

}  // namespace client_proxy::capacity
