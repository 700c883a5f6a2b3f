#include "capacity_run.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <numeric>
#include <stdexcept>
#include <thread>

namespace client_proxy::capacity {
namespace {

using rig::MemberTraffic;
using rig::MixedFleet;
using Traffic = fleet_transport::MembershipService::Traffic;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kAgreeWithin{90};
constexpr double kMostMegabytesOfAll = 11'000;  // of a machine of 24 GB: less than half

double secondsSince(Clock::time_point then) {
  return std::chrono::duration<double>(Clock::now() - then).count();
}

double agreed(double seconds, const char* what, MixedFleet& fleet) {
  if (seconds < 0)
    throw std::runtime_error(std::to_string(fleet.plan().members) + " members: " + what + ": not within " +
                             std::to_string(kAgreeWithin.count()) +
                             " s; live and how many hold that: " + fleet.viewsOfHollow());
  return seconds;
}

bool isKeeper(const MixedFleet& fleet, const MemberTraffic& m) { return fleet.keepers().contains(m.number); }

// What two readings say, as rows that begin with `phase`.
void addTraffic(Table& table, const std::string& phase, const MixedFleet& fleet, const Interval& interval) {
  const std::size_t members = fleet.plan().members;
  const bool leases = fleet.plan().services > 0;
  const auto others = [&](const MemberTraffic& m) { return !leases || !isKeeper(fleet, m); };
  const auto keepers = [&](const MemberTraffic& m) { return leases && isKeeper(fleet, m); };
  const auto hollow = [&](const MemberTraffic& m) { return m.hollow && others(m); };
  const auto add = [&](const std::string& what, const char* unit, double value,
                       std::optional<double> budget = std::nullopt) {
    table.set(phase + ": " + what, unit, members, value, budget);
  };
  const auto bytesOut = [](const Traffic& t) { return static_cast<double>(t.bytes_out); };
  const auto bytesIn = [](const Traffic& t) { return static_cast<double>(t.bytes_in); };
  const auto datagramsOut = [](const Traffic& t) { return static_cast<double>(t.datagrams_out); };
  const auto datagramsIn = [](const Traffic& t) { return static_cast<double>(t.datagrams_in); };

  add("bytes out a member", "B/s", meanOf(interval.rates(bytesOut, others)), kMostBytesASecond);
  add("bytes out, p99 member", "B/s", quantileOf(interval.rates(bytesOut, others), 0.99), kMostBytesASecond);
  add("bytes in a member", "B/s", meanOf(interval.rates(bytesIn, others)), kMostBytesASecond);
  add("bytes in, p99 member", "B/s", quantileOf(interval.rates(bytesIn, others), 0.99), kMostBytesASecond);
  add("datagrams out a member", "1/s", meanOf(interval.rates(datagramsOut, others)));
  add("datagrams in a member", "1/s", meanOf(interval.rates(datagramsIn, others)));
  std::uint64_t worst_out = 0, worst_in = 0;
  for (const MemberTraffic& m : interval.after()) {
    if (!hollow(m)) continue;
    worst_out = std::max(worst_out, m.worst_out);
    worst_in = std::max(worst_in, m.worst_in);
  }
  add("worst second out of any hollow", "B/s", static_cast<double>(worst_out), kMostBytesASecond);
  add("worst second in of any hollow", "B/s", static_cast<double>(worst_in), kMostBytesASecond);
  const auto membership = [](const Traffic& t) {
    return static_cast<double>(t.bytes_out - t.message_bytes_out);
  };
  const auto membershipDatagrams = [](const Traffic& t) {
    return static_cast<double>(t.datagrams_out - t.messages_out);
  };
  add("membership bytes out a hollow", "B/s", meanOf(interval.rates(membership, hollow)), kMostBytesASecond);
  add("membership datagrams out a hollow", "1/s", meanOf(interval.rates(membershipDatagrams, hollow)));
  if (!leases) return;
  add("keeper: bytes out", "B/s", meanOf(interval.rates(bytesOut, keepers)), kMostBytesASecond);
  add("keeper: bytes in", "B/s", meanOf(interval.rates(bytesIn, keepers)), kMostBytesASecond);
  add("keeper: datagrams out", "1/s", meanOf(interval.rates(datagramsOut, keepers)));
  add("keeper: datagrams in", "1/s", meanOf(interval.rates(datagramsIn, keepers)));
}

void addUsage(Table& table, const MixedFleet& fleet, const MixedFleet::Usage& before,
              const MixedFleet::Usage& after, double seconds) {
  const std::size_t members = fleet.plan().members;
  const auto add = [&](const char* what, const char* unit, double value, std::optional<double> budget) {
    table.set(std::string("at rest: ") + what, unit, members, value, budget);
  };
  if (fleet.hollow() > 0) {
    const auto hollow = static_cast<double>(fleet.hollow());
    add("CPU a hollow member", "ms/s", (after.hollow_cpu_ms - before.hollow_cpu_ms) / seconds / hollow,
        kMostCpuMillisecondsASecond);
    add("resident a hollow member", "MB", after.hollow_mb / hollow, kMostMegabytes);
  }
  if (fleet.plan().real > 0) {
    const auto real = static_cast<double>(fleet.plan().real);
    add("CPU a real member", "ms/s", (after.real_cpu_ms - before.real_cpu_ms) / seconds / real,
        kMostCpuMillisecondsASecond);
    add("resident a real member, all of it", "MB", after.real_mb / real, std::nullopt);
  }
  add("CPU of the relay, discovery and bench", "ms/s", (after.own_cpu_ms - before.own_cpu_ms) / seconds,
      std::nullopt);
}

// Members that crash one by one: spread over hollow and real ones, and no keepers.
std::vector<std::size_t> victimsOf(const MixedFleet& fleet, std::size_t crashes) {
  std::vector<std::size_t> victims;
  const std::size_t members = fleet.plan().members, first = fleet.keepers().size();
  for (std::size_t i = 0; i < crashes; ++i)
    victims.push_back(first + (2 * i + 1) * (members - first) / (2 * crashes));
  return victims;
}

void addCrashes(Table& table, MixedFleet& fleet, std::size_t crashes) {
  const std::size_t members = fleet.plan().members;
  std::vector<double> crash, start;
  for (const std::size_t victim : victimsOf(fleet, crashes)) {
    const MixedFleet::Numbers rest = fleet.which([&](std::size_t n) { return n != victim; });
    fleet.crash({victim});
    crash.push_back(agreed(
        MixedFleet::until([&] { return fleet.count(rest, members - 1); }, lookEvery(members), kAgreeWithin),
        "a crash is not known to all", fleet));
    fleet.start({victim});
    start.push_back(agreed(MixedFleet::until([&] { return fleet.agree(fleet.all(), members); },
                                             lookEvery(members), kAgreeWithin),
                           "a start is not known to all", fleet));
  }
  if (crashes == 0) return;
  table.set("a crash known to all, median", "s", members, quantileOf(crash, 0.5));
  table.set("a crash known to all, most", "s", members, quantileOf(crash, 1));
  table.set("a start known to all, median", "s", members, quantileOf(start, 0.5));
  table.set("a start known to all, most", "s", members, quantileOf(start, 1));
}

void checkMemory(const MixedFleet::Usage& usage) {
  if (usage.hollow_mb + usage.real_mb > kMostMegabytesOfAll)
    throw std::runtime_error("the fleet takes more than half of the machine's memory");
}

}  // namespace

Phases phasesFor(std::size_t members) {
  constexpr std::chrono::seconds kLast{8}, kLeastFirst{10}, kMostFirst{60};
  const std::chrono::seconds told(members / 5);
  return {.first = std::clamp(told, kLeastFirst, kMostFirst), .records = told + kLast};
}

Interval::Interval(std::vector<MemberTraffic> before, std::vector<MemberTraffic> after)
    : before_(std::move(before)), after_(std::move(after)) {}

std::vector<double> Interval::rates(const Pick& what,
                                    const std::function<bool(const MemberTraffic&)>& who) const {
  std::map<std::size_t, const MemberTraffic*> earlier;
  for (const MemberTraffic& m : before_) earlier[m.number] = &m;
  std::vector<double> rates;
  for (const MemberTraffic& m : after_) {
    const auto then = earlier.find(m.number);
    if (then == earlier.end() || !who(m)) continue;
    rates.push_back((what(m.counts) - what(then->second->counts)) / (m.at_s - then->second->at_s));
  }
  return rates;
}

double meanOf(const std::vector<double>& values) {
  return values.empty()
             ? 0
             : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

double quantileOf(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1) + 0.5)];
}

