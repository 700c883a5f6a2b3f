#include "capacity_faults.h"

#include <algorithm>
#include <cstdio>
#include <stdexcept>
#include <thread>

namespace client_proxy::capacity {
namespace {

using rig::MixedFleet;
using Clock = std::chrono::steady_clock;
using Numbers = MixedFleet::Numbers;

constexpr std::chrono::seconds kLimit{120};
constexpr std::size_t kRack = 18, kRestarts = 72;
constexpr std::chrono::milliseconds kBetweenRestarts{500};
constexpr std::chrono::seconds kDiscoveryGone{10}, kCutFor{15}, kLossFor{30};

class FaultRun {
 public:
  FaultRun(const Programs& programs, const rig::MixedPlan& plan, Table& table)
      : fleet_(programs.proxy, programs.hollow, plan), table_(table) {}

  // Until what follows a start is over, so that a fault is seen by itself.
  void start() {
    const auto began = Clock::now();
    fleet_.startAll();
    if (agreeAgain(fleet_.all()) < 0) throw std::runtime_error("not of one view after the start");
    std::this_thread::sleep_until(began + phasesFor(fleet_.plan().members).records);
  }
  void run(FaultKind fault) {
    fault_ = fault;
    switch (fault) {
      case FaultKind::Rack:
        return crashAndReturn(rack());
      case FaultKind::Zone:
        return crashAndReturn(fleet_.which([&](std::size_t n) { return fleet_.zoneOf(n) == kZone; }));
      case FaultKind::Region:
        return cutAndHeal();
      case FaultKind::Restarts72:
        return restarts();
      case FaultKind::Discovery:
        return discoveryGone();
      case FaultKind::Loss:
        return loss();
    }
  }

 private:
  static constexpr const char* kZone = "b";

  Numbers rack() const {
    Numbers rack;
    for (const std::size_t n : fleet_.which([&](std::size_t m) { return fleet_.zoneOf(m) == kZone; })) {
      if (rack.size() < kRack) rack.insert(n);
    }
    return rack;
  }
  Numbers without(const Numbers& gone) const {
    return fleet_.which([&](std::size_t n) { return !gone.contains(n); });
  }
  void note(const std::string& what, double value, const char* unit = "s",
            std::optional<double> budget = std::nullopt) {
    const std::string name =
        "fault " + std::string(kFaultNames[static_cast<std::size_t>(fault_)]) + ": " + what;
    std::fprintf(stderr, "%s %.2f %s\n", name.c_str(), value, unit);  // a run that is cut short tells so far
    table_.set(name, unit, fleet_.plan().members, value, budget);
  }
  // -1 in the table: not within the limit.
  double agreeAgain(const Numbers& live) {
    return MixedFleet::until([&] { return fleet_.agree(live, live.size()); },
                             lookEvery(fleet_.plan().members), kLimit);
  }
  void noteWorstSecond(const std::string& while_) {
    std::uint64_t out = 0, in = 0, keeper_out = 0;
    const Numbers keepers = fleet_.keepers();
    for (const rig::MemberTraffic& m : fleet_.traffic()) {
      const bool keeper = fleet_.plan().services > 0 && keepers.contains(m.number);
      if (keeper) keeper_out = std::max(keeper_out, m.worst_out);
      if (keeper) continue;
      out = std::max(out, m.worst_out);
      in = std::max(in, m.worst_in);
    }
    note(while_ + ", worst second out of any hollow", static_cast<double>(out), "B/s", kMostBytesASecond);
    note(while_ + ", worst second in of any hollow", static_cast<double>(in), "B/s", kMostBytesASecond);
    if (fleet_.plan().services > 0)
      note(while_ + ", worst second out of a keeper", static_cast<double>(keeper_out), "B/s",
           kMostBytesASecond);
    fleet_.resetWorstSeconds();
  }

  void crashAndReturn(const Numbers& gone) {
    const Numbers rest = without(gone);
    fleet_.resetWorstSeconds();
    fleet_.crash(gone);
    note(std::to_string(gone.size()) + " gone, until all others agree", agreeAgain(rest));
    noteWorstSecond("gone");
    fleet_.start(gone);
    note("back, until all agree", agreeAgain(fleet_.all()));
    noteWorstSecond("back");
  }

