// How much of what arrives is refused at once under overload, and of whom; what answers usually take.
#pragma once

#include "concurrency_limit.h"
#include "state.h"

namespace load_balancer::decision {

class Shedding {
 public:
  explicit Shedding(Context& context) : c_(context) { fit(); }
  void fit() {
    latency_.resize(c_.settings.classes.size());
    tenant_recent_.resize(c_.settings.tenants.size());
    level_recent_.resize(2 * c_.settings.classes.size());
  }
  // What was learnt of a class says nothing of another in its place.
  void forgetClass(std::size_t i) { latency_[i] = level_recent_[2 * i] = level_recent_[2 * i + 1] = 0; }
  std::size_t classes() const { return latency_.size(); }

  void learn(Server& s, std::int32_t cls, const Outcome& o) {
    double& usual = latency_[static_cast<std::size_t>(cls)];
    const auto taken = static_cast<double>(std::max<Time>(o.latency, 1));
    if (usual == 0) usual = taken;
    const double ratio = std::min(8.0, taken / usual);
    usual += 0.05 * (taken - usual);
    s.latency_ratio += 0.1 * (ratio - s.latency_ratio);
  }

  static double lateness(const RequestClass& c, const Outcome& o) {
    const double part = static_cast<double>(o.latency) / static_cast<double>(c.latency_objective);
    return std::clamp((part - kLateFrom) / (1 - kLateFrom), 0.0, 1.0);
  }
  // What an attempt's lateness says of the load of all.
  void follow(double late, const Server& s, Actions& out) {
    late /= std::max(1.0, s.latency_ratio);  // a slow server's lateness is its own, not the fleet's
    limit_.adapt((kLateTarget - late) / kLateTarget, c_.demand);
    const bool noted = limit_.refused() > (noted_ ? kShedNoted / 2 : kShedNoted);
    if (noted != noted_) c_.trace(out, Context::Line::Shedding, noted ? "shedding begun" : "shedding ended");
    noted_ = noted;
  }

  // Beyond the limit a part is refused before it costs anything: first what is beyond a tenant's share, then
  // half of it by worth for the time it takes, half from all alike, so that no class starves.
  bool shed(const Request& q) {
    const bool over = overShare(q.tenant);
    for (double& l : level_recent_) l *= kRecent;
    const auto level = 2 * static_cast<std::size_t>(q.request_class) + (over ? 1U : 0U);
    level_recent_[level] += 1;
    const double part = limit_.onArrival(c_.in_flight);
    if (part <= 0) return false;
    const bool by_worth = c_.random.unit() < 0.5;
    double lower = 0, same = 0, all = 0;
    for (std::size_t l = 0; l < level_recent_.size(); ++l) {
      all += level_recent_[l];
      if (weightOf(l, by_worth) < weightOf(level, by_worth)) {
        lower += level_recent_[l];
      } else if (!(weightOf(level, by_worth) < weightOf(l, by_worth))) {
        same += level_recent_[l];
      }
    }
    return lower + c_.random.unit() * same < part * all;
  }

  static constexpr double kFullLate = 0.35;  // a full server: overload once more than half are full

 private:
  static constexpr double kRecent = 0.99;     // the mix of arrivals is taken over the last hundred
  static constexpr double kLateFrom = 0.4;    // an answer after this part of its aim begins to count as late
  static constexpr double kLateTarget = 0.2;  // so much lateness on average is a full fleet; more is a queue
  static constexpr double kShedNoted = 0.1;   // of arrivals: less is a busy hour's noise, not worth a line

  // By lot: the part of a tenant's requests that is beyond its share here.
  bool overShare(std::int32_t tenant) {
    if (tenant < 0 || static_cast<std::size_t>(tenant) >= tenant_recent_.size()) return false;
    for (double& t : tenant_recent_) t *= kRecent;
    tenant_total_ = tenant_total_ * kRecent + 1;
    double& mine = tenant_recent_[static_cast<std::size_t>(tenant)];
    mine += 1;
    const double quota = c_.settings.tenants[static_cast<std::size_t>(tenant)].quota;
    return c_.random.unit() < 1 - quota * tenant_total_ / mine;
  }

  double weightOf(std::size_t level, bool by_worth) const {
    const double share = (level & 1U) != 0 ? c_.settings.over_quota_weight : 1;
    if (!by_worth) return share;
    const std::size_t cls = level / 2;
    const RequestClass& c = c_.settings.classes[cls];
    return share * c.priority_weight /
           (latency_[cls] > 0 ? latency_[cls] : static_cast<double>(c.latency_objective) / 2);
  }

  Context& c_;
  std::vector<double> latency_;                       // by class, mean of answers; 0: none yet
  std::vector<double> tenant_recent_, level_recent_;  // arrivals; by class, within and beyond the share
  double tenant_total_ = 0;
  ConcurrencyLimit limit_;  // on own requests in flight
  bool noted_ = false;
};

}  // namespace load_balancer::decision