std::chrono::milliseconds lookEvery(std::size_t members) {
  return std::chrono::milliseconds(std::clamp<std::size_t>(members / 5, 20, 150));
}

void measureSize(const Programs& programs, const rig::MixedPlan& plan, const Phases& phases, Table& table) {
  const std::size_t members = plan.members;
  MixedFleet fleet(programs.proxy, programs.hollow, plan);
  const auto began = Clock::now();
  fleet.startAll();
  table.set("processes started", "s", members, secondsSince(began));
  const double agree = agreed(
      MixedFleet::until([&] { return fleet.agree(fleet.all(), members); }, lookEvery(members), kAgreeWithin),
      "not of one view after the start", fleet);
  table.set("all started, until all agree", "s", members, agree);

  fleet.resetWorstSeconds();
  auto before = fleet.traffic();
  std::this_thread::sleep_for(phases.first);
  addTraffic(table, "first minute", fleet, Interval(std::move(before), fleet.traffic()));
  std::this_thread::sleep_until(began + phases.records);

  fleet.resetWorstSeconds();
  const MixedFleet::Usage used_before = fleet.usage();
  const auto rest_began = Clock::now();
  before = fleet.traffic();
  std::this_thread::sleep_for(phases.rest);
  auto after = fleet.traffic();
  const MixedFleet::Usage used_after = fleet.usage();
  addTraffic(table, "at rest", fleet, Interval(std::move(before), std::move(after)));
  addUsage(table, fleet, used_before, used_after, secondsSince(rest_began));
  checkMemory(used_after);
  if (plan.services > 0)
    table.set("hollow members that may send to all services", "", members,
              static_cast<double>(fleet.served()));
  table.set("hollow members that watch discovery", "", members, static_cast<double>(fleet.watching()));
  addCrashes(table, fleet, phases.crashes);
}

