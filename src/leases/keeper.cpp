#include "leases/keeper.h"

#include <algorithm>
#include <utility>

namespace quinceline::leases {

void Keeper::recall(ServiceId service, const Deed& deed, bool ready) {
  Holding& h = holdings_[service];
  h = {};
  h.deed = deed;
  h.ready = ready;
}

void Keeper::takeOver(ServiceId service, const Deed& deed, Time ready_at) {
  Holding& h = holdings_[service];
  if (h.deed.term > deed.term || (h.deed == deed && h.confirmed)) return;
  if (!(h.deed == deed)) h = {};
  h.deed = deed;
  h.ready_at = std::min(h.ready_at, ready_at);
}

std::uint32_t Keeper::begin(Time now, const std::vector<Kept>& deeds) {
  if (rounds_.size() >= kRounds) rounds_.pop_front();
  rounds_.push_back({++last_, now, deeds, {}, {}, {}});
  return last_;
}

const Keeper::Round* Keeper::roundOf(std::uint32_t round) const {
  const auto it =
      std::find_if(rounds_.begin(), rounds_.end(), [&](const Round& r) { return r.number == round; });
  return it == rounds_.end() ? nullptr : &*it;
}

Keeper::Round* Keeper::roundOf(std::uint32_t round) {
  return const_cast<Round*>(std::as_const(*this).roundOf(round));
}

const std::vector<Kept>* Keeper::deedsOf(std::uint32_t round) const {
  const Round* const r = roundOf(round);
  return r == nullptr ? nullptr : &r->deeds;
}

const Holding* Keeper::holding(ServiceId service) const {
  const auto it = holdings_.find(service);
  return it == holdings_.end() ? nullptr : &it->second;
}

// Whole and single promises count together; each member has given one or the other.
void Keeper::count(Time now, const Round& round, const Kept& kept, std::size_t live) {
  Votes all = round.whole;
  if (const auto some = round.some.find(kept.service); some != round.some.end())
    all.add(electorate_, some->second);
  // A decree counts among those that are there: an operator has said that the others will not come.
  const bool ruled =
      kept.deed.ground == Ground::Decree ? all.count() >= live / 2 + 1 : all.rules(electorate_);
  if (!ruled) return;
  Holding& h = holdings_[kept.service];
  if (!(h.deed == kept.deed)) {
    h = {};
    h.deed = kept.deed;
  }
  h.until = std::max(h.until, round.sent + rules_.counts());
  if (std::exchange(h.confirmed, true)) return;
  h.ready_at = h.ready ? now : std::min(h.ready_at, now + rules_.owes());
}

void Keeper::vowedWhole(Time now, std::uint32_t round, Number from, std::size_t live) {
  Round* const r = roundOf(round);
  if (r == nullptr) return;
  r->whole.add(electorate_, from);
  if (r->whole.count() * 2 < std::min(live, electorate_.majority())) return;
  for (const Kept& k : r->deeds) count(now, *r, k, live);
}

void Keeper::vowed(Time now, std::uint32_t round, Number from, const Entry& e, std::size_t live) {
  Round* const r = roundOf(round);
  if (r == nullptr) return;
  const auto k =
      std::find_if(r->deeds.begin(), r->deeds.end(), [&](const Kept& o) { return o.service == e.service; });
  if (k == r->deeds.end()) return;
  if (!e.yes) {
    if (e.unknown) r->none[e.service].add(electorate_, from);
    return;
  }
  if (!(e.deed == k->deed)) return;
  r->some[e.service].add(electorate_, from);
  count(now, *r, *k, live);
}

bool Keeper::unwitnessed(std::uint32_t round, ServiceId service) const {
  const Round* const r = roundOf(round);
  if (r == nullptr) return false;
  const auto none = r->none.find(service);
  const auto some = r->some.find(service);
  const std::size_t own = r->whole.has(electorate_, self_) ? 1 : 0;
  return none != r->none.end() && none->second.count() >= electorate_.majority() && some == r->some.end() &&
         r->whole.count() == own;
}

std::vector<Kept> Keeper::becomeReady(Time now) {
  std::vector<Kept> all;
  for (auto& [id, h] : holdings_) {
    if (h.ready || !h.confirmed || now < h.ready_at) continue;
    h.ready = true;
    all.push_back({id, h.deed, true});
  }
  return all;
}

}  // namespace quinceline::leases
