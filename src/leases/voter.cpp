#include "leases/voter.h"

#include <algorithm>

namespace quinceline::leases {
namespace {

std::uint16_t millisecondsOf(Time t) {
  return static_cast<std::uint16_t>(std::clamp<Time>((t + 999) / fleet::kMillisecond, 0, 65'535));
}

}  // namespace

void Voter::start(Time now, const std::vector<Kept>& remembered) {
  quarantined_until_ = now + rules_.binds();
  informed_at_.reset();
  promises_.clear();
  for (const Kept& k : remembered) promises_[k.service] = {k.deed, true, quarantined_until_};
}

const Service* Voter::serviceOf(ServiceId id) const {
  const auto it =
      std::find_if(services_.begin(), services_.end(), [&](const Service& s) { return s.id == id; });
  return it == services_.end() ? nullptr : &*it;
}

bool Voter::learn(ServiceId service, const Deed& deed) {
  if (deed.term == 0) return false;
  Heard& h = heard_[service];
  h.best = std::max(h.best, deed.term);
  const Deed before = known(service);
  if (deed.term < before.term) return false;
  if (deed.term == before.term) {
    if (deed.site != before.site) h.disputed = true;
    return false;
  }
  h.deed = deed;
  h.disputed = false;
  return true;
}

std::vector<Kept> Voter::inform(Time now) {
  std::vector<Kept> alone;
  if (informed_at_) return alone;
  informed_at_ = now;
  for (const auto& [id, p] : promises_) {
    const auto h = heard_.find(id);
    if (h == heard_.end() || h->second.best < p.deed.term) alone.push_back({id, p.deed});
  }
  for (const Kept& k : alone) disown(k.service);
  return alone;
}

void Voter::disown(ServiceId service) {
  const auto p = promises_.find(service);
  if (p == promises_.end()) return;
  raise(service, p->second.deed.term);
  promises_.erase(p);
}

void Voter::raise(ServiceId service, Term term) {
  Heard& h = heard_[service];
  h.floor = std::max(h.floor, term);
}

Deed Voter::known(ServiceId service) const {
  Deed best;
  if (const auto p = promises_.find(service); p != promises_.end()) best = p->second.deed;
  if (const auto h = heard_.find(service); h != heard_.end() && h->second.deed.term > best.term)
    best = h->second.deed;
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

std::vector<Kept> Voter::allKnown() const {
  std::vector<Kept> all;
  for (const auto& [id, p] : promises_) all.push_back({id, known(id)});
  for (const auto& [id, h] : heard_) {
    if (!promises_.contains(id) && h.deed.term > 0) all.push_back({id, h.deed});
  }
  return all;
}

bool Voter::promised(ServiceId service, const Deed& deed) const {
  const auto p = promises_.find(service);
  return p != promises_.end() && p->second.durable && p->second.deed.term == deed.term &&
         p->second.deed.site == deed.site;
}

std::vector<Kept> Voter::promisedTo(SiteId site) const {
  std::vector<Kept> all;
  for (const auto& [id, p] : promises_) {
    if (p.durable && p.deed.site == site && known(id) == p.deed && !disputed(id)) all.push_back({id, p.deed});
  }
  return all;
}

Voter::Answer Voter::no(Time now, const Entry& asked) const {
  Answer a{asked};
  a.entry.yes = false;
  a.entry.deed = known(asked.service);
  a.entry.unknown = a.entry.deed.term < asked.deed.term;
  a.entry.second = mayPromise(now) ? 0 : 1;
  if (const auto p = promises_.find(asked.service); p != promises_.end() && p->second.until > now)
    a.entry.first = millisecondsOf(p->second.until - now);
  return a;
}

Voter::Answer Voter::renew(Time now, const Entry& asked, const Outlook& outlook) {
  const auto p = promises_.find(asked.service);
  const bool same = promised(asked.service, asked.deed) && known(asked.service) == p->second.deed;
  if (!same || outlook.isLost(asked.deed.site) || disputed(asked.service)) return no(now, asked);
  p->second.until = std::max(p->second.until, now + rules_.binds());
  Answer a{asked};
  a.entry.yes = true;
  a.entry.unknown = false;
  return a;
}

// By this member's own file and what it sees itself.
bool Voter::grounded(Time now, const Entry& asked, const Outlook& outlook) const {
  const Deed held = known(asked.service);
  const Deed& wanted = asked.deed;
  if (wanted.ground == Ground::Decree) return true;
  const Service* const s = serviceOf(asked.service);
  if (s == nullptr) return false;
  if (disputed(asked.service)) return wanted.site == s->home;
  switch (wanted.ground) {
    case Ground::Home:
      return held.term == 0 && wanted.site == s->home;
    case Ground::Again:
      return wanted.site == held.site;
    default:
      break;
  }
  if (wanted.site != s->home && wanted.site != s->stand_by) return false;
  // An owner that is there but has not asked for its promise for two leases has given it up: it may know
  // what this member does not.
  const auto p = promises_.find(asked.service);
  const bool given_up = p == promises_.end() || p->second.until + rules_.binds() <= now;
  return given_up || electorate_.gone(held.site, outlook);
}

Voter::Answer Voter::claim(Time now, const Entry& asked, const Outlook& outlook) {
  const auto p = promises_.find(asked.service);
  if (p != promises_.end() && p->second.deed == asked.deed && known(asked.service) == asked.deed &&
      !disputed(asked.service)) {
    Answer a{asked};  // told once more; only a renewal binds for longer
    a.entry.yes = true;
    a.write = !p->second.durable;
    return a;
  }
  // What has been heard of is no promise yet: a claim of just that deed is one that this member has missed.
  const Deed held = known(asked.service);
  const bool missed = held == asked.deed && !disputed(asked.service);
  if (!mayPromise(now) ||
      (!missed && (asked.deed.term < nextTerm(asked.service) || !grounded(now, asked, outlook))))
    return no(now, asked);
  const bool bound = p != promises_.end() && p->second.until > now && p->second.deed.site != asked.deed.site;
  if (bound) return no(now, asked);
  promises_[asked.service] = {asked.deed, false, now + rules_.binds()};
  if (const auto h = heard_.find(asked.service); h != heard_.end()) h->second.disputed = false;
  Answer a{asked};
  a.entry.yes = true;
  a.entry.unknown = false;
  a.write = true;
  return a;
}

void Voter::written(const Kept& kept, bool ok) {
  const auto p = promises_.find(kept.service);
  if (p == promises_.end() || !(p->second.deed == kept.deed) || p->second.durable) return;
  if (ok) {
    p->second.durable = true;
  } else {
    // Nobody has heard of it. Terms are not given back all the same.
    raise(kept.service, kept.deed.term);
    promises_.erase(p);
  }
}

}  // namespace quinceline::leases
