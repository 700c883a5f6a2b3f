// Holds what reached hosts in slow start against their budget, whoever sent it.
#pragma once

#include <string>
#include <vector>

#include "events.h"
#include "plan.h"

namespace client_proxy::rig {

struct SlowStartVerdict {
  std::vector<std::string> broken;  // one line a host's start
  double worst_window = 0;          // the fullest window, as a part of its bound
  std::size_t reached = 0;          // requests at hosts in slow start
};

SlowStartVerdict judgeSlowStart(const std::vector<Event>& events, const Plan& plan);

}  // namespace client_proxy::rig
