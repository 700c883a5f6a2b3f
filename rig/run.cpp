#include "run.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "callers.h"
#include "fleet_rig.h"
#include "site.h"

namespace client_proxy::rig {
namespace {

using Clock = std::chrono::steady_clock;

// After SIGTERM (PROTOCOL).
constexpr std::chrono::milliseconds kStillCalls{300};

struct Due {
  Span at;
  const Step* step;
  bool undo;
};

std::vector<Due> scheduleOf(const Plan& plan) {
  std::vector<Due> all;
  for (const Step& s : plan.steps) {
    for (std::size_t n = 0; n < s.times; ++n) {
      const Span at = s.at + s.every * static_cast<int>(n);
      all.push_back({at, &s, false});
      if (s.lasting.count() > 0) all.push_back({at + s.lasting, &s, true});
    }
  }
  std::stable_sort(all.begin(), all.end(), [](const Due& a, const Due& b) { return a.at < b.at; });
  return all;
}

class Run {
 public:
  Run(const std::string& program, const Plan& plan, bool allowed)
      : plan_(plan),
        allowed_(allowed),
        cut_(plan.zones.size()),
        deaf_(plan.proxies),
        site_(plan, record_),
        fleet_(program, plan, site_, allowed) {
    fleet_.relay().setCut([this](auto from, auto to) {
      const std::size_t a = plan_.zoneOfProxy(from), b = plan_.zoneOfProxy(to);
      return deaf_[from] || (a != b && (cut_[a] || cut_[b]));
    });
  }

  Outcome carryOut() {
    fleet_.startAll();
    live_ = fleet_.all();
    if (!FleetRig::until([&] { return ready(); }))
      throw std::runtime_error("the proxies do not come up:\n" + fleet_.logs());
    std::vector<Callers::Endpoint> at;
    for (std::size_t n = 0; n < plan_.proxies; ++n) at.push_back(fleet_.listensForCalls(n));
    callers_ = std::make_unique<Callers>(plan_, at, record_);
    const auto start = Clock::now();
    for (const Due& due : scheduleOf(plan_)) {
      std::this_thread::sleep_until(start + due.at);
      due.undo ? undo(*due.step) : inject(*due.step);
    }
    std::this_thread::sleep_until(start + plan_.lasting);
    callers_->stop();
    Outcome outcome;
    outcome.agreed = allowed_ && FleetRig::until([&] { return fleet_.agree(live_); });
    outcome.events = record_.events();
    outcome.verdict = judge(outcome.events);
    outcome.slow_start = judgeSlowStart(outcome.events, plan_);
    outcome.ran = site_.ran();
    outcome.violations = violations();
    outcome.logs = fleet_.logs();
    return outcome;
  }

 private:
  // What the proxies' own checks have counted, one line each.
  std::vector<std::string> violations() {
    std::vector<std::string> found;
    for (const std::size_t n : live_) {
      std::istringstream page(fleet_.get(n, "/stats"));
      for (std::string line; std::getline(page, line);) {
        const std::size_t space = line.rfind(' ');
        if (line.rfind("app_rule_violations{", 0) == 0 && line.substr(space + 1) != "0")
          found.push_back("proxy " + std::to_string(n) + ": " + line);
      }
    }
    return found;
  }
  bool ready() {
    for (const std::size_t n : live_) {
      if (!ready(n)) return false;
    }
    return !allowed_ || fleet_.agree(live_);
  }
  bool ready(std::size_t n) {
    return FleetRig::getAt(fleet_.listensForCalls(n), "/healthz").rfind("HTTP/1.1 200", 0) == 0;
  }
  void note(Event::What what, const Step& s) { record_.add({.what = what, .note = s.name}); }

  void inject(const Step& s) {
    note(Event::What::Fault, s);
    const std::size_t n = s.subject;
    switch (s.fault) {
      case Fault::Kill:
        callers_->pause(n);
        callers_->excuse(n);
        fleet_.kill(n);
        callers_->excuse(n);
        live_.erase(n);
        break;
      case Fault::Freeze:
        callers_->excuse(n);
        fleet_.freeze(n);
        live_.erase(n);
        break;
      case Fault::End:
        fleet_.end(n);
        callers_->pause(n, kStillCalls);
        live_.erase(n);
        break;
      case Fault::Terminate:
        fleet_.end(n);
        callers_->keepToOpenConnections(n, kStillCalls);
        live_.erase(n);
        break;
      case Fault::Upgrade:
        fleet_.start(n);
        if (!FleetRig::until([&] { return !fleet_.get(n, "/stats").empty(); }))
          throw std::runtime_error("the new process of proxy " + std::to_string(n) + " does not come up");
        fleet_.end(n);
        break;
      default:
        set(s, true);
    }
  }

  void undo(const Step& s) {
    note(Event::What::Undone, s);
    const std::size_t n = s.subject;
    switch (s.fault) {
      case Fault::End:
        if (!FleetRig::until([&] { return fleet_.ended(n); }))
          throw std::runtime_error("proxy " + std::to_string(n) + " does not end");
        [[fallthrough]];
      case Fault::Terminate:
      case Fault::Kill:
        if (s.fault == Fault::Terminate) {
          callers_->pause(n);
          fleet_.kill(n);
        }
        fleet_.start(n);
        if (!FleetRig::until([&] { return ready(n); }))
          throw std::runtime_error("proxy " + std::to_string(n) + " does not come up again");
        callers_->resume(n);
        live_.insert(n);
        break;
      case Fault::Freeze:
        callers_->excuse(n);
        fleet_.thaw(n);
        live_.insert(n);
        break;
      case Fault::Upgrade:
        break;
      default:
        set(s, false);
    }
  }

  // What is round the processes: broken, or whole again.
  void set(const Step& s, bool broken) {
    const std::size_t n = s.subject;
    switch (s.fault) {
      case Fault::Cut:
        cut_[n] = broken;
        [[fallthrough]];
      case Fault::HostsCut:
        return site_.cut(n, broken);
      case Fault::Deaf:
        deaf_[n] = broken;
        return;
      case Fault::Loss:
        return fleet_.relay().setLink({.loss = broken ? s.part : 0});
      case Fault::HostKill:
        return site_.host(n, !broken);
      case Fault::HostLeave:
        return site_.leave(n, broken);
      case Fault::Discovery:
        return site_.discovery(!broken);
      case Fault::Burst:
        return callers_->setLoad(broken ? s.part : 1);
      default:
        return;
    }
  }

  const Plan plan_;
  const bool allowed_;
  Record record_;
  std::vector<std::atomic<bool>> cut_, deaf_;  // by zone, by proxy; read in the relay's thread
  Site site_;
  FleetRig fleet_;
  std::unique_ptr<Callers> callers_;
  std::set<std::size_t> live_;
};

}  // namespace

Outcome carryOut(const std::string& program, const Plan& plan, bool allowed) {
  return Run(program, plan, allowed).carryOut();
}

}  // namespace client_proxy::rig