  void cutAndHeal() {
    const Numbers north = fleet_.which([&](std::size_t n) { return fleet_.regionOf(n) == "north"; });
    fleet_.resetWorstSeconds();
    const auto began = Clock::now();
    fleet_.cutRegions(true);
    const Numbers south = without(north);
    note("cut, until each side has one view",
         MixedFleet::until(
             [&] { return fleet_.agree(north, north.size()) && fleet_.agree(south, south.size()); },
             lookEvery(fleet_.plan().members), kLimit));
    noteWorstSecond("cut");
    std::this_thread::sleep_until(began + kCutFor);
    fleet_.resetWorstSeconds();
    fleet_.cutRegions(false);
    note("healed, until all agree", agreeAgain(fleet_.all()));
    noteWorstSecond("healed");
  }

  void restarts() {
    const std::size_t members = fleet_.plan().members;
    fleet_.resetWorstSeconds();
    for (std::size_t i = 0; i < kRestarts; ++i) {
      const std::size_t n = (i * 10 + 7) % members;
      fleet_.crash({n});
      std::this_thread::sleep_for(kBetweenRestarts);
      fleet_.start({n});
    }
    note("after the last, until all agree", agreeAgain(fleet_.all()));
    noteWorstSecond("meanwhile");
  }

  void discoveryGone() {
    const std::size_t hollow = fleet_.hollow();
    const auto allWatch = [&] { return fleet_.watching() == hollow; };
    const auto wait = [&] { return MixedFleet::until(allWatch, lookEvery(fleet_.plan().members), kLimit); };
    note("all started, until all hollow watch", wait());
    const std::uint64_t calls = fleet_.discovery().calls(), bytes = fleet_.discovery().bytesOut();
    fleet_.discovery().set(false);
    std::this_thread::sleep_for(kDiscoveryGone);
    fleet_.discovery().set(true);
    note("back, until all hollow watch", wait());
    note("calls taken after it", static_cast<double>(fleet_.discovery().calls() - calls), "");
    note("bytes it sent", static_cast<double>(fleet_.discovery().bytesOut() - bytes), "B");
    noteWorstSecond("meanwhile");
  }

  void loss() {
    fleet_.resetWorstSeconds();
    const auto before = fleet_.traffic();
    std::this_thread::sleep_for(kLossFor);
    const Interval interval(before, fleet_.traffic());
    const auto rates = interval.rates([](const auto& t) { return static_cast<double>(t.bytes_out); },
                                      [](const rig::MemberTraffic& m) { return m.hollow; });
    note("bytes out a hollow", meanOf(rates), "B/s", kMostBytesASecond);
    noteWorstSecond("meanwhile");
    const std::size_t victim = fleet_.plan().members / 2;
    const Numbers rest = without({victim});
    fleet_.crash({victim});
    note("a crash known to all", MixedFleet::until([&] { return fleet_.count(rest, rest.size()); },
                                                   lookEvery(fleet_.plan().members), kLimit));
  }

  MixedFleet fleet_;
  FaultKind fault_ = FaultKind::Rack;
  Table& table_;
};

}  // namespace

FaultKind faultOf(std::string_view name) {
  for (std::size_t i = 0; i < std::size(kFaultNames); ++i) {
    if (kFaultNames[i] == name) return static_cast<FaultKind>(i);
  }
  throw std::runtime_error("no such fault: " + std::string(name));
}

void measureFaults(const Programs& programs, const rig::MixedPlan& plan, const std::vector<FaultKind>& faults,
                   Table& table) {
  std::vector<FaultKind> on_one_fleet, on_its_own;
  for (const FaultKind f : faults) (f == FaultKind::Loss ? on_its_own : on_one_fleet).push_back(f);
  const auto run = [&](const rig::MixedPlan& of, const std::vector<FaultKind>& which) {
    if (which.empty()) return;
    FaultRun fleet(programs, of, table);
    fleet.start();
    for (const FaultKind f : which) fleet.run(f);
  };
  run(plan, on_one_fleet);
  rig::MixedPlan lossy = plan;
  lossy.loss = kLossOfFault;
  run(lossy, on_its_own);
}

}  // namespace client_proxy::capacity
