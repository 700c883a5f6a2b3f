#include "slow_start_rule.h"

#include <deque>
#include <map>
#include <optional>

#include "slow_start_budget.h"

namespace client_proxy::rig {
namespace {

// One host from one start to its next.
class SlowStartWindow {
 public:
  SlowStartWindow(const SlowStartPlan& plan, double warm_rate, double started)
      : plan_(plan), warm_rate_(warm_rate), started_(started) {}

  // Returns the window that ends here, as a part of its bound; nothing where slow start is over.
  std::optional<double> onReached(double at) {
    const std::chrono::duration<double> age(at - started_);
    if (age > plan_.duration) return std::nullopt;
    reached_.push_back(at);
    const double window = std::chrono::duration<double>(plan_.overload_window).count();
    while (reached_.front() <= at - window) reached_.pop_front();
    const double most = mostInWindow(plan_, warm_rate_, std::chrono::duration_cast<Span>(age));
    return static_cast<double>(reached_.size()) / most;
  }
  double started() const { return started_; }
  bool overloaded = false;

 private:
  const SlowStartPlan plan_;
  const double warm_rate_;
  const double started_;
  std::deque<double> reached_;
};

double warmRate(const Plan& plan, std::size_t host) {
  const ZonePlan& zone = plan.zones[plan.zoneOfHost(host)];
  return static_cast<double>(zone.cores) / std::chrono::duration<double>(zone.work).count();
}

}  // namespace

SlowStartVerdict judgeSlowStart(const std::vector<Event>& events, const Plan& plan) {
  SlowStartVerdict verdict;
  std::map<int, SlowStartWindow> starts;
  for (const Event& event : events) {
    if (event.what == Event::What::Started) {
      starts.erase(event.host);
      const double rate = warmRate(plan, static_cast<std::size_t>(event.host));
      starts.emplace(event.host, SlowStartWindow(plan.slow_start, rate, event.at));
    }
    const auto it = starts.find(event.host);
    if (event.what != Event::What::Reached || it == starts.end()) continue;
    const std::optional<double> window = it->second.onReached(event.at);
    if (!window) continue;
    ++verdict.reached;
    verdict.worst_window = std::max(verdict.worst_window, *window);
    if (*window <= 1 || it->second.overloaded) continue;
    it->second.overloaded = true;
    verdict.broken.push_back("host " + std::to_string(event.host) + ", " +
                             std::to_string(event.at - it->second.started()) +
                             " s after its start: a window of " + std::to_string(*window) + " of its bound");
  }
  return verdict;
}

}  // namespace client_proxy::rig
