// How a proxy comes back: step by step, by what it knows and not by how long it has been there. No I/O, no
// clock. docs/design-recovery.md says why it is so.
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

// In the order of return. Each holds what the ones before it hold.
enum class Stage : std::uint8_t {
  NoEndpoints,      // no list of hosts: nothing can be served
  IdempotentOnly,   // safe requests; of who owns what this proxy knows its own memory at most
  QuorumReached,    // a majority of the others has told what it knows
  IdempotencyKeys,  // keyed requests of each service that has an owner; what was asked before the cut is told
                    // apart by the hosts
  FullService,      // nothing is held back: no client can ask again what ran before the cut
};
constexpr std::string_view nameOf(Stage s) {
  constexpr std::string_view kNames[] = {"dark", "alone", "heard", "keyed", "whole"};
  return kNames[static_cast<std::size_t>(s)];
}

// How the process before this one ended, as far as anything tells.
enum class PreviousRun : std::uint8_t {
  Unknown,      // there is no memory, or it can't be used
  None,         // this is the first one of this memory
  Clean,        // in order, or it has handed on what it knew
  Interrupted,  // it was running a moment ago: what it sent may have run
};
constexpr std::string_view nameOf(PreviousRun b) {
  constexpr std::string_view kNames[] = {"unknown", "nothing", "ended", "cut short"};
  return kNames[static_cast<std::size_t>(b)];
}

// What is known at a moment.
struct Facts {
  bool has_hosts = false;     // there are hosts
  bool synchronized = false;  // a majority, and what was promised before has run out
  std::size_t synchronized_members = 0, majority = 0;
  struct Service {
    std::string name;
    leases::Permit permit;
    double priority_weight = 0;  // of its classes, at most
  };
  std::vector<Service> services;
};

struct Wait {
  std::string what;   // is not served
  std::string until;  // what has to come
  Time time = 0;      // if that is a time: how long yet
};

class Recovery {
 public:
  // `repeated`: how long a client may ask once more for what it has asked before.
  explicit Recovery(Time repeated) : repeated_(repeated) {}

  void start(Time now, PreviousRun before);
  PreviousRun before() const { return before_; }

  Stage stage(Time now, const Facts& facts) const;
  // How long a request has to stay away; nothing: it may be served, as far as the cut goes. `served`: by a
  // service, whose hosts drop repeats of keys.
  std::optional<Time> delayAfterRestart(Time now, const load_balancer::RequestClass& of, bool served) const;
  // What is not served yet and why, the worthiest service first.
  std::vector<Wait> waits(Time now, const Facts& facts) const;

 private:
  Time fenceLeft(Time now) const;
  const Time repeated_;
  PreviousRun before_ = PreviousRun::Unknown;
  Time started_ = 0;
};

}  // namespace client_proxy::recovery
