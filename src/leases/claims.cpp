// New grants: when this member's site claims a service, and how voters reply to claims.
#include <algorithm>
#include <utility>

#include "leases/member.h"

namespace client_proxy::leases {
namespace {

// From this member's own promise of its claim to the renewal that collects the others' votes.
constexpr Time kRenewSoon = 50 * fleet::kMillisecond;

}  // namespace

// The reason for which this member's site may claim the service now; std::nullopt if it may not.
std::optional<ClaimReason> Member::reasonToClaim(Time now, const Service& service) {
  const Grant current = voter_.known(service.id);
  const bool is_home = site_ == service.home;
  const bool is_stand_by = service.stand_by != kNoSite && site_ == service.stand_by;
  if (!is_home && !is_stand_by) return std::nullopt;
  if (voter_.disputed(service.id)) return is_home ? std::optional(ClaimReason::Reclaim) : std::nullopt;
  if (current.term == 0) return is_home ? std::optional(ClaimReason::Home) : std::nullopt;
  if (current.site == site_)
    return voter_.nextTerm(service.id) > current.term + 1 ? std::optional(ClaimReason::Reclaim)
                                                          : std::nullopt;
  if (!voters_.isUnavailable(current.site, liveness_)) {
    unavailable_since_.erase(current.site);
    return std::nullopt;
  }
  const Time since = unavailable_since_.try_emplace(current.site, now).first->second;
  // If both sites could claim the service, the home site does so first.
  const Time wait = is_home ? settings_.takeover_after : 2 * settings_.takeover_after;
  return now - since >= wait ? std::optional(ClaimReason::Takeover) : std::nullopt;
}

void Member::claimServices(Time now, Output& out) {
  const auto jitter = static_cast<Time>(random_.unit() * static_cast<double>(kClaimInterval) / 2);
  claim_at_ = now + kClaimInterval + jitter;
  repeatOverrides(now, out);
  if (!isSiteLeader() || !voter_.mayPromise(now)) return;
  for (const Service& s : services_) {
    const Grant current = voter_.known(s.id);
    if (const auto reason = reasonToClaim(now, s)) {
      Time& last = claimed_at_.try_emplace(s.id, fleet::kLongAgo).first->second;
      if (now - last < settings_.lease / 3) continue;
      last = now;
      claim(now, s.id, {voter_.nextTerm(s.id), site_, *reason}, out);
    } else if (current.site == site_ && !voter_.disputed(s.id) &&
               (missing_votes_.contains(s.id) || !voter_.promised(s.id, current))) {
      claim(now, s.id, current, out);
    }
  }
  missing_votes_.clear();
}

void Member::repeatOverrides(Time now, Output& out) {
  for (const Override& o : overrides_) claim(now, o.service, o.grant, out);
  std::erase_if(overrides_, [&](const Override& o) {
    return now >= o.until || voter_.nextTerm(o.service) > o.grant.term + 1;
  });
}

// This member votes first, like any other voter, and sends the claim to the others once its own promise is on
// disk.
void Member::claim(Time now, ServiceId service, const Grant& grant, Output& out) {
  const Voter::Answer own = voter_.claim(now, {service, grant}, liveness_);
  if (own.entry.granted && own.store) {
    pending_votes_.add({{service, grant}, self_, 0, own.entry});
    out.writes.push_back({service, grant});
    return;
  }
  // The member that received the operator's override broadcasts it even while a promise to another site binds
  // this member.
  if (!own.entry.granted && grant.reason != ClaimReason::Override) return;
  broadcastClaim(service, grant, out);
}

void Member::broadcastClaim(ServiceId service, const Grant& grant, Output& out) const {
  Message request = message(MessageKind::Claim, 0);
  request.entries = {{service, grant}};
  sendToOthers(request, out);
}

void Member::onClaim(Time now, Number from, const Message& request, Output& out) {
  Message vote = message(MessageKind::Vote, request.round);
  vote.digest = static_cast<std::uint32_t>(VoteForm::Listed);
  for (const Entry& e : request.entries) {
    // If this member holds the service, it has to stop sending at once.
    if (e.grant.reason == ClaimReason::Override) learn(now, e.service, e.grant, out);
    const Voter::Answer answer = voter_.claim(now, e, liveness_);
    if (!answer.entry.granted) checkClaim(now, from, e, request.config_hash, out);
    if (!answer.entry.granted || !answer.store) {
      vote.entries.push_back(answer.entry);
    } else if (pending_votes_.add({{e.service, e.grant}, from, request.round, answer.entry})) {
      out.writes.push_back({e.service, e.grant});
    }
  }
  if (!vote.entries.empty()) send(from, vote, out);
}

void Member::onStored(Time now, const StoredGrant& stored, bool ok, Output& out) {
  voter_.onStored(stored, ok);
  const std::vector<PendingVotes::Vote> votes = pending_votes_.take(stored);
  if (!ok) return;
  bool own = false;
  for (const PendingVotes::Vote& v : votes) {
    own = own || v.to == self_;
    if (v.to == self_) continue;
    Message vote = message(MessageKind::Vote, v.round);
    vote.digest = static_cast<std::uint32_t>(VoteForm::Listed);
    vote.entries = {v.entry};
    send(v.to, vote, out);
  }
  if (votes.empty()) return;
  out.log_lines.push_back("lease granted service=" + nameOfService(stored.service) + " " +
                          describe(stored.grant));
  if (stored.grant.site != site_) invalidate(stored.service);
  if (!own) return;
  broadcastClaim(stored.service, stored.grant, out);
  renew_at_ = std::min(renew_at_, now + kRenewSoon);
  due_ = std::min(due_, renew_at_);
}

std::string Member::overrideOwner(Time now, ServiceId service, SiteId site, Output& out) {
  const Grant current = voter_.known(service);
  const Grant grant{voter_.nextTerm(service), site, ClaimReason::Override};
  std::string overrides = "overrides " + std::to_string(voters_.size() - liveness_.live.size()) + " of " +
                          std::to_string(voters_.size()) + " members, which are not live";
  if (current.term > 0) overrides += ", and the grant of term " + std::to_string(current.term);
  // Repeated until the promises to the current owner have run out.
  overrides_.push_back({service, grant, now + 3 * settings_.lease});
  learn(now, service, grant, out);
  claim(now, service, grant, out);
  out.log_lines.push_back("owner overridden service=" + nameOfService(service) + " " + describe(grant) +
                          ": " + overrides);
  return overrides;
}

}  // namespace client_proxy::leases
