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
  for (const StoredGrant& s : stored) promises_[s.service] = {s.grant, true, quarantined_until_};
}

const Service* Voter::findService(ServiceId id) const {
  const auto it =
      std::find_if(services_.begin(), services_.end(), [&](const Service& s) { return s.id == id; });
  return it == services_.end() ? nullptr : &*it;
}

bool Voter::learn(ServiceId service, const Grant& grant) {
  if (grant.term == 0) return false;
  Learned& h = learned_[service];
  h.newest_term = std::max(h.newest_term, grant.term);
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
    const auto h = learned_.find(id);
    if (h == learned_.end() || h->second.newest_term < p.grant.term) unwitnessed.push_back({id, p.grant});
  }
  for (const StoredGrant& s : unwitnessed) retract(s.service);
  return unwitnessed;
}

void Voter::retract(ServiceId service) {
  const auto p = promises_.find(service);
  if (p == promises_.end()) return;
  raiseTermFloor(service, p->second.grant.term);
  promises_.erase(p);
}

void Voter::raiseTermFloor(ServiceId service, Term term) {
  Learned& h = learned_[service];
  h.term_floor = std::max(h.term_floor, term);
}

Grant Voter::known(ServiceId service) const {
  Grant best;
  if (const auto p = promises_.find(service); p != promises_.end()) best = p->second.grant;
  if (const auto h = learned_.find(service); h != learned_.end() && h->second.grant.term > best.term)
    best = h->second.grant;
  return best;
}

Term Voter::nextTerm(ServiceId service) const {
  const auto h = learned_.find(service);
  return std::max(known(service).term, h == learned_.end() ? 0 : h->second.term_floor) + 1;
}

bool Voter::disputed(ServiceId service) const {
  const auto h = learned_.find(service);
  return h != learned_.end() && h->second.disputed;
}

std::vector<StoredGrant> Voter::allKnown() const {
  std::vector<StoredGrant> all;
  for (const auto& [id, p] : promises_) all.push_back({id, known(id)});
  for (const auto& [id, h] : learned_) {
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

Voter::Answer Voter::refusal(Time now, const Entry& requested) const {
  Answer a{requested};
  a.entry.granted = false;
  a.entry.grant = known(requested.service);
  a.entry.unknown = a.entry.grant.term < requested.grant.term;
  a.entry.wait_ms = mayPromise(now) ? 0 : 1;
  if (const auto p = promises_.find(requested.service); p != promises_.end() && p->second.binds_until > now)
    a.entry.valid_ms = millisecondsOf(p->second.binds_until - now);
  return a;
}

Voter::Answer Voter::renew(Time now, const Entry& requested, const LivenessView& liveness) {
  const auto p = promises_.find(requested.service);
  const bool same =
      promised(requested.service, requested.grant) && known(requested.service) == p->second.grant;
  if (!same || liveness.isLost(requested.grant.site) || disputed(requested.service))
    return refusal(now, requested);
  p->second.binds_until = std::max(p->second.binds_until, now + settings_.promiseDuration());
  Answer a{requested};
  a.entry.granted = true;
  a.entry.unknown = false;
  return a;
}

// Whether the claim's reason is valid, by this member's own operator file and its own view of liveness.
bool Voter::isJustified(Time now, const Entry& requested, const LivenessView& liveness) const {
  const Grant current = known(requested.service);
  const Grant& claimed = requested.grant;
  if (claimed.reason == ClaimReason::Override) return true;
  const Service* const s = findService(requested.service);
  if (s == nullptr) return false;
  if (disputed(requested.service)) return claimed.site == s->home;
  switch (claimed.reason) {
    case ClaimReason::Home:
      return current.term == 0 && claimed.site == s->home;
    case ClaimReason::Reclaim:
      return claimed.site == current.site;
    default:
      break;
  }
  if (claimed.site != s->home && claimed.site != s->stand_by) return false;
  // An owner that is live but has not renewed for two promise durations has given up the service.
  const auto p = promises_.find(requested.service);
  const bool given_up = p == promises_.end() || p->second.binds_until + settings_.promiseDuration() <= now;
  return given_up || voters_.isUnavailable(current.site, liveness);
}

Voter::Answer Voter::claim(Time now, const Entry& requested, const LivenessView& liveness) {
  const auto p = promises_.find(requested.service);
  if (p != promises_.end() && p->second.grant == requested.grant &&
      known(requested.service) == requested.grant && !disputed(requested.service)) {
    Answer a{requested};  // a repeated claim; only a renewal extends the promise
    a.entry.granted = true;
    a.store = !p->second.durable;
    return a;
  }
  // Learning of a grant is not a promise: if exactly the known grant is claimed, this member missed the
  // original claim and can still vote for it.
  const Grant current = known(requested.service);
  const bool missed = current == requested.grant && !disputed(requested.service);
  if (!mayPromise(now) || (!missed && (requested.grant.term < nextTerm(requested.service) ||
                                       !isJustified(now, requested, liveness))))
    return refusal(now, requested);
  const bool bound =
      p != promises_.end() && p->second.binds_until > now && p->second.grant.site != requested.grant.site;
  if (bound) return refusal(now, requested);
  promises_[requested.service] = {requested.grant, false, now + settings_.promiseDuration()};
  if (const auto h = learned_.find(requested.service); h != learned_.end()) h->second.disputed = false;
  Answer a{requested};
  a.entry.granted = true;
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
    // No vote has been sent for it, but its term is not used again.
    raiseTermFloor(stored.service, stored.grant.term);
    promises_.erase(p);
  }
}

}  // namespace client_proxy::leases
