#include "admission/requests.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <string>

namespace client_proxy::admission {
namespace {

constexpr double kDurationWeight = 0.1;  // a moving average over about ten requests of a class
constexpr double kIntervalWeight = 0.1;
constexpr double kAdviceHalfLife = 1e6;  // microseconds, so that the refusals of the last seconds count

}  // namespace

RequestGate::RequestGate(Limits limits)
    : limits_(std::move(limits)),
      classes_(groupsOf(limits_.classes, limits_.open, "classes")),
      tenants_(groupsOf(limits_.tenants, limits_.open, "tenants")),
      typical_duration_(classes_.all.size()) {
  if (!(limits_.retries_part >= 0)) throw std::invalid_argument("retries: the fraction is below 0");
}

void RequestGate::reconfigure(Limits limits) {
  RequestGate fresh(std::move(limits));  // throws before anything has changed
  for (const auto& [id, o] : open_) {
    count(fresh.classes_, o.request_class, true);
    count(fresh.tenants_, o.tenant, true);
  }
  // The last entry is for unknown classes, whatever its index is now.
  const std::size_t kept = std::min(typical_duration_.size(), fresh.typical_duration_.size()) - 1;
  std::copy_n(typical_duration_.begin(), kept, fresh.typical_duration_.begin());
  fresh.typical_duration_.back() = typical_duration_.back();
  limits_ = std::move(fresh.limits_);
  classes_ = std::move(fresh.classes_);
  tenants_ = std::move(fresh.tenants_);
  typical_duration_ = std::move(fresh.typical_duration_);
  queues_.clear();
  for (const auto& [id, w] : waiting_) queues_[classAndTenantOf(w.request)].insert({w.request.deadline, id});
}

RequestGate::Groups RequestGate::groupsOf(const std::vector<Share>& shares, std::size_t limit,
                                          const char* kind) {
  Groups groups;
  for (const Share& share : shares) {
    if (!(share.weight > 0)) throw std::invalid_argument(std::string(kind) + ": a weight is not above 0");
    if (share.guaranteed > share.most)
      throw std::invalid_argument(std::string(kind) + ": a guarantee exceeds the maximum");
    if (share.guaranteed > limit - std::min(limit, groups.unused_guarantees))
      throw std::invalid_argument(std::string(kind) + ": the guarantees exceed the number of places");
    groups.unused_guarantees += share.guaranteed;
    groups.all.push_back({share, 0});
  }
  groups.all.emplace_back();
  return groups;
}

std::size_t RequestGate::indexOf(const Groups& groups, std::int32_t index) {
  return indexOrLast(index, groups.all.size());
}

void RequestGate::count(Groups& groups, std::int32_t index, bool opened) {
  Group& group = groups.all[indexOf(groups, index)];
  if (!opened) --group.open;
  if (group.open < group.share.guaranteed) opened ? --groups.unused_guarantees : ++groups.unused_guarantees;
  if (opened) ++group.open;
}

// A group below its guarantee always finds a place: the other groups leave as many places free as are
// guaranteed and not in use, so that the places in use and these together never exceed the limit.
RejectionReason RequestGate::groupBlockReason(const Groups& groups, std::int32_t index,
                                              RejectionReason own_reason) const {
  const Group& group = groupOf(groups, index);
  if (group.open < group.share.guaranteed) return RejectionReason::None;
  if (group.open >= group.share.most) return own_reason;
  return groups.unused_guarantees > 0 && limits_.open - open_.size() <= groups.unused_guarantees
             ? own_reason
             : RejectionReason::None;
}

RejectionReason RequestGate::blockReason(const AdmissionRequest& request) const {
  if (open_.size() >= limits_.open) return RejectionReason::ConcurrencyLimit;
  // A single request may exceed the limit: otherwise it could never be admitted.
  if (!open_.empty() && request.bytes > limits_.bytes - std::min(limits_.bytes, bytes_))
    return RejectionReason::MemoryLimit;
  const RejectionReason by_class =
      groupBlockReason(classes_, request.request_class, RejectionReason::ClassLimit);
  return by_class != RejectionReason::None
             ? by_class
             : groupBlockReason(tenants_, request.tenant, RejectionReason::TenantLimit);
}

// Limits the requests that clients mark as retries to a fraction of the open ones, as Envoy's retry budget
// does. After an outage all clients retry at once, and first attempts must find room as well.
bool RequestGate::overRetryBudget(const AdmissionRequest& request) const {
  if (!request.retry) return false;
  const std::size_t held = retries_ + waiting_retries_;
  const auto allowed = limits_.retries_part * static_cast<double>(open_.size() - retries_);
  return held >= limits_.retries_least && static_cast<double>(held) >= allowed;
}

RequestGate::ClassAndTenant RequestGate::classAndTenantOf(const AdmissionRequest& request) const {
  return {static_cast<std::int32_t>(indexOf(classes_, request.request_class)),
          static_cast<std::int32_t>(indexOf(tenants_, request.tenant))};
}

double RequestGate::weightOf(const ClassAndTenant& pair) const {
  return groupOf(classes_, pair.first).share.weight * groupOf(tenants_, pair.second).share.weight;
}

// Estimates how long a request waits that joins the queue now.
Time RequestGate::expectedWait() const {
  return static_cast<Time>(release_interval_ * static_cast<double>(waiting_.size() + 1));
}

const RequestGate::ClassAndTenant* RequestGate::longestQueue() const {
  const ClassAndTenant* longest = nullptr;
  double most = 0;
  for (const auto& [pair, queue] : queues_) {
    const double length = static_cast<double>(queue.size()) / weightOf(pair);
    if (length > most) most = length, longest = &pair;
  }
  return longest;
}

RejectionReason RequestGate::checkHead(const AdmissionRequest& request) const {
  if (overRetryBudget(request)) return RejectionReason::RetryBudget;
  const RejectionReason reason = blockReason(request);
  if (reason == RejectionReason::None || waiting_.size() < limits_.waiting) return RejectionReason::None;
  if (limits_.waiting == 0) return reason;
  // The queue is full: the request can displace another only if its class and tenant have fewer queued
  // requests for their weight than the pair with the most.
  const ClassAndTenant own_pair = classAndTenantOf(request), longest = *longestQueue();
  const auto it = queues_.find(own_pair);
  const double own_length =
      static_cast<double>(it == queues_.end() ? 1 : it->second.size() + 1) / weightOf(own_pair);
  return own_length <= static_cast<double>(queues_.at(longest).size() - 1) / weightOf(longest)
             ? RejectionReason::None
             : reason;
}

Verdict RequestGate::offer(Time now, const AdmissionRequest& request, std::vector<Refusal>& refused) {
  decay(now);
  const auto refuse = [&](RejectionReason reason) {
    recent_refused_ += 1;
    return Verdict{AdmissionOutcome::Refused, reason};
  };
  if (const RejectionReason reason = checkHead(request); reason != RejectionReason::None)
    return refuse(reason);
  // A request does not overtake queued ones of its class and tenant, unless those wait for memory.
  const RejectionReason reason = blockReason(request);
  const bool has_queue = queues_.count(classAndTenantOf(request)) > 0 && nextQueued() != nullptr;
  if (reason == RejectionReason::None && !has_queue) {
    admit(now, request);
    return {};
  }
  if (limits_.waiting == 0) return refuse(reason);
  if (now + expectedWait() + typicalDuration(request.request_class) >= request.deadline)
    return refuse(RejectionReason::DeadlineUnreachable);
  if (waiting_.size() >= limits_.waiting) {
    const RequestKey last = queues_.at(*longestQueue()).rbegin()->second;
    dequeue(last);
    recent_refused_ += 1;
    refused.push_back({last, RejectionReason::EvictedFromQueue});
  }
  enqueue(request);
  return {AdmissionOutcome::Queued, RejectionReason::None};
}

void RequestGate::admit(Time now, const AdmissionRequest& request) {
  count(classes_, request.request_class, true);
  count(tenants_, request.tenant, true);
  bytes_ += request.bytes;
  retries_ += request.retry ? 1 : 0;
  recent_admitted_ += 1;
  open_.emplace(request.id, Open{request.request_class, request.tenant, request.bytes, now, request.retry});
}

void RequestGate::enqueue(const AdmissionRequest& request) {
  const Time latest_start = request.deadline - typicalDuration(request.request_class);
  waiting_.emplace(request.id, Waiting{request, latest_start});
  queues_[classAndTenantOf(request)].insert({request.deadline, request.id});
  by_latest_start_.insert({latest_start, request.id});
  waiting_retries_ += request.retry ? 1 : 0;
}

void RequestGate::dequeue(RequestKey id) {
  const auto it = waiting_.find(id);
  const auto& [request, latest_start] = it->second;
  const auto queue = queues_.find(classAndTenantOf(request));
  queue->second.erase({request.deadline, id});
  if (queue->second.empty()) queues_.erase(queue);
  by_latest_start_.erase({latest_start, id});
  waiting_retries_ -= request.retry ? 1 : 0;
  waiting_.erase(it);
}

void RequestGate::release(Time now, RequestKey id) {
  if (waiting_.count(id) > 0) return dequeue(id);
  const auto it = open_.find(id);
  if (it == open_.end()) return;
  const Open& o = it->second;
  Time& typical = typical_duration_[indexOf(classes_, o.request_class)];
  const Time duration = std::max<Time>(now - o.since, 0);
  typical = typical == 0
                ? duration
                : typical + static_cast<Time>(kDurationWeight * static_cast<double>(duration - typical));
  if (!waiting_.empty() && last_release_ != 0) {
    release_interval_ += kIntervalWeight * (static_cast<double>(now - last_release_) - release_interval_);
  }
  last_release_ = waiting_.empty() ? 0 : now;
  count(classes_, o.request_class, false);
  count(tenants_, o.tenant, false);
  bytes_ -= o.bytes;
  retries_ -= o.retry ? 1 : 0;
  open_.erase(it);
}

// The first request of the queue whose class and tenant have the fewest open requests for their weight, among
// the queues that are not blocked. Groups below their guarantee come first.
const AdmissionRequest* RequestGate::nextQueued() const {
  const AdmissionRequest* best = nullptr;
  std::array<double, 3> least{};
  for (const auto& [pair, queue] : queues_) {
    const AdmissionRequest& first = waiting_.at(queue.begin()->second).request;
    if (blockReason(first) != RejectionReason::None) continue;
    const Group &c = groupOf(classes_, pair.first), &t = groupOf(tenants_, pair.second);
    const bool below_guarantee = c.open < c.share.guaranteed || t.open < t.share.guaranteed;
    const std::array<double, 3> rank = {below_guarantee ? 0.0 : 1.0,
                                        static_cast<double>(c.open + 1) / c.share.weight,
                                        static_cast<double>(t.open + 1) / t.share.weight};
    if (best == nullptr || rank < least) best = &first, least = rank;
  }
  return best;
}

void RequestGate::next(Time now, std::vector<RequestKey>& admitted, std::vector<Refusal>& refused) {
  decay(now);
  while (!by_latest_start_.empty() && by_latest_start_.begin()->first <= now) {
    const RequestKey id = by_latest_start_.begin()->second;
    dequeue(id);
    recent_refused_ += 1;
    refused.push_back({id, RejectionReason::DeadlineUnreachable});
  }
  while (const AdmissionRequest* const found = nextQueued()) {
    const AdmissionRequest request = *found;
    dequeue(request.id);
    admit(now, request);
    admitted.push_back(request.id);
  }
}

Time RequestGate::due() const {
  return by_latest_start_.empty() ? std::numeric_limits<Time>::max() : by_latest_start_.begin()->first;
}

void RequestGate::decay(Time now) {
  if (now <= decayed_at_) return;
  const double factor = std::exp2(-static_cast<double>(now - decayed_at_) / kAdviceHalfLife);
  recent_admitted_ *= factor;
  recent_refused_ *= factor;
  decayed_at_ = now;
}

void RequestGate::noteRefused(Time now) {
  decay(now);
  recent_refused_ += 1;
}

Time RequestGate::retryAfter(Time now) {
  decay(now);
  const double excess = recent_refused_ / std::max(1.0, recent_admitted_);
  const double advised = static_cast<double>(limits_.advice_least) * (1 + excess);
  return static_cast<Time>(std::min(advised, static_cast<double>(limits_.advice_most)));
}

}  // namespace client_proxy::admission
