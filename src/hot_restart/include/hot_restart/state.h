// What a process knows that the one in its place must know from its first request on. A value, and its text.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "admission/duplicate_detector.h"
#include "load_balancer/balancer.h"

namespace client_proxy::hot_restart {

struct State {
  std::string hosts;  // the list, in discovery's form; empty: none was known
  std::vector<load_balancer::HostSnapshot> servers;
  bool drained = false;
  std::vector<admission::RequestRecord> tried;
  bool tells_tried = true;  // it will tell the rest when the new one is ready: all it has, then an empty list
  std::string fleet{};  // what it knows of the other proxies (src/fleet_transport); empty: it does not talk
  // Of the clock that tells the times in here, to the machine's monotonic clock. A process one release older
  // does not say it.
  std::optional<load_balancer::Time> clock_offset{};
  bool operator==(const State&) const = default;
};

// Moves all times, to another clock.
void shiftTimes(State& state, load_balancer::Time by);
void shiftTimes(std::vector<admission::RequestRecord>& tried, load_balancer::Time by);

std::string toText(const State& state);
// Throws std::runtime_error with what is wrong; nothing of a state that is not whole is used.
State fromText(std::string_view text);

// The same for what may not run a second time alone, in pieces of kMostPayload at most each. What would not
// fit into one by itself is left out.
std::vector<std::string> triedToTexts(std::span<const admission::RequestRecord> tried);
std::vector<admission::RequestRecord> triedFromText(std::string_view text);

}  // namespace client_proxy::hot_restart
