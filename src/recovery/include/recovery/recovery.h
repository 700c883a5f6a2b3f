// How a proxy resumes service after a start: in stages, each entered when its conditions hold and not after a
// fixed time. No I/O, no clock. docs/design-recovery.md explains the design.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "leases/lease_cache.h"
#include "load_balancer/balancer.h"

namespace client_proxy::recovery {

using leases::Time;

// In ascending order: each stage includes the conditions of the ones before.
enum class Stage : std::uint8_t {
  NoEndpoints,      // no list of hosts: nothing can be served
  IdempotentOnly,   // idempotent requests; leases are known from this proxy's own storage at most
  QuorumReached,    // a majority of the other members has sent its state
  IdempotencyKeys,  // every service has an owner, and requests with keys are served: the hosts discard
                    // repeats of those that were sent before the crash
  FullService,      // all requests are served: no client can repeat one that was sent before the crash
};
// The name in pages.
constexpr std::string_view nameOf(Stage s) {
  constexpr std::string_view kNames[] = {"dark", "alone", "heard", "keyed", "whole"};
  return kNames[static_cast<std::size_t>(s)];
}

// How the previous process ended, as far as the storage shows.
enum class PreviousRun : std::uint8_t {
  Unknown,      // there is no storage, or it can't be used
  None,         // the storage was created by this process
  Clean,        // it stopped in an orderly way, or handed its state over to this process
  Interrupted,  // it stopped without notice: requests that it had sent may have been executed
};
// The name in pages and logs.
constexpr std::string_view nameOf(PreviousRun b) {
  constexpr std::string_view kNames[] = {"unknown", "nothing", "ended", "cut short"};
  return kNames[static_cast<std::size_t>(b)];
}

// The inputs of Recovery at one moment.
struct Facts {
  bool has_hosts = false;  // the list of hosts is not empty
  // A majority has sent its state since this process started, and promises of the previous process have
  // expired.
  bool synchronized = false;
  std::size_t synchronized_members = 0, majority = 0;
  struct Service {
    std::string name;
    leases::Permit permit;
    double priority_weight = 0;  // the highest among its request classes
  };
  std::vector<Service> services;
};

// One entry of the list of what is not served yet.
struct Wait {
  std::string what;   // what is not served
  std::string until;  // the condition that ends the wait
  Time time = 0;      // if the condition is a time: the remaining time, in microseconds
};

// The stage of one process, and what the end of the previous process delays.
class Recovery {
 public:
  // `repeat_window`: how long after a request its client may repeat it, in microseconds.
  explicit Recovery(Time repeat_window) : repeat_window_(repeat_window) {}

  // To be called once, when the process starts.
  void start(Time now, PreviousRun before);
  PreviousRun before() const { return before_; }

  Stage stage(Time now, const Facts& facts) const;
  // How long requests of this class have to be delayed after a crash, in microseconds; none: the crash does
  // not delay them. `served`: they belong to a service, whose zone's hosts discard repeats of keys.
  std::optional<Time> delayAfterRestart(Time now, const load_balancer::RequestClass& of, bool served) const;
  // What is not served yet and why; the services by descending priority weight.
  std::vector<Wait> waits(Time now, const Facts& facts) const;

 private:
  Time remainingDelay(Time now) const;
  const Time repeat_window_;
  PreviousRun before_ = PreviousRun::Unknown;
  Time started_ = 0;
};

}  // namespace client_proxy::recovery
