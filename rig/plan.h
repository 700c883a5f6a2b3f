// What a run consists of: proxies, the hosts behind them by zone, who calls, and which faults come when.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace client_proxy::rig {

using Span = std::chrono::microseconds;

enum class Idempotency : std::uint8_t {
  Idempotent,
  NonIdempotent,
  IdempotentWithKey
};  // Keyed: a zone's hosts drop repeats

struct ClassPlan {
  std::string name;
  Idempotency idempotency = Idempotency::Idempotent;
  Span latency_objective{800'000}, deadline{2'500'000};
  double share = 1;        // of the calls, beside the other classes' shares
  Span window{1'500'000};  // of a keyed one: so long hosts drop repeats, and callers ask again no later
};

struct ZonePlan {
  std::string name, region;
  std::size_t hosts = 4, cores = 2, queue = 64;
  Span work{10'000};               // of one request on one core, at the mean; falls by e as a rule (M/M/c)
  std::size_t rejected_every = 0;  // one request of so many is rejected, as by a full queue; 0: none
};

struct CallersPlan {
  double rate = 4;             // a second at each proxy, at the mean over all
  std::size_t busy_every = 0;  // every so many-th proxy is called more often; 0: none
  double busy_times = 5;       // so many times as often as the others
};

enum class Fault : std::uint8_t {
  Kill,       // SIGKILL; then its start
  Freeze,     // SIGSTOP; then SIGCONT
  End,        // SIGTERM; then its start
  Terminate,  // SIGTERM, and SIGKILL at its earliest; its application uses open connections until then
  Upgrade,    // one more process takes its place, and the old one is ended
  HostsCut,   // the hosts of a zone from all other zones' proxies; proxies hear one another. Then healed
  Cut,        // a zone from all others, proxies, hosts and discovery; then healed
  Deaf,       // datagrams from a proxy are lost, those to it are not; then healed
  Loss,       // so many parts of one of all datagrams; then none
  HostKill,   // a host ends with resets; then its cold start
  HostLeave,  // a host drains; then it is active again
  Discovery,  // discovery is down; then up
  Burst,      // applications call `part` times as often; then as before
};

struct Step {
  std::string name;
  Fault fault = Fault::Kill;
  std::size_t subject = 0;  // the proxy, zone or host
  double part = 0;          // of a loss; of a burst its factor
  Span at{0};
  Span lasting{0};  // then it is undone; 0: it stays
  std::size_t times = 1;
  Span every{0};
};

// How hosts start, and what overloads one that has just started; as the settings state it.
struct SlowStartPlan {
  double initial_capacity = 0.3;
  Span duration{8'000'000};
  double overload_factor = 3;
  Span overload_window{2'000'000};
};

// Hosts far from their proxies, some of whose answers come twice.
struct SecondAnswerPlan {
  std::size_t every = 0;  // one answer of so many has a copy; 0: none
  Span delay{5'000};      // between an answer and its copy
  // Over `delay`: nothing that the answer brought about reaches the host before the copy.
  Span round_trip{16'000};
};

// What one zone alone may run at a time.
struct ServicePlan {
  std::string name, request_class;
  std::size_t home = 0, stand_by = 0;
  std::string path{};  // of its route; empty: any
};

struct Plan {
  std::uint64_t seed = 1;
  std::size_t proxies = 12;
  Span lasting{10'000'000};  // how long callers call
  CallersPlan callers;
  std::vector<ClassPlan> classes;
  std::vector<ZonePlan> zones;
  SlowStartPlan slow_start;
  SecondAnswerPlan second_answers;
  Span host_clock_error{0};              // of the clocks by which hosts tell when they started
  std::vector<std::string> environment;  // of the proxies, further variables
  std::vector<Step> steps;
  std::vector<ServicePlan> services;
  Span lease{1'000'000};
  bool memory = true;  // where there are services: the proxies remember over a kill

  // Of fleets that are partly hollow (rig/mixed_fleet.h).
  std::size_t hollow = 0;      // the first members are no processes of the program
  bool operator_file = false;  // each process gets one, also where there are no services
  bool relay_all = true;       // false: members of one region reach one another without the relay
  std::string discovery{};     // "address:port" for all proxies where there is no site; empty: nobody

  // SIGKILL comes this long after SIGTERM, at the earliest (PROTOCOL).
  Span killedAfter() const {
    constexpr Span kLongestCounted{3'000'000}, kMore{700'000};
    Span longest{0};
    for (const ClassPlan& c : classes) longest = std::max(longest, c.deadline);
    return std::min(longest, kLongestCounted) + kMore;
  }
  std::size_t hosts() const {
    std::size_t n = 0;
    for (const ZonePlan& z : zones) n += z.hosts;
    return n;
  }
  std::size_t zoneOfHost(std::size_t host) const {
    std::size_t z = 0;
    while (host >= zones[z].hosts) host -= zones[z++].hosts;
    return z;
  }
  // Members of the fleet are spread over the zones in turn.
  std::size_t zoneOfProxy(std::size_t proxy) const { return proxy % zones.size(); }
};

constexpr Span kDrainGrace{2'000'000};

}  // namespace client_proxy::rig
