#include "admission/requests.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <string>

namespace client_proxy::admission {
namespace {

constexpr double kUsualWeight = 0.1;  // the last ten or so answers of a class
constexpr double kGapWeight = 0.1;
constexpr double kAdviceHalves = 1e6;  // microseconds: refusals of the last seconds count

}  // namespace

RequestGate::RequestGate(Limits limits)
    : limits_(std::move(limits)),
      classes_(partsOf(limits_.classes, limits_.open, "classes")),
      tenants_(partsOf(limits_.tenants, limits_.open, "tenants")),
      usual_(classes_.all.size()) {
  if (!(limits_.retries_part >= 0)) throw std::invalid_argument("retries: the part is below 0");
}

void RequestGate::reconfigure(Limits limits) {
  RequestGate fresh(std::move(limits));  // throws before anything has changed
  for (const auto& [id, o] : open_) {
    count(fresh.classes_, o.request_class, true);
    count(fresh.tenants_, o.tenant, true);
  }
  // The last is whoever is not known, wherever that is now.
  const std::size_t kept = std::min(usual_.size(), fresh.usual_.size()) - 1;
  std::copy_n(usual_.begin(), kept, fresh.usual_.begin());
  fresh.usual_.back() = usual_.back();
  limits_ = std::move(fresh.limits_);
  classes_ = std::move(fresh.classes_);
  tenants_ = std::move(fresh.tenants_);
  usual_ = std::move(fresh.usual_);
  lines_.clear();
  for (const auto& [id, w] : waiting_) lines_[pairOf(w.ask)].insert({w.ask.deadline, id});
}

RequestGate::Parts RequestGate::partsOf(const std::vector<Share>& shares, std::size_t places,
                                        const char* what) {
  Parts parts;
  for (const Share& share : shares) {
    if (!(share.weight > 0)) throw std::invalid_argument(std::string(what) + ": a weight is not above 0");
    if (share.guaranteed > share.most)
      throw std::invalid_argument(std::string(what) + ": more is guaranteed than allowed");
    if (share.guaranteed > places - std::min(places, parts.unmet))
      throw std::invalid_argument(std::string(what) + ": more is guaranteed in all than there are places");
    parts.unmet += share.guaranteed;
    parts.all.push_back({share, 0});
  }
  parts.all.emplace_back();
  return parts;
}

std::size_t RequestGate::place(const Parts& parts, std::int32_t index) {
  return indexOrLast(index, parts.all.size());
}

void RequestGate::count(Parts& parts, std::int32_t index, bool in) {
  Part& p = parts.all[place(parts, index)];
  if (!in) --p.open;
  if (p.open < p.share.guaranteed) in ? --parts.unmet : ++parts.unmet;
  if (in) ++p.open;
}

// Whoever is below what it is guaranteed always finds a place: the others leave as many free as are
// guaranteed and not used, so that used places and these together never exceed the bound.
RejectionReason RequestGate::blockedBy(const Parts& parts, std::int32_t index, RejectionReason own) const {
  const Part& p = part(parts, index);
  if (p.open < p.share.guaranteed) return RejectionReason::None;
  if (p.open >= p.share.most) return own;
  return parts.unmet > 0 && limits_.open - open_.size() <= parts.unmet ? own : RejectionReason::None;
}

RejectionReason RequestGate::blocked(const AdmissionRequest& ask) const {
  if (open_.size() >= limits_.open) return RejectionReason::ConcurrencyLimit;
  // One alone may exceed the bound: it would never be let in otherwise.
  if (!open_.empty() && ask.bytes > limits_.bytes - std::min(limits_.bytes, bytes_))
    return RejectionReason::MemoryLimit;
  const RejectionReason by_class = blockedBy(classes_, ask.request_class, RejectionReason::ClassLimit);
  return by_class != RejectionReason::None ? by_class
                                           : blockedBy(tenants_, ask.tenant, RejectionReason::TenantLimit);
}

// Clients' own repeats: a part of the work, as Envoy bounds its own. After an outage everybody repeats at
// once, and first tries must find room beside that.
bool RequestGate::overRetries(const AdmissionRequest& ask) const {
  if (!ask.retry) return false;
  const std::size_t held = retries_ + waiting_retries_;
  const auto part = limits_.retries_part * static_cast<double>(open_.size() - retries_);
  return held >= limits_.retries_least && static_cast<double>(held) >= part;
}

RequestGate::Pair RequestGate::pairOf(const AdmissionRequest& ask) const {
  return {static_cast<std::int32_t>(place(classes_, ask.request_class)),
          static_cast<std::int32_t>(place(tenants_, ask.tenant))};
}

double RequestGate::weightOf(const Pair& pair) const {
  return part(classes_, pair.first).share.weight * part(tenants_, pair.second).share.weight;
}

// About how long whoever comes last waits.
Time RequestGate::expectedWait() const {
  return static_cast<Time>(gap_ * static_cast<double>(waiting_.size() + 1));
}

const RequestGate::Pair* RequestGate::longestLine() const {
  const Pair* longest = nullptr;
  double most = 0;
  for (const auto& [pair, line] : lines_) {
    const double length = static_cast<double>(line.size()) / weightOf(pair);
    if (length > most) most = length, longest = &pair;
  }
  return longest;
}

RejectionReason RequestGate::checkHead(const AdmissionRequest& ask) const {
  if (overRetries(ask)) return RejectionReason::RetryBudget;
  const RejectionReason reason = blocked(ask);
  if (reason == RejectionReason::None || waiting_.size() < limits_.waiting) return RejectionReason::None;
  if (limits_.waiting == 0) return reason;
  // The queue is full: only a line that is shorter than the longest gets a place in it.
  const Pair own = pairOf(ask), longest = *longestLine();
  const auto it = lines_.find(own);
  const double mine = static_cast<double>(it == lines_.end() ? 1 : it->second.size() + 1) / weightOf(own);
  return mine <= static_cast<double>(lines_.at(longest).size() - 1) / weightOf(longest)
             ? RejectionReason::None
             : reason;
}

Verdict RequestGate::offer(Time now, const AdmissionRequest& ask, std::vector<Refusal>& refused) {
  fade(now);
  const auto refuse = [&](RejectionReason reason) {
    turned_away_ += 1;
    return Verdict{AdmissionOutcome::Refused, reason};
  };
  if (const RejectionReason reason = checkHead(ask); reason != RejectionReason::None) return refuse(reason);
  // Nobody passes those of the same kind that wait already, unless what they wait for is memory.
  const RejectionReason reason = blocked(ask);
  const bool line = lines_.count(pairOf(ask)) > 0 && pickNext() != nullptr;
  if (reason == RejectionReason::None && !line) {
    admit(now, ask);
    return {};
  }
  if (limits_.waiting == 0) return refuse(reason);
  if (now + expectedWait() + usual(ask.request_class) >= ask.deadline)
    return refuse(RejectionReason::DeadlineUnreachable);
  if (waiting_.size() >= limits_.waiting) {
    const RequestKey last = lines_.at(*longestLine()).rbegin()->second;
    leaveLine(last);
    turned_away_ += 1;
    refused.push_back({last, RejectionReason::EvictedFromQueue});
  }
  enqueue(ask);
  return {AdmissionOutcome::Queued, RejectionReason::None};
}

void RequestGate::admit(Time now, const AdmissionRequest& ask) {
  count(classes_, ask.request_class, true);
  count(tenants_, ask.tenant, true);
  bytes_ += ask.bytes;
  retries_ += ask.retry ? 1 : 0;
  let_in_ += 1;
  open_.emplace(ask.id, Open{ask.request_class, ask.tenant, ask.bytes, now, ask.retry});
}

void RequestGate::enqueue(const AdmissionRequest& ask) {
  const Time latest = ask.deadline - usual(ask.request_class);
  waiting_.emplace(ask.id, Waiting{ask, latest});
  lines_[pairOf(ask)].insert({ask.deadline, ask.id});
  by_latest_.insert({latest, ask.id});
  waiting_retries_ += ask.retry ? 1 : 0;
}

void RequestGate::leaveLine(RequestKey id) {
  const auto it = waiting_.find(id);
  const auto& [ask, latest] = it->second;
  const auto line = lines_.find(pairOf(ask));
  line->second.erase({ask.deadline, id});
  if (line->second.empty()) lines_.erase(line);
  by_latest_.erase({latest, id});
  waiting_retries_ -= ask.retry ? 1 : 0;
  waiting_.erase(it);
}

void RequestGate::release(Time now, RequestKey id) {
  if (waiting_.count(id) > 0) return leaveLine(id);
  const auto it = open_.find(id);
  if (it == open_.end()) return;
  const Open& o = it->second;
  Time& usual = usual_[place(classes_, o.request_class)];
  const Time took = std::max<Time>(now - o.since, 0);
  usual = usual == 0 ? took : usual + static_cast<Time>(kUsualWeight * static_cast<double>(took - usual));
  if (!waiting_.empty() && released_ != 0) {
    gap_ += kGapWeight * (static_cast<double>(now - released_) - gap_);
  }
  released_ = waiting_.empty() ? 0 : now;
  count(classes_, o.request_class, false);
  count(tenants_, o.tenant, false);
  bytes_ -= o.bytes;
  retries_ -= o.retry ? 1 : 0;
  open_.erase(it);
}

// The first of the line that has the fewest open for its weight, of those that are not blocked.
const AdmissionRequest* RequestGate::pickNext() const {
  const AdmissionRequest* best = nullptr;
  std::array<double, 3> least{};
  for (const auto& [pair, line] : lines_) {
    const AdmissionRequest& first = waiting_.at(line.begin()->second).ask;
    if (blocked(first) != RejectionReason::None) continue;
    const Part &c = part(classes_, pair.first), &t = part(tenants_, pair.second);
    const bool owed = c.open < c.share.guaranteed || t.open < t.share.guaranteed;
    const std::array<double, 3> rank = {owed ? 0.0 : 1.0, static_cast<double>(c.open + 1) / c.share.weight,
                                        static_cast<double>(t.open + 1) / t.share.weight};
    if (best == nullptr || rank < least) best = &first, least = rank;
  }
  return best;
}

void RequestGate::next(Time now, std::vector<RequestKey>& admitted, std::vector<Refusal>& refused) {
  fade(now);
  while (!by_latest_.empty() && by_latest_.begin()->first <= now) {
    const RequestKey id = by_latest_.begin()->second;
    leaveLine(id);
    turned_away_ += 1;
    refused.push_back({id, RejectionReason::DeadlineUnreachable});
  }
  while (const AdmissionRequest* const found = pickNext()) {
    const AdmissionRequest ask = *found;
    leaveLine(ask.id);
    admit(now, ask);
    admitted.push_back(ask.id);
  }
}

Time RequestGate::due() const {
  return by_latest_.empty() ? std::numeric_limits<Time>::max() : by_latest_.begin()->first;
}

void RequestGate::fade(Time now) {
  if (now <= faded_) return;
  const double part = std::exp2(-static_cast<double>(now - faded_) / kAdviceHalves);
  let_in_ *= part;
  turned_away_ *= part;
  faded_ = now;
}

void RequestGate::noteRefused(Time now) {
  fade(now);
  turned_away_ += 1;
}

Time RequestGate::retryAfter(Time now) {
  fade(now);
  const double excess = turned_away_ / std::max(1.0, let_in_);
  const double advised = static_cast<double>(limits_.advice_least) * (1 + excess);
  return static_cast<Time>(std::min(advised, static_cast<double>(limits_.advice_most)));
}

}  // namespace client_proxy::admission
