#include "leases/voter.h"

#include <algorithm>

namespace client_proxy::leases {
namespace {

std::uint16_t millisecondsOf(Time t) {
  return static_cast<std::uint16_t>(std::clamp<Time>((t + 999) / fleet::kMillisecond, 0, 65'535));
}

}  // namespace

void Voter::start(Time now, const std::vector<StoredGrant>& stored) {
  quarantined_until_ = now + settings_.promiseDuration();
  synchronized_at_.reset();
  promises_.clear();
  for (const StoredGrant& k : stored) promises_[k.service] = {k.grant, true, quarantined_until_};
}

const Service* Voter::findService(ServiceId id) const {
  const auto it =
      std::find_if(services_.begin(), services_.end(), [&](const Service& s) { return s.id == id; });
  return it == services_.end() ? nullptr : &*it;
}

bool Voter::learn(ServiceId service, const Grant& grant) {
  if (grant.term == 0) return false;
  Heard& h = heard_[service];
  h.best = std::max(h.best, grant.term);
  const Grant before = known(service);
  if (grant.term < before.term) return false;
  if (grant.term == before.term) {
    if (grant.site != before.site) h.disputed = true;
    return false;
  }
  h.grant = grant;
  h.disputed = false;
  return true;
}

std::vector<StoredGrant> Voter::synchronize(Time now) {
  std::vector<StoredGrant> unwitnessed;
  if (synchronized_at_) return unwitnessed;
  synchronized_at_ = now;
  for (const auto& [id, p] : promises_) {
    const auto h = heard_.find(id);
    if (h == heard_.end() || h->second.best < p.grant.term) unwitnessed.push_back({id, p.grant});
  }
  for (const StoredGrant& k : unwitnessed) retract(k.service);
  return unwitnessed;
}

void Voter::retract(ServiceId service) {
  const auto p = promises_.find(service);
  if (p == promises_.end()) return;
  raiseTermFloor(service, p->second.grant.term);
  promises_.erase(p);
}

void Voter::raiseTermFloor(ServiceId service, Term term) {
  Heard& h = heard_[service];
  h.floor = std::max(h.floor, term);
}

Grant Voter::known(ServiceId service) const {
  Grant best;
  if (const auto p = promises_.find(service); p != promises_.end()) best = p->second.grant;
  if (const auto h = heard_.find(service); h != heard_.end() && h->second.grant.term > best.term)
    best = h->second.grant;
  return best;
}

Term Voter::nextTerm(ServiceId service) const {
  const auto h = heard_.find(service);
  return std::max(known(service).term, h == heard_.end() ? 0 : h->second.floor) + 1;
}

bool Voter::disputed(ServiceId service) const {
  const auto h = heard_.find(service);
  return h != heard_.end() && h->second.disputed;
}

std::vector<StoredGrant> Voter::allKnown() const {
  std::vector<StoredGrant> all;
  for (const auto& [id, p] : promises_) all.push_back({id, known(id)});
  for (const auto& [id, h] : heard_) {
    if (!promises_.contains(id) && h.grant.term > 0) all.push_back({id, h.grant});
  }
  return all;
}

bool Voter::promised(ServiceId service, const Grant& grant) const {
  const auto p = promises_.find(service);
  return p != promises_.end() && p->second.durable && p->second.grant.term == grant.term &&
         p->second.grant.site == grant.site;
}

std::vector<StoredGrant> Voter::promisesTo(SiteId site) const {
  std::vector<StoredGrant> all;
  for (const auto& [id, p] : promises_) {
    if (p.durable && p.grant.site == site && known(id) == p.grant && !disputed(id))
      all.push_back({id, p.grant});
  }
  return all;
}

Voter::Answer Voter::refusal(Time now, const Entry& asked) const {
  Answer a{asked};
  a.entry.yes = false;
  a.entry.grant = known(asked.service);
  a.entry.unknown = a.entry.grant.term < asked.grant.term;
  a.entry.wait_ms = mayPromise(now) ? 0 : 1;
  if (const auto p = promises_.find(asked.service); p != promises_.end() && p->second.binds_until > now)
    a.entry.valid_ms = millisecondsOf(p->second.binds_until - now);
  return a;
}

Voter::Answer Voter::renew(Time now, const Entry& asked, const LivenessView& liveness) {
  const auto p = promises_.find(asked.service);
  const bool same = promised(asked.service, asked.grant) && known(asked.service) == p->second.grant;
  if (!same || liveness.isLost(asked.grant.site) || disputed(asked.service)) return refusal(now, asked);
  p->second.binds_until = std::max(p->second.binds_until, now + settings_.promiseDuration());
  Answer a{asked};
  a.entry.yes = true;
  a.entry.unknown = false;
  return a;
}

// Judged by this member's own operator file and by what it sees itself.
bool Voter::isJustified(Time now, const Entry& asked, const LivenessView& liveness) const {
  const Grant held = known(asked.service);
  const Grant& wanted = asked.grant;
  if (wanted.reason == ClaimReason::Override) return true;
  const Service* const s = findService(asked.service);
  if (s == nullptr) return false;
  if (disputed(asked.service)) return wanted.site == s->home;
  switch (wanted.reason) {
    case ClaimReason::Home:
      return held.term == 0 && wanted.site == s->home;
    case ClaimReason::Reclaim:
      return wanted.site == held.site;
    default:
      break;
  }
  if (wanted.site != s->home && wanted.site != s->stand_by) return false;
  // An owner that is live but has not renewed for two promise durations has given the service up.
  const auto p = promises_.find(asked.service);
  const bool given_up = p == promises_.end() || p->second.binds_until + settings_.promiseDuration() <= now;
  return given_up || voters_.isGone(held.site, liveness);
}

Voter::Answer Voter::claim(Time now, const Entry& asked, const LivenessView& liveness) {
  const auto p = promises_.find(asked.service);
  if (p != promises_.end() && p->second.grant == asked.grant && known(asked.service) == asked.grant &&
      !disputed(asked.service)) {
    Answer a{asked};  // a repeated claim; only a renewal binds for longer
    a.entry.yes = true;
    a.store = !p->second.durable;
    return a;
  }
  // Hearing of a grant is no promise: a claim of exactly the known grant is one whose vote this member
  // missed.
  const Grant held = known(asked.service);
  const bool missed = held == asked.grant && !disputed(asked.service);
  if (!mayPromise(now) ||
      (!missed && (asked.grant.term < nextTerm(asked.service) || !isJustified(now, asked, liveness))))
    return refusal(now, asked);
  const bool bound =
      p != promises_.end() && p->second.binds_until > now && p->second.grant.site != asked.grant.site;
  if (bound) return refusal(now, asked);
  promises_[asked.service] = {asked.grant, false, now + settings_.promiseDuration()};
  if (const auto h = heard_.find(asked.service); h != heard_.end()) h->second.disputed = false;
  Answer a{asked};
  a.entry.yes = true;
  a.entry.unknown = false;
  a.store = true;
  return a;
}

void Voter::onStored(const StoredGrant& stored, bool ok) {
  const auto p = promises_.find(stored.service);
  if (p == promises_.end() || !(p->second.grant == stored.grant) || p->second.durable) return;
  if (ok) {
    p->second.durable = true;
  } else {
    // Nobody has heard of it, but its term is not used again.
    raiseTermFloor(stored.service, stored.grant.term);
    promises_.erase(p);
  }
}

}  // namespace client_proxy::leases
