// Plans with faults that overlap, drawn from a seed: the same every time.
#pragma once

#include <cstdint>

#include "plan.h"

namespace client_proxy::rig {

Plan randomPlan(std::uint64_t seed);

}  // namespace client_proxy::rig
