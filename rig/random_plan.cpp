#include "random_plan.h"

#include "random/random.h"

namespace client_proxy::rig {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Span kFirstFault = seconds(3), kLastFault = seconds(9);
constexpr Span kLasting = seconds(16);  // all faults are over, and hosts are warm again or nearly

class PlanDrawer {
 public:
  explicit PlanDrawer(std::uint64_t seed) : random_(seed) {
    plan_.seed = seed;
    plan_.lasting = kLasting;
  }

  Plan draw() {
    drawFleet();
    drawProxyFaults();
    drawHostFaults();
    drawSurroundings();
    return plan_;
  }

 private:
  bool chance(double part) { return random_.unit() < part; }
  Span between(Span least, Span most) {
    return least + Span(static_cast<Span::rep>(random_.unit() * static_cast<double>((most - least).count())));
  }
  Span when() { return between(kFirstFault, kLastFault); }

  void drawFleet() {
    plan_.proxies = chance(0.25) ? 2 + random_.below(3) : 10 + random_.below(15);
    plan_.classes = {{.name = "slot-status", .share = 3},
                     {.name = "swap-charge", .idempotency = Idempotency::NonIdempotent},
                     {.name = "battery-report", .deadline = milliseconds(1500), .share = 2}};
    for (const char* name : {"a", "b", "c"})
      plan_.zones.push_back(
          {.name = name, .region = "south", .hosts = 4, .queue = 40, .work = milliseconds(40)});
    plan_.slow_start = {.initial_capacity = 0.2 + 0.2 * random_.unit(),
                        .duration = seconds(6 + random_.below(5)),
                        .overload_factor = 2.0 + random_.below(2)};
    // 60 % of what the hosts can do.
    const double all = 0.6 * 12 * 2 / 0.04;
    plan_.callers = {.rate = all / static_cast<double>(plan_.proxies), .busy_every = 7, .busy_times = 3};
  }

  void add(Fault fault, std::size_t subject, Span at, Span lasting, double part = 0) {
    plan_.steps.push_back({.name = "fault " + std::to_string(plan_.steps.size()),
                           .fault = fault,
                           .subject = subject,
                           .part = part,
                           .at = at,
                           .lasting = lasting});
  }

  // Each proxy meets one at the most; many meet it in the same moment, or one after the other.
  void drawProxyFaults() {
    const double part = chance(0.3) ? 0.7 : 0.25;
    const bool in_series = chance(0.5);
    Span at = when();
    for (std::size_t n = 0; n < plan_.proxies; ++n) {
      if (!chance(part)) continue;
      if (in_series) at = std::min<Span>(at + milliseconds(200), kLastFault);
      if (chance(0.5))
        add(Fault::Terminate, n, at, plan_.killedAfter());
      else if (chance(0.7))
        add(Fault::Kill, n, at, between(milliseconds(100), seconds(2)));
      else
        add(Fault::Upgrade, n, at, Span(0));
    }
  }

  void drawHostFaults() {
    const double restarted = chance(0.3) ? 1 : 0.3;
    const Span at = hosts_restart_ = when();
    for (std::size_t n = 0; n < plan_.hosts(); ++n) {
      if (chance(restarted))
        add(Fault::HostKill, n, at, milliseconds(5 + random_.below(200)));
      else if (chance(0.15))
        add(Fault::HostLeave, n, when(), seconds(4));
    }
    if (chance(0.3)) plan_.host_clock_error = chance(0.5) ? -std::chrono::hours(1) : std::chrono::hours(1);
  }

  void drawSurroundings() {
    if (chance(0.5)) add(Fault::Burst, 0, when(), between(seconds(1), seconds(4)), 2 + random_.unit());
    // Not before the starts are told: who has not been told of one is not held to it.
    if (chance(0.3))
      add(Fault::Discovery, 0, hosts_restart_ + seconds(1), between(milliseconds(500), seconds(2)));
  }

  load_balancer::Random random_;
  Plan plan_;
  Span hosts_restart_{0};
};

}  // namespace

Plan randomPlan(std::uint64_t seed) { return PlanDrawer(seed).draw(); }

}  // namespace client_proxy::rig
