#include "leases/lease_holder.h"

#include <algorithm>
#include <utility>

namespace client_proxy::leases {

void LeaseHolder::restore(ServiceId service, const Grant& grant, bool ready) {
  Lease& lease = leases_[service];
  lease = {};
  lease.grant = grant;
  lease.ready = ready;
}

void LeaseHolder::adoptFromPreviousLeader(ServiceId service, const Grant& grant, Time ready_at) {
  Lease& lease = leases_[service];
  if (lease.grant.term > grant.term || (lease.grant == grant && lease.confirmed)) return;
  if (!(lease.grant == grant)) lease = {};
  lease.grant = grant;
  lease.ready_at = std::min(lease.ready_at, ready_at);
}

std::uint32_t LeaseHolder::beginRound(Time now, const std::vector<StoredGrant>& grants) {
  if (rounds_.size() >= kRounds) rounds_.pop_front();
  rounds_.push_back({++last_round_, now, grants, {}, {}, {}});
  return last_round_;
}

const LeaseHolder::Round* LeaseHolder::findRound(std::uint32_t round) const {
  const auto it =
      std::find_if(rounds_.begin(), rounds_.end(), [&](const Round& r) { return r.number == round; });
  return it == rounds_.end() ? nullptr : &*it;
}

LeaseHolder::Round* LeaseHolder::findRound(std::uint32_t round) {
  return const_cast<Round*>(std::as_const(*this).findRound(round));
}

const std::vector<StoredGrant>* LeaseHolder::grantsOf(std::uint32_t round) const {
  const Round* const r = findRound(round);
  return r == nullptr ? nullptr : &r->grants;
}

const Lease* LeaseHolder::lease(ServiceId service) const {
  const auto it = leases_.find(service);
  return it == leases_.end() ? nullptr : &it->second;
}

// Votes for the whole round and for a single grant are counted together; a member that cast both counts once.
void LeaseHolder::extendIfQuorum(Time now, const Round& round, const StoredGrant& stored, std::size_t live) {
  VoteSet all = round.for_all;
  if (const auto one = round.for_one.find(stored.service); one != round.for_one.end())
    all.add(voters_, one->second);
  // An operator's override needs a majority of the live members only, since the operator has verified that
  // the others are down.
  const bool quorum =
      stored.grant.reason == ClaimReason::Override ? all.count() >= live / 2 + 1 : all.isQuorum(voters_);
  if (!quorum) return;
  Lease& lease = leases_[stored.service];
  if (!(lease.grant == stored.grant)) {
    lease = {};
    lease.grant = stored.grant;
  }
  lease.expires_at = std::max(lease.expires_at, round.sent + settings_.leaseDuration());
  if (std::exchange(lease.confirmed, true)) return;
  lease.ready_at = lease.ready ? now : std::min(lease.ready_at, now + settings_.drainTime());
}

void LeaseHolder::onVoteForAll(Time now, std::uint32_t round, Number from, std::size_t live) {
  Round* const r = findRound(round);
  if (r == nullptr) return;
  r->for_all.add(voters_, from);
  if (r->for_all.count() * 2 < std::min(live, voters_.majority())) return;
  for (const StoredGrant& stored : r->grants) extendIfQuorum(now, *r, stored, live);
}

void LeaseHolder::onVote(Time now, std::uint32_t round, Number from, const Entry& e, std::size_t live) {
  Round* const r = findRound(round);
  if (r == nullptr) return;
  const auto stored = std::find_if(r->grants.begin(), r->grants.end(),
                                   [&](const StoredGrant& o) { return o.service == e.service; });
  if (stored == r->grants.end()) return;
  if (!e.granted) {
    if (e.unknown) r->unknown[e.service].add(voters_, from);
    return;
  }
  if (!(e.grant == stored->grant)) return;
  r->for_one[e.service].add(voters_, from);
  extendIfQuorum(now, *r, *stored, live);
}

bool LeaseHolder::isUnwitnessed(std::uint32_t round, ServiceId service) const {
  const Round* const r = findRound(round);
  if (r == nullptr) return false;
  const auto unknown = r->unknown.find(service);
  const auto one = r->for_one.find(service);
  const std::size_t own = r->for_all.has(voters_, self_) ? 1 : 0;
  return unknown != r->unknown.end() && unknown->second.count() >= voters_.majority() &&
         one == r->for_one.end() && r->for_all.count() == own;
}

std::vector<StoredGrant> LeaseHolder::becomeReady(Time now) {
  std::vector<StoredGrant> all;
  for (auto& [id, lease] : leases_) {
    if (lease.ready || !lease.confirmed || now < lease.ready_at) continue;
    lease.ready = true;
    all.push_back({id, lease.grant, true});
  }
  return all;
}

}  // namespace client_proxy::leases
