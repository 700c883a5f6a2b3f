// What the loss of a zone costs, with processes of the program: each for itself, and decided in common.
//
//     bench_zones MEMBERS [SEED] [LOAD] [verbose]
//
// Verbose: what the members say of zones, too.
//
// Twelve hosts in each of three zones, LOAD (0.54) of what they can; the hosts of one fall silent for 10 s.
// The members talk over a relay that loses nothing.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <sstream>
#include <string>
#include <unordered_map>

#include "rig/run.h"

namespace {

using namespace client_proxy::rig;

constexpr int kLost = 8, kBack = 18, kEnd = 34;  // seconds

Plan world(std::size_t members, std::uint64_t seed, double load) {
  Plan plan;
  plan.seed = seed;
  plan.proxies = members;
  plan.lasting = std::chrono::seconds(kEnd);
  plan.classes = {{.name = "slot-status", .share = 3},
                  {.name = "swap-charge", .idempotency = Idempotency::NonIdempotent}};
  for (const char* name : {"a", "b", "c"})
    plan.zones.push_back({.name = name, .region = "south", .hosts = 12, .work = Span(85'000)});
  const double all = load * 36 * 2 / 0.085;
  plan.callers = {.rate = all / static_cast<double>(members), .busy_every = 20, .busy_times = 5};
  plan.steps = {{.name = "hosts of b silent",
                 .fault = Fault::HostsCut,
                 .subject = 1,
                 .at = std::chrono::seconds(kLost),
                 .lasting = std::chrono::seconds(kBack - kLost)}};
  return plan;
}

struct Second {
  int asked = 0, served = 0, lost = 0;
};

void show(const char* what, const Outcome& o, bool verbose) {
  double base = 0;
  for (const Event& e : o.events) {
    if (e.what == Event::What::Asked) {
      base = e.at;
      break;
    }
  }
  std::map<int, Second> seconds;
  std::unordered_map<std::string, int> asked;
  for (const Event& e : o.events) {
    if (e.what == Event::What::Asked) {
      asked[e.id] = static_cast<int>(e.at - base);
      ++seconds[asked[e.id]].asked;
    } else if (e.what == Event::What::Answered || e.what == Event::What::Lost) {
      Second& s = seconds[asked[e.id]];
      ++(e.status == 200 ? s.served : s.lost);
    }
  }
  const auto part = [&](int from, int to) {
    int all = 0, lost = 0;
    for (int s = from; s < to; ++s) all += seconds[s].asked, lost += seconds[s].lost;
    return all == 0 ? 0 : 100.0 * lost / all;
  };
  std::printf(
      "%-24s not served of what was asked: before %.1f %%, in the first 2 s %.1f %%, in the 8 s after %.1f "
      "%%, "
      "in the 6 s after the return %.1f %%; rules broken %zu\n",
      what, part(3, kLost), part(kLost, kLost + 2), part(kLost + 2, kBack), part(kBack, kBack + 6),
      o.verdict.broken.size());
  std::printf("  by second:");
  for (int s = kLost - 1; s < kBack + 4; ++s) std::printf(" %d", seconds[s].lost);
  std::printf("\n");
  // Members that held a zone lost, and how often in all; only b's hosts were ever silent.
  for (const char* zone : {"a", "b", "c"}) {
    const std::string line = std::string("zone state changed zone=") + zone + " state=lost ";
    std::size_t times = 0;
    for (std::size_t at = o.logs.find(line); at != std::string::npos; at = o.logs.find(line, at + 1)) ++times;
    std::printf("  %s held lost %zu times\n", zone, times);
  }
  std::istringstream lines(o.logs);
  for (std::string line; verbose && std::getline(lines, line);) {
    if (line.find("zones:") != std::string::npos || line.find("fleet: member") != std::string::npos)
      std::printf("    %s\n", line.c_str());
  }
  for (std::size_t i = 0; i < std::min<std::size_t>(3, o.verdict.broken.size()); ++i)
    std::printf("  %s\n", o.verdict.broken[i].c_str());
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  const std::size_t members = argc > 1 ? static_cast<std::size_t>(std::atoi(argv[1])) : 0;
  if (members < 3 || members > 400) {
    std::fprintf(stderr, "bench_zones MEMBERS [SEED] [LOAD]: 3 to 400 members\n");
    return 2;
  }
  const auto seed = argc > 2 ? static_cast<std::uint64_t>(std::atoll(argv[2])) : 1;
  const Plan plan = world(members, seed, argc > 3 ? std::atof(argv[3]) : 0.54);
  show("each for itself:", carryOut(CLIENT_PROXY_PROGRAM, plan, false), false);
  show("decided in common:", carryOut(CLIENT_PROXY_PROGRAM, plan, true), argc > 4);
}
