#include "recovery/recovery.h"

#include <algorithm>

namespace client_proxy::recovery {

using load_balancer::Idempotency;

void Recovery::start(Time now, PreviousRun before) {
  started_ = now;
  before_ = before;
}

// One delay for all requests instead of a stored record of each: docs/design-recovery.md compares the costs.
Time Recovery::remainingDelay(Time now) const {
  return before_ == PreviousRun::Interrupted ? std::max<Time>(0, started_ + repeat_window_ - now) : 0;
}

Stage Recovery::stage(Time now, const Facts& f) const {
  if (!f.has_hosts) return Stage::NoEndpoints;
  if (!f.synchronized && !f.services.empty()) return Stage::IdempotentOnly;
  const bool all = std::all_of(f.services.begin(), f.services.end(), [](auto& s) { return s.permit.ok(); });
  if (!all) return Stage::QuorumReached;
  return remainingDelay(now) > 0 ? Stage::IdempotencyKeys : Stage::FullService;
}

std::optional<Time> Recovery::delayAfterRestart(Time now, const load_balancer::RequestClass& of,
                                                bool served) const {
  const Time left = remainingDelay(now);
  if (left == 0 || of.idempotency == Idempotency::Idempotent) return std::nullopt;
  // With a key the hosts discard repeats themselves: either all hosts, or those of one zone, which suffices
  // if the repeat goes to the same zone.
  if (of.idempotency == Idempotency::IdempotentWithKey &&
      (of.deduplication_scope == load_balancer::DeduplicationScope::All ||
       (served && of.deduplication_scope == load_balancer::DeduplicationScope::Zone)))
    return std::nullopt;
  return left;
}

std::vector<Wait> Recovery::waits(Time now, const Facts& f) const {
  std::vector<Wait> all;
  if (!f.has_hosts) all.push_back({"everything", "a list of hosts"});
  if (!f.synchronized && !f.services.empty())
    all.push_back({"promises", "the state of " + std::to_string(f.majority) + " other members, " +
                                   std::to_string(f.synchronized_members) +
                                   " received, and the expiry of earlier promises"});
  std::vector<const Facts::Service*> order;
  for (const Facts::Service& s : f.services) order.push_back(&s);
  std::stable_sort(order.begin(), order.end(),
                   [](auto* a, auto* b) { return a->priority_weight > b->priority_weight; });
  for (const Facts::Service* s : order) {
    switch (s->permit.denial) {
      case leases::Denial::None:
        break;
      case leases::Denial::Draining:
        all.push_back({s->name, "the end of requests that the previous owner may still have in flight",
                       s->permit.wait});
        break;
      case leases::Denial::LeaseExpired:
        all.push_back({s->name, "its owner's notice that a majority has renewed the lease"});
        break;
      default:
        all.push_back({s->name, "an owner"});
    }
  }
  if (const Time left = remainingDelay(now); left > 0)
    all.push_back({"unsafe requests",
                   "the end of the time in which clients may repeat requests sent before the crash", left});
  return all;
}

}  // namespace client_proxy::recovery