void measureLeases(const Programs& programs, const rig::MixedPlan& plan, Table& table) {
  constexpr std::chrono::seconds kSettles{20}, kMeasured{12};
  const std::size_t members = plan.members;
  MixedFleet fleet(programs.proxy, programs.hollow, plan);
  const auto began = Clock::now();
  fleet.startAll();
  agreed(
      MixedFleet::until([&] { return fleet.agree(fleet.all(), members); }, lookEvery(members), kAgreeWithin),
      "not of one view after the start", fleet);
  table.set("leases: until all hollow members may send", "s", members,
            agreed(MixedFleet::until([&] { return fleet.served() == fleet.hollow(); }, lookEvery(members),
                                     kAgreeWithin),
                   "services are not served", fleet));
  std::vector<double> datagrams, bytes;
  for (const MemberTraffic& m : fleet.traffic()) {
    datagrams.push_back(static_cast<double>(m.counts.datagrams_out));
    bytes.push_back(static_cast<double>(m.counts.bytes_out));
  }
  table.set("leases: datagrams out a member until then", "", members, meanOf(datagrams));
  table.set("leases: bytes out a member until then", "B", members, meanOf(bytes));
  std::this_thread::sleep_until(began + kSettles);
  fleet.resetWorstSeconds();
  auto before = fleet.traffic();
  std::this_thread::sleep_for(kMeasured);
  addTraffic(table, "leases", fleet, Interval(std::move(before), fleet.traffic()));
}

void traceSize(const Programs& programs, const rig::MixedPlan& plan, std::chrono::seconds lasting,
               std::chrono::seconds step) {
  MixedFleet fleet(programs.proxy, programs.hollow, plan);
  const auto began = Clock::now();
  fleet.startAll();
  auto before = fleet.traffic();
  while (Clock::now() - began < lasting) {
    std::this_thread::sleep_for(step);
    auto after = fleet.traffic();
    const Interval interval(before, after);
    const auto mean = [&](const Interval::Pick& what) {
      return meanOf(interval.rates(what, [](const MemberTraffic& m) { return m.hollow; }));
    };
    std::printf("%zu members, until %5.0f s: membership %6.0f B/s in %5.1f datagrams/s a hollow member\n",
                plan.members, secondsSince(began),
                mean([](const Traffic& t) { return static_cast<double>(t.bytes_out - t.message_bytes_out); }),
                mean([](const Traffic& t) { return static_cast<double>(t.datagrams_out - t.messages_out); }));
    std::fflush(stdout);
    before = std::move(after);
  }
}

}  // namespace client_proxy::capacity
