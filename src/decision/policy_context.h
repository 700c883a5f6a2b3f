// State shared by all components of the policy: settings, the time of the current event, the random number
// generator, this client's load, and the log.
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
  Time now = 0;                         // of the current event; never decreases
  std::int32_t attempts_in_flight = 0;  // of this client, at all endpoints
  double mean_in_flight = 0;  // attempts in flight plus the arriving request, averaged over arrivals

  const RequestClass& classOf(std::int32_t request_class) const {
    return settings.classes[static_cast<std::size_t>(request_class)];
  }
  // To be called at each arrival.
  void updateMeanInFlight() { mean_in_flight += 0.1 * (attempts_in_flight + 1 - mean_in_flight); }
  // `duration` with a jitter of up to 25 % either way, so that clients that fail together do not return
  // together.
  double jittered(double duration) { return duration * (0.75 + 0.5 * random.unit()); }
  void setTimer(Time when, std::uint64_t timer, Actions& out) const {
    out.push_back({.kind = ActionKind::SetTimer, .time = std::max(when, now + 1), .timer = timer});
  }
};

// Writes log lines about state changes, at most one of each kind per second; the rest are dropped.
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
  std::array<Time, static_cast<std::size_t>(Kind::Count)> next_{};  // earliest time of the next line
};

}  // namespace load_balancer::policy
