// What every part of the module goes by: the settings, the time of the event at hand, chance, lines for
// staff; and what is known of one server, and of one request at servers.
#pragma once

#include <algorithm>
#include <array>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "load_balancer/balancer.h"
#include "random/random.h"

namespace load_balancer::decision {

constexpr Time kSecond = 1'000'000;

struct Context {
  Settings settings;
  Random random{0};
  Time now = 0;
  std::int32_t in_flight = 0;  // own attempts that have no outcome yet
  double demand = 0;           // the same, averaged over arrivals

  // A clock may start anywhere; later, a time that runs backwards is no time at all. True: this is the start.
  bool begin(Time t) {
    const bool first = !std::exchange(begun, true);
    if (first) now = t, next_trace.fill(t);
    now = std::max(now, t);
    return first;
  }

  // A line for staff at a change of state; at most one of each kind a second.
  enum class Line : std::uint8_t { Ejected, Readmitted, Lengthened, Shedding, Listing, Zoned };
  void trace(Actions& out, Line line, std::string text) {
    Time& next = next_trace[static_cast<std::size_t>(line)];
    if (now < next) return;
    next = now + kSecond;
    out.push_back({.kind = ActionKind::Log, .text = std::move(text)});
  }

  void setTimer(Actions& out, Time when, std::uint64_t timer) const {
    out.push_back({.kind = ActionKind::SetTimer, .time = std::max(when, now + 1), .timer = timer});
  }

  bool begun = false;
  std::array<Time, 6> next_trace{};
};

struct Server {
  Host host;
  bool listed = false, named = false;
  bool banned = false;  // taken out by hand: nothing new, whatever is listed, until it is put back
  bool member = false;  // of the subset's prefix
  std::int32_t slot = kUnset;
  std::int32_t in_flight = 0;  // this client's attempts that have no outcome yet
  double turn = 0;             // ties go to the lowest; each send adds to it
  double latency_ratio = 1;    // latency relative to what its classes take on average
  Time last_answer = std::numeric_limits<Time>::min();
  double failure_score = 0;  // decaying evidence of failure
  Time failure_score_at = 0;
  bool out = false;           // ejected: passed over like a placeholder
  bool unresponsive = false;  // ejected for silence: it may come back cold
  bool by_zone = false;       // ejected with its whole zone
  bool unproven = false;      // a probe has readmitted it, and no request was answered since
  bool probing = false;
  Time out_since = 0;
  Time out_until = 0;                    // then a probe or a trial may prove it
  Time cold_since = 0;                   // 0: warm
  double cold_tokens = 0, reported = 0;  // reported: requests it held when it last said so
  Time reported_at = std::numeric_limits<Time>::min();
  Time cold_refilled = 0;

  // Neither discovery nor staff want it left alone.
  bool inService() const { return listed && host.state == HostState::Healthy && !banned; }
  // New requests may go to it as a matter of course.
  bool usable() const { return inService() && !out; }
};

enum class Run : std::uint8_t { Outstanding, MayHaveRun, NeverRan };

struct Attempt {
  Server* server = nullptr;
  std::int32_t zone = 0, cell = 0;
  Time sent = 0;
  Run run = Run::Outstanding;
  bool by_report = false;  // sent there because of the load it reported
  Time cold_since = 0;     // the server's, when it was chosen
};

struct Live {  // a request that is unanswered or has attempts out
  RequestId id = 0;
  std::uint64_t timer = 0;
  bool ended = false, streaming = false, asking = false;
  bool faulty = false;  // a server found fault with it: repeating is of no use
  std::int32_t request_class = 0;
  Time arrived = 0, deadline = 0, give_up = 0;
  std::vector<Attempt> attempts;
  std::int32_t outstanding = 0;
  std::int64_t key = kUnset;
  std::int32_t required_zone = kUnset;
  Time asking_since = 0;
  std::vector<Server*> asked;  // for their load, before the next send

  bool tried(const Server& s) const {
    return std::any_of(attempts.begin(), attempts.end(), [&](auto& a) { return a.server == &s; });
  }
};

}  // namespace load_balancer::decision
