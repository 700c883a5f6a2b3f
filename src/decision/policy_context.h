// What all components of the policy share: the settings, the time of the present event, randomness, the load
// of this client, and log lines.
#pragma once

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include "load_balancer/balancer.h"
#include "random/random.h"

namespace load_balancer::policy {

constexpr Time kSecond = 1'000'000;

struct PolicyContext {
  Settings settings;
  Random random{0};
  Time now = 0;                         // of the present event; never runs backwards
  std::int32_t attempts_in_flight = 0;  // of this client, at all endpoints
  double mean_in_flight = 0;            // the same with the one that arrives, averaged over arrivals

  const RequestClass& classOf(std::int32_t request_class) const {
    return settings.classes[static_cast<std::size_t>(request_class)];
  }
  // At each arrival.
  void averageLoad() { mean_in_flight += 0.1 * (attempts_in_flight + 1 - mean_in_flight); }
  // Spreads `duration` over a quarter below and above: clients that fail together do not return together.
  double jittered(double duration) { return duration * (0.75 + 0.5 * random.unit()); }
  void setTimer(Time when, std::uint64_t timer, Actions& out) const {
    out.push_back({.kind = ActionKind::SetTimer, .time = std::max(when, now + 1), .timer = timer});
  }
};

// A line at a change of state; at most one of each kind a second.
class RateLimitedLog {
 public:
  enum class Kind : std::uint8_t {
    Ejected,
    Readmitted,
    SubsetSize,
    Shedding,
    Discovery,
    Zone,
    SlowStart,
    Violation,
    Count
  };

  explicit RateLimitedLog(const PolicyContext& context) : context_(context) {}
  void start(Time now) { next_.fill(now); }
  void write(Kind kind, std::string text, Actions& out) {
    Time& next = next_[static_cast<std::size_t>(kind)];
    if (context_.now < next) return;
    next = context_.now + kSecond;
    out.push_back({.kind = ActionKind::Log, .text = std::move(text)});
  }

 private:
  const PolicyContext& context_;
  std::array<Time, static_cast<std::size_t>(Kind::Count)> next_{};
};

}  // namespace load_balancer::policy
