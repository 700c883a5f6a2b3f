// What a view of the fleet costs and how fast it follows: simulated, and with processes of the program.
//
//     bench_fleet simulated MEMBERS [SEED]   join, crash, return, partition, calm with loss
//     bench_fleet processes MEMBERS          the same with processes, and CPU and memory of each
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "rig/fleet_rig.h"
#include "tests/fleet_sim.h"

namespace {

using client_proxy::fleet::isLive;
using client_proxy::fleet::kNever;
using client_proxy::fleet::kSecond;
using client_proxy::fleet::Number;
using client_proxy::fleet::State;
using client_proxy::fleet::Time;
using client_proxy::fleet::sim::World;
using client_proxy::rig::FleetRig;

void row(const char* what, std::vector<double> seconds) {
  std::sort(seconds.begin(), seconds.end());
  const auto at = [&](double part) {
    return seconds[static_cast<std::size_t>(part * static_cast<double>(seconds.size() - 1))];
  };
  if (!seconds.empty())
    std::printf("%-36s p50 %6.2f s  p99 %6.2f s  most %6.2f s  (%zu)\n", what, at(0.5), at(0.99),
                seconds.back(), seconds.size());
  std::fflush(stdout);
}

double inSeconds(Time t) { return t == kNever ? 999 : static_cast<double>(t) / static_cast<double>(kSecond); }

struct Cost {
  std::uint64_t bytes = 0, datagrams = 0;
};
Cost costOf(const World& w) {
  Cost c;
  for (const auto& n : w.nodes) c.bytes += n.bytes_out, c.datagrams += n.sent;
  return c;
}
void costRow(const char* what, const World& w, const Cost& before, double seconds) {
  const Cost now = costOf(w);
  const double each = seconds * static_cast<double>(w.nodes.size());
  std::printf("%-36s %.0f B/s and %.1f datagrams/s a member\n", what,
              static_cast<double>(now.bytes - before.bytes) / each,
              static_cast<double>(now.datagrams - before.datagrams) / each);
  std::fflush(stdout);
}

void simulated(std::size_t members, std::uint64_t seed) {
  World w(members, seed);
  w.check = false;
  load_balancer::Random random(seed);
  const auto settled = [&] { return w.settled(); };
  w.startAll();
  row("all start at once, until all agree", {inSeconds(w.until(60 * kSecond, settled))});
  w.runFor(60 * kSecond);
  Cost before = costOf(w);
  w.runFor(30 * kSecond);
  costRow("at rest", w, before, 30);
  std::vector<double> crash, back;
  for (int i = 0; i < (members > 500 ? 10 : 40); ++i) {
    const auto n = static_cast<Number>(random.below(static_cast<std::uint32_t>(members)));
    w.kill(n);
    crash.push_back(inSeconds(w.until(30 * kSecond, [&] {
      return w.holding(n, [](State s) { return s == State::Dead; }) == w.running();
    })));
    w.runFor(2 * kSecond);
    w.start(n);
    back.push_back(inSeconds(w.until(30 * kSecond, [&] { return w.holding(n, isLive) == w.running() - 1; })));
    w.runFor(5 * kSecond);
  }
  row("a crash, until all know", crash);
  row("a return, until all know", back);
  w.runFor(20 * kSecond);
  w.cut = [&](Number a, Number b) { return (a < members / 2) != (b < members / 2); };
  w.runFor(30 * kSecond);
  w.cut = [](Number, Number) { return false; };
  before = costOf(w);
  const Time healed = w.until(60 * kSecond, settled);
  row("halves, until all agree again", {inSeconds(healed)});
  costRow("  meanwhile", w, before, inSeconds(healed));
  for (const double loss : {0.0, 0.05, 0.2}) {
    w.link.loss = loss;
    w.runFor(20 * kSecond);
    w.falseDeaths = 0;
    before = costOf(w);
    const Time time = (members > 500 ? 60 : 600) * kSecond;
    w.runFor(time);
    std::printf("calm for %.0f s with %.0f %% loss: %zu false deaths as seen by any\n", inSeconds(time),
                loss * 100, w.falseDeaths);
    costRow("  meanwhile", w, before, inSeconds(time));
  }
}

// User and system time of a process, in milliseconds.
double cpuOf(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/schedstat");
  double nanoseconds = 0;
  in >> nanoseconds;
  return nanoseconds / 1e6;
}

double residentOf(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
  double size = 0, resident = 0;
  in >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

template <typename Holds>
double timeUntil(Holds holds) {
  const auto began = std::chrono::steady_clock::now();
  FleetRig::until(holds);
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
}

void processes(std::size_t members) {
  FleetRig rig(CLIENT_PROXY_PROGRAM, members, 1);
  rig.startAll();
  row("all start, until all agree", {timeUntil([&] { return rig.agree(rig.all()); })});
  std::this_thread::sleep_for(std::chrono::seconds(10));
  const auto before = rig.page(0);
  double cpu = -cpuOf(rig.pid(0));
  std::this_thread::sleep_for(std::chrono::seconds(10));
  cpu += cpuOf(rig.pid(0));
  const auto after = rig.page(0);
  const auto more = [&](const char* key) {
    return (after.at("datagrams").at(key).get<double>() - before.at("datagrams").at(key).get<double>()) / 10;
  };
  std::printf("a member at rest: CPU %.2f ms/s, resident %.1f MB, out %.0f B/s in %.1f datagrams/s\n",
              cpu / 10, residentOf(rig.pid(0)), more("bytes_out"), more("out"));
  std::vector<double> crash, back;
  const auto allSee = [&](std::size_t of, const std::string& state) {
    for (std::size_t n = 0; n < members; ++n) {
      if (n != of && rig.sees(n, of) != state) return false;
    }
    return true;
  };
  for (std::size_t i = 0; i < 10; ++i) {
    const std::size_t n = (7 * i + 3) % members;
    rig.kill(n);
    crash.push_back(timeUntil([&] { return allSee(n, "dead"); }));
    rig.start(n);
    back.push_back(timeUntil([&] { return allSee(n, "alive"); }));
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
  row("a kill, until all pages show it", crash);
  row("a start, until all pages show it", back);
  rig.relay().setCut([&](auto a, auto b) { return (a < members / 2) != (b < members / 2); });
  std::this_thread::sleep_for(std::chrono::seconds(20));
  rig.relay().setCut({});
  row("halves, until all pages agree", {timeUntil([&] { return rig.agree(rig.all()); })});
}

}  // namespace

int main(int argc, char** argv) {
  const std::size_t members = argc > 2 ? static_cast<std::size_t>(std::atoi(argv[2])) : 0;
  if (members >= 2 && members <= 5000 && std::strcmp(argv[1], "simulated") == 0) {
    simulated(members, argc > 3 ? static_cast<std::uint64_t>(std::atoll(argv[3])) : 1);
  } else if (members >= 2 && members <= 400 && std::strcmp(argv[1], "processes") == 0) {
    processes(members);
  } else {
    std::fprintf(stderr, "bench_fleet simulated|processes MEMBERS [SEED]\n");
    return 2;
  }
  return 0;
}
