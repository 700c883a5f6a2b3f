// Carries a plan out: stand-ins, proxies and callers, each fault at its time, until every call has ended.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "events.h"
#include "plan.h"
#include "rules.h"
#include "slow_start_rule.h"

namespace client_proxy::rig {

struct Outcome {
  std::vector<Event> events;
  Verdict verdict;
  SlowStartVerdict slow_start;
  std::vector<std::string> violations;  // that the proxies counted themselves
  std::vector<std::size_t> ran;         // by host
  bool agreed = false;                  // all that run held one view at the end
  std::string logs;                     // of the proxies
};

// `allowed`: the settings permit talk between proxies. Throws std::runtime_error where the proxies do not
// come up.
Outcome carryOut(const std::string& program, const Plan& plan, bool allowed = true);

}  // namespace client_proxy::rig
