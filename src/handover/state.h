// What a process knows that the one in its place must know from its first request on. A value, and its text.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "weldflow/balancer.h"

namespace quinceline::handover {

struct State {
  std::string hosts;  // the list, in discovery's form; empty: none was known
  std::vector<weldflow::Remembered> servers;
  bool drained = false;
  bool operator==(const State&) const = default;
};

std::string toText(const State& state);
// Throws std::runtime_error with what is wrong; nothing of a state that is not whole is used.
State fromText(std::string_view text);

}  // namespace quinceline::handover
