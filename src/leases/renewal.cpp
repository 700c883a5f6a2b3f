// Leases of this member's site: its leader requests renewal of the promises, and voters reply.
#include <utility>

#include "leases/member.h"

namespace client_proxy::leases {

void Member::renew(Time now, Output& out) {
  renew_at_ = now + settings_.lease / 3;
  if (!isSiteLeader()) return;
  const std::vector<StoredGrant> grants = voter_.promisesTo(site_);
  if (grants.empty()) return;
  // A drain time whose end the previous leader has announced does not start again.
  for (const StoredGrant& s : grants) {
    const Time ready = lease_cache_.readyAt(s.service, s.grant);
    if (lease_holder_.lease(s.service) == nullptr && ready != fleet::kNever)
      lease_holder_.adoptFromPreviousLeader(s.service, s.grant, ready);
  }
  const std::uint32_t round = lease_holder_.beginRound(now, grants);
  Message request = message(MessageKind::Renew, round);
  request.digest = digestOf(grants);
  forEachOther([&](Number n) { send(n, request, out); });
  for (const StoredGrant& s : grants) {
    const Voter::Answer own = voter_.renew(now, {s.service, s.grant}, liveness_);
    if (own.entry.granted) lease_holder_.onVote(now, round, self_, own.entry, liveness_.live.size());
  }
}

void Member::onRenew(Time now, Number from, const Message& request, Output& out) {
  Message vote = message(MessageKind::Vote, request.round);
  if (request.entries.empty()) {
    const std::vector<StoredGrant> promised = voter_.promisesTo(request.site);
    bool whole = !promised.empty() && digestOf(promised) == request.digest;
    for (const StoredGrant& s : promised) {
      if (!whole) break;
      whole = voter_.renew(now, {s.service, s.grant}, liveness_).entry.granted;
    }
    vote.digest = static_cast<std::uint32_t>(whole ? VoteForm::WholeSet : VoteForm::SetDiffers);
    return send(from, vote, out);
  }
  for (const Entry& e : request.entries) {
    const Voter::Answer answer = voter_.renew(now, e, liveness_);
    if (!answer.entry.granted) checkClaim(now, from, e, request.config_hash, out);
    const bool confirmed = !e.granted;  // in a Renew the bit marks grants that no quorum has confirmed yet
    if (confirmed) learn(now, e.service, e.grant, out);
    vote.entries.push_back(answer.entry);
  }
  vote.digest = static_cast<std::uint32_t>(VoteForm::Listed);
  send(from, vote, out);
}

void Member::onVote(Time now, Number from, const Message& vote, Output& out) {
  if (vote.digest == static_cast<std::uint32_t>(VoteForm::WholeSet))
    return lease_holder_.onVoteForAll(now, vote.round, from, liveness_.live.size());
  if (vote.digest == static_cast<std::uint32_t>(VoteForm::SetDiffers))
    return sendGrantList(from, vote.round, out);
  for (const Entry& e : vote.entries) {
    const Grant mine = voter_.known(e.service);
    lease_holder_.onVote(now, vote.round, from, e, liveness_.live.size());
    if (!e.granted) onRefusal(now, vote.round, e, mine, out);
  }
}

void Member::sendGrantList(Number to, std::uint32_t round, Output& out) const {
  const std::vector<StoredGrant>* const grants = lease_holder_.grantsOf(round);
  if (grants == nullptr) return;
  Message list = message(MessageKind::Renew, round);
  for (const StoredGrant& s : *grants) {
    const Lease* const lease = lease_holder_.lease(s.service);
    list.entries.push_back({s.service, s.grant, lease == nullptr || !lease->confirmed});
  }
  sendParts(to, list, out);
}

// `mine`: the newest grant known here when the vote arrived.
void Member::onRefusal(Time now, std::uint32_t round, const Entry& entry, const Grant& mine, Output& out) {
  const bool from_synchronized = entry.wait_ms == 0;
  if (from_synchronized) learn(now, entry.service, entry.grant, out);
  if (mine.site != site_) return;
  if (entry.unknown || entry.grant == mine) missing_votes_.insert(entry.service);
  if (!entry.unknown) return;
  const Lease* const lease = lease_holder_.lease(entry.service);
  if (lease == nullptr || lease->confirmed || !lease_holder_.isUnwitnessed(round, entry.service)) return;
  // No other member knows this grant: the service is claimed again, under a term that can't have been
  // granted.
  report(now, {.kind = ConflictKind::Unwitnessed, .service = entry.service, .claimant = self_, .claim = mine},
         out);
  voter_.retract(entry.service);
  invalidate(entry.service);
  learn(now, entry.service, entry.grant, out);
}

}  // namespace client_proxy::leases
