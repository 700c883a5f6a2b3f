#include "leases/member.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace quinceline::leases {
namespace {

using fleet::kMillisecond;

constexpr Time kHelloEvery = 300 * kMillisecond;
constexpr Time kClaimEvery = 300 * kMillisecond;

std::uint16_t millisecondsLeft(Time t) {
  return static_cast<std::uint16_t>(std::clamp<Time>(t / kMillisecond, 0, 65'535));
}
std::uint16_t millisecondsOwed(Time t) {
  return static_cast<std::uint16_t>(std::clamp<Time>((t + 999) / kMillisecond, 0, 65'535));
}

std::string textOf(const Deed& d) {
  return "term " + std::to_string(d.term) + " (" + std::string(nameOf(d.ground)) + ")";
}

}  // namespace

Member::Member(const Rules& rules, std::vector<Service> services, std::vector<Listed> listed, Number self,
               std::uint64_t seed)
    : rules_(rules),
      services_(std::move(services)),
      electorate_(std::move(listed)),
      self_(self),
      site_(electorate_.siteOf(self)),
      random_(seed),
      voter_(rules_, electorate_, services_),
      keeper_(rules_, electorate_, self_),
      permits_(rules_) {
  if (!electorate_.find(self))
    throw std::invalid_argument("the list of members lacks " + std::to_string(self));
  outlook_.live = {self};
}

void Member::start(Time now, const std::vector<Kept>& remembered, std::uint32_t installation) {
  installation_ = installation;
  remembers_ = !remembered.empty();
  voter_.start(now, remembered);
  keeper_.clear();
  permits_.clear();
  for (const Kept& k : remembered) {
    if (k.deed.site == site_) keeper_.recall(k.service, k.deed, k.ready);
  }
  ++hello_;
  heard_.clear();
  informed_ = uninformed_ = {};
  anything_ = !remembered.empty();
  waiting_.clear();
  // Members that start in one instant are not to go on in step.
  const auto part = [&](Time t) { return now + static_cast<Time>(random_.unit() * static_cast<double>(t)); };
  hello_at_ = now;
  renew_at_ = part(rules_.lease / 3);
  claim_at_ = part(kClaimEvery);
  ask_at_ = part(rules_.ask_every);
  due_ = now;
}

bool Member::keeps() const { return electorate_.keeperOf(site_, outlook_) == self_; }

std::string Member::named(ServiceId id) const {
  const auto s = std::find_if(services_.begin(), services_.end(), [&](auto& o) { return o.id == id; });
  return s == services_.end() ? "service " + std::to_string(id) : s->name;
}

// ---- what is sent ----

Message Member::message(Kind kind, std::uint32_t round) const {
  Message m;
  m.kind = kind;
  m.round = round;
  m.installation = installation_;
  m.file = rules_.file;
  m.site = site_;
  m.informed = remembers_ || voter_.mayPromise(looked_);
  return m;
}

void Member::send(Number to, const Message& m, Out& out) const {
  if (to != self_) out.parcels.push_back({to, encode(m)});
}

void Member::forOthers(const std::function<void(Number)>& what) const {
  for (const Number n : outlook_.live) {
    if (n != self_ && electorate_.find(n)) what(n);
  }
}

void Member::sendAll(const Message& m, Out& out) const {
  for (const Message& part : inParts(m)) {
    forOthers([&](Number n) { send(n, part, out); });
  }
}

void Member::onTime(Time now, Out& out) {
  findings_.settle(now);
  if (!voter_.mayPromise(now) && now >= hello_at_) hello(now, out);
  if (now >= renew_at_) renew(now, out);
  if (now >= claim_at_) claims(now, out);
  if (now >= ask_at_) ask(now, out);
  for (const Kept& k : keeper_.becomeReady(now)) {
    out.writes.push_back(k);
    out.lines.push_back("deeds: " + named(k.service) + " may be served here, " + textOf(k.deed));
  }
  publish();
  due_ = std::min({renew_at_, claim_at_, ask_at_});
  if (!voter_.mayPromise(now)) due_ = std::min(due_, hello_at_);
  for (const auto& [id, h] : keeper_.holdings()) {
    if (h.confirmed && !h.ready) due_ = std::min(due_, std::max(h.ready_at, now + kMillisecond));
  }
}

// A member that starts asks until a majority of the others has told all that it knows. Those that have
// forgotten everything count only where nobody remembers anything: then the fleet is new.
void Member::hello(Time now, Out& out) {
  hello_at_ = now + kHelloEvery;
  const Message m = message(Kind::Hello, hello_);
  forOthers([&](Number n) {
    if (!informed_.has(electorate_, n)) send(n, m, out);
  });
  if (electorate_.size() == 1) inform(now, out);
}

void Member::renew(Time now, Out& out) {
  renew_at_ = now + rules_.lease / 3;
  if (!keeps()) return;
  const std::vector<Kept> deeds = voter_.promisedTo(site_);
  if (deeds.empty()) return;
  // What the member that spoke for the site before has told: nothing is owed twice.
  for (const Kept& k : deeds) {
    const Time ready = permits_.readyAt(k.service, k.deed);
    if (keeper_.holding(k.service) == nullptr && ready != fleet::kNever)
      keeper_.takeOver(k.service, k.deed, ready);
  }
  const std::uint32_t round = keeper_.begin(now, deeds);
  Message m = message(Kind::Renew, round);
  m.digest = digestOf(deeds);
  forOthers([&](Number n) { send(n, m, out); });
  for (const Kept& k : deeds) {
    const Voter::Answer own = voter_.renew(now, {k.service, k.deed}, outlook_);
    if (own.entry.yes) keeper_.vowed(now, round, self_, own.entry, outlook_.live.size());
  }
}

// On what ground this member's site may claim a service now.
std::optional<Ground> Member::groundFor(Time now, const Service& s) {
  const Deed held = voter_.known(s.id);
  const bool mine = site_ == s.home || (s.stand_by != kNowhere && site_ == s.stand_by);
  if (!mine) return std::nullopt;
  if (voter_.disputed(s.id)) return site_ == s.home ? std::optional(Ground::Again) : std::nullopt;
  if (held.term == 0) return site_ == s.home ? std::optional(Ground::Home) : std::nullopt;
  if (held.site == site_)
    return voter_.nextTerm(s.id) > held.term + 1 ? std::optional(Ground::Again) : std::nullopt;
  if (!electorate_.gone(held.site, outlook_)) {
    gone_since_.erase(held.site);
    return std::nullopt;
  }
  const Time since = gone_since_.try_emplace(held.site, now).first->second;
  // The home site goes first where both could.
  const Time wait = site_ == s.home ? rules_.vacant_after : 2 * rules_.vacant_after;
  return now - since >= wait ? std::optional(Ground::Vacant) : std::nullopt;
}

void Member::claims(Time now, Out& out) {
  claim_at_ = now + kClaimEvery + static_cast<Time>(random_.unit() * static_cast<double>(kClaimEvery) / 2);
  for (const Decreed& d : decreed_) claim(now, d.service, d.deed, out);
  std::erase_if(decreed_, [&](const Decreed& d) {
    return now >= d.until || voter_.nextTerm(d.service) > d.deed.term + 1;
  });
  if (!keeps() || !voter_.mayPromise(now)) return;
  for (const Service& s : services_) {
    const Deed held = voter_.known(s.id);
    if (const auto ground = groundFor(now, s)) {
      Time& last = claimed_at_.try_emplace(s.id, fleet::kLongAgo).first->second;
      if (now - last < rules_.lease / 3) continue;
      last = now;
      claim(now, s.id, {voter_.nextTerm(s.id), site_, *ground}, out);
    } else if (held.site == site_ && !voter_.disputed(s.id) &&
               (missed_.contains(s.id) || !voter_.promised(s.id, held))) {
      claim(now, s.id, held, out);
    }
  }
  missed_.clear();
}

// First to itself, as a voter like the others; they hear of it once it is on disk here.
void Member::claim(Time now, ServiceId service, const Deed& deed, Out& out) {
  const Voter::Answer own = voter_.claim(now, {service, deed}, outlook_);
  if (!own.entry.yes) {
    // A decree is told by whoever was asked for it, also where its own promise is bound yet.
    if (deed.ground != Ground::Decree) return;
  } else if (own.write) {
    waiting_.push_back({{service, deed}, self_, 0, own.entry});
    out.writes.push_back({service, deed});
    return;
  }
  Message m = message(Kind::Claim, 0);
  m.entries = {{service, deed}};
  sendAll(m, out);
}

void Member::ask(Time now, Out& out) {
  ask_at_ = now + rules_.ask_every;
  std::set<SiteId> owners;
  for (const Service& s : services_) {
    const SiteId owner = voter_.known(s.id).site;
    if (owner != kNowhere && !(owner == site_ && keeps())) owners.insert(owner);
  }
  for (const SiteId owner : owners) {
    if (const auto keeper = electorate_.keeperOf(owner, outlook_))
      send(*keeper, message(Kind::Ask, permits_.begin(now)), out);
  }
}

// What this member holds itself it need not ask for.
void Member::publish() {
  for (const auto& [id, h] : keeper_.holdings()) {
    if (h.confirmed && voter_.known(id) == h.deed && !voter_.disputed(id))
      permits_.held(id, h.deed, h.until, h.ready_at);
  }
}

// ---- what is heard ----

void Member::receive(Time now, Number from, std::string_view parcel, Out& out) {
  const auto m = decode(parcel);
  if (!m || !electorate_.find(from) || from == self_) return;
  watchMemory(now, from, m->installation, out);
  switch (m->kind) {
    case Kind::Hello:
      onHello(from, *m, out);
      break;
    case Kind::Known:
      onKnown(now, from, *m, out);
      break;
    case Kind::Renew:
      onRenew(now, from, *m, out);
      break;
    case Kind::Claim:
      onClaim(now, from, *m, out);
      break;
    case Kind::Vow:
      onVow(now, from, *m, out);
      break;
    case Kind::Ask:
      onAsk(now, from, *m, out);
      break;
    case Kind::Told:
      onTold(now, *m, out);
      break;
  }
  publish();
}

// One memory under two members: what it promised, it promised once. The lower number keeps it.
void Member::watchMemory(Time now, Number from, std::uint32_t installation, Out& out) {
  if (installation == 0) return;
  installations_[from] = installation;
  for (const auto& [other, held] : installations_) {
    if (other != from && held == installation)
      find(now, {.kind = Wrong::Copied, .claimant = std::max(from, other), .other = std::min(from, other)},
           out);
  }
  if (installation != installation_) return;
  find(now, {.kind = Wrong::Copied, .claimant = std::max(from, self_), .other = std::min(from, self_)}, out);
  if (self_ < from) return;
  out.renounce = true;
  out.lines.push_back("deeds: member " + std::to_string(from) +
                      " has this one's memory: it is given up here");
  start(now, {}, 0);
}

void Member::onHello(Number from, const Message& m, Out& out) {
  Message answer = message(Kind::Known, m.round);
  for (const Kept& k : voter_.allKnown()) answer.entries.push_back({k.service, k.deed});
  answer.digest = static_cast<std::uint32_t>(answer.entries.size());
  for (const Message& part : inParts(answer)) send(from, part, out);
}

void Member::onKnown(Time now, Number from, const Message& m, Out& out) {
  if (m.round != hello_) return;
  std::set<ServiceId>& told = heard_[from];
  for (const Entry& e : m.entries) {
    told.insert(e.service);
    anything_ = anything_ || e.deed.term > 0;
    learn(now, e.service, e.deed, out);
  }
  if (told.size() < m.digest) return;
  (m.informed ? informed_ : uninformed_).add(electorate_, from);
  Votes all = informed_;
  if (!anything_) all.add(electorate_, uninformed_);
  // This member's own memory is one of those that may be wrong: it does not count among them.
  if (all.count() >= std::min(electorate_.majority(), electorate_.size() - 1)) inform(now, out);
}

void Member::inform(Time now, Out& out) {
  for (const Kept& k : voter_.inform(now)) {
    keeper_.drop(k.service);
    find(now, {.kind = Wrong::Unwitnessed, .service = k.service, .claimant = self_, .claim = k.deed}, out);
  }
}

void Member::learn(Time now, ServiceId service, const Deed& deed, Out& out) {
  const Deed before = voter_.known(service);
  const bool news = voter_.learn(service, deed);
  if (voter_.disputed(service)) {
    keeper_.drop(service);
    permits_.bar(service);
    // All are to know of both: else some would go on with one.
    if (keeps() && std::exchange(disputes_told_[service], deed.term) != deed.term) {
      Message both = message(Kind::Claim, 0);
      both.entries = {{service, before}, {service, deed}};
      sendAll(both, out);
    }
    if (before.ground == Ground::Decree && deed.ground == Ground::Decree && deed.site != before.site)
      find(now, {.kind = Wrong::Forced, .service = service, .claim = deed, .against = before}, out);
  }
  if (!news) return;
  // Somebody else's now: nothing is sent under the old one from this moment.
  if (before.site != deed.site) {
    const Holding* const held = keeper_.holding(service);
    if (held != nullptr && deed.ground != Ground::Decree)
      find(now,
           {.kind = held->confirmed ? Wrong::PastLease : Wrong::Stale,
            .service = service,
            .claimant = self_,
            .claim = held->deed,
            .against = deed},
           out);
    keeper_.drop(service);
    permits_.bar(service);
  }
}

void Member::find(Time now, const Finding& f, Out& out) {
  const std::string service = f.service == 0 ? "" : " of " + named(f.service);
  const std::string claim = f.claim.term == 0 ? "" : ", " + textOf(f.claim) + " against " + textOf(f.against);
  const std::string line = "deeds: " + std::string(nameOf(f.kind)) + " claim" + service + " by member " +
                           std::to_string(f.claimant) + claim;
  if (findings_.note(now, f)) out.lines.push_back(line);
}

// A claim that this member knows better than: what kind of wrong it is.
void Member::judgeClaim(Time now, Number from, const Entry& e, std::uint32_t file, Out& out) {
  if (!voter_.mayPromise(now)) return;  // its own memory may be the wrong one
  const Deed held = voter_.known(e.service);
  Finding f{.service = e.service, .claimant = from, .claim = e.deed, .against = held};
  if (held.term > e.deed.term) {
    f.kind = e.yes ? Wrong::Stale : Wrong::PastLease;
  } else if (held.term == e.deed.term && held.site != e.deed.site) {
    if (e.deed.ground == Ground::Decree && held.ground == Ground::Decree)
      f.kind = Wrong::Forced;
    else
      return;
  } else if (e.deed.ground == Ground::Home && file != rules_.file) {
    f.kind = Wrong::Written;
  } else {
    return;
  }
  find(now, f, out);
}

void Member::onRenew(Time now, Number from, const Message& m, Out& out) {
  Message vow = message(Kind::Vow, m.round);
  if (m.entries.empty()) {
    const std::vector<Kept> promised = voter_.promisedTo(m.site);
    bool whole = !promised.empty() && digestOf(promised) == m.digest;
    for (const Kept& k : promised) {
      if (!whole) break;
      whole = voter_.renew(now, {k.service, k.deed}, outlook_).entry.yes;
    }
    vow.digest = whole ? 1 : 0;
    return send(from, vow, out);
  }
  for (const Entry& e : m.entries) {
    const Voter::Answer a = voter_.renew(now, e, outlook_);
    if (!a.entry.yes) judgeClaim(now, from, e, m.file, out);
    if (!e.yes) learn(now, e.service, e.deed, out);  // a majority has confirmed it to who says so
    vow.entries.push_back(a.entry);
  }
  vow.digest = 2;
  send(from, vow, out);
}

void Member::onClaim(Time now, Number from, const Message& m, Out& out) {
  Message vow = message(Kind::Vow, m.round);
  vow.digest = 2;
  for (const Entry& e : m.entries) {
    // Whoever holds it now is to stop at once.
    if (e.deed.ground == Ground::Decree) learn(now, e.service, e.deed, out);
    const Voter::Answer a = voter_.claim(now, e, outlook_);
    if (!a.entry.yes) judgeClaim(now, from, e, m.file, out);
    if (a.entry.yes && a.write) {
      const bool asked = std::any_of(waiting_.begin(), waiting_.end(), [&](const Waiting& w) {
        return w.kept.service == e.service && w.kept.deed == e.deed;
      });
      waiting_.push_back({{e.service, e.deed}, from, m.round, a.entry});
      if (!asked) out.writes.push_back({e.service, e.deed});
    } else {
      vow.entries.push_back(a.entry);
    }
  }
  if (!vow.entries.empty()) send(from, vow, out);
}

void Member::written(Time now, const Kept& kept, bool ok, Out& out) {
  voter_.written(kept, ok);
  std::vector<Waiting> done;
  std::erase_if(waiting_, [&](const Waiting& w) {
    if (w.kept.service != kept.service || !(w.kept.deed == kept.deed)) return false;
    done.push_back(w);
    return true;
  });
  if (!ok) return;
  bool own = false;
  for (const Waiting& w : done) {
    own = own || w.to == self_;
    if (w.to == self_) continue;
    Message vow = message(Kind::Vow, w.round);
    vow.digest = 2;
    vow.entries = {w.entry};
    send(w.to, vow, out);
  }
  if (done.empty()) return;
  out.lines.push_back("deeds: " + named(kept.service) + " is promised, " + textOf(kept.deed));
  if (kept.deed.site != site_) {
    keeper_.drop(kept.service);
    permits_.bar(kept.service);
  }
  if (!own) return;
  Message m = message(Kind::Claim, 0);
  m.entries = {{kept.service, kept.deed}};
  sendAll(m, out);
  renew_at_ = std::min(renew_at_, now + 50 * kMillisecond);
  due_ = std::min(due_, renew_at_);
}

void Member::onVow(Time now, Number from, const Message& m, Out& out) {
  if (m.digest == 1) return keeper_.vowedWhole(now, m.round, from, outlook_.live.size());
  if (m.digest == 0) {  // it holds another set: they are asked one by one
    const std::vector<Kept>* const deeds = keeper_.deedsOf(m.round);
    if (deeds == nullptr) return;
    Message list = message(Kind::Renew, m.round);
    for (const Kept& k : *deeds) {
      const Holding* const h = keeper_.holding(k.service);
      list.entries.push_back({k.service, k.deed, h == nullptr || !h->confirmed});
    }
    for (const Message& part : inParts(list)) send(from, part, out);
    return;
  }
  for (const Entry& e : m.entries) {
    const Deed mine = voter_.known(e.service);
    keeper_.vowed(now, m.round, from, e, outlook_.live.size());
    if (e.yes) continue;
    if (e.second == 0) learn(now, e.service, e.deed, out);
    if (mine.site != site_) continue;
    if (e.unknown || e.deed == mine) missed_.insert(e.service);  // it has promised nothing yet
    if (!e.unknown) continue;
    const Holding* const h = keeper_.holding(e.service);
    if (h == nullptr || h->confirmed || !keeper_.unwitnessed(m.round, e.service)) continue;
    // Nobody remembers it: it is claimed anew, by a term that nobody can have granted either.
    find(now, {.kind = Wrong::Unwitnessed, .service = e.service, .claimant = self_, .claim = mine}, out);
    voter_.disown(e.service);
    keeper_.drop(e.service);
    permits_.bar(e.service);
    learn(now, e.service, e.deed, out);
  }
}

void Member::onAsk(Time now, Number from, const Message& m, Out& out) {
  Message told = message(Kind::Told, m.round);
  for (const auto& [id, h] : keeper_.holdings()) {
    if (!h.confirmed || now >= h.until || !(voter_.known(id) == h.deed)) continue;
    told.entries.push_back({id, h.deed, true, false, millisecondsLeft(h.until - now),
                            h.ready_at <= now ? std::uint16_t{0} : millisecondsOwed(h.ready_at - now)});
  }
  if (told.entries.empty()) return;
  for (const Message& part : inParts(told)) send(from, part, out);
}

void Member::onTold(Time now, const Message& m, Out& out) {
  for (const Entry& e : m.entries) {
    learn(now, e.service, e.deed, out);
    const Deed known = voter_.known(e.service);
    if (known == e.deed && !voter_.disputed(e.service)) permits_.told(now, m.round, e);
  }
}

// ---- hosts, operators, senders ----

void Member::onHostTerm(Time now, ServiceId service, Term term, Out& out) {
  const Deed held = voter_.known(service);
  if (term <= held.term) return;
  voter_.raise(service, term);
  permits_.bar(service);
  keeper_.drop(service);
  find(now,
       {.kind = Wrong::Contradicted,
        .service = service,
        .claimant = self_,
        .claim = held,
        .against = {term, kNowhere, Ground::Again}},
       out);
}

std::string Member::decree(Time now, ServiceId service, SiteId site, Out& out) {
  const Deed held = voter_.known(service);
  const Deed deed{voter_.nextTerm(service), site, Ground::Decree};
  std::string over = "overrides " + std::to_string(electorate_.size() - outlook_.live.size()) + " of " +
                     std::to_string(electorate_.size()) + " members, who are not heard";
  if (held.term > 0) over += ", and the deed of term " + std::to_string(held.term);
  // Until promises to the site that has it now have run out.
  decreed_.push_back({service, deed, now + 3 * rules_.lease});
  learn(now, service, deed, out);
  claim(now, service, deed, out);
  out.lines.push_back("deeds: decree on " + named(service) + ", " + textOf(deed) + "; " + over);
  return over;
}

Permit Member::permit(ServiceId service, Time now) const {
  const bool served =
      std::any_of(services_.begin(), services_.end(), [&](const Service& s) { return s.id == service; });
  if (!served) return {Bar::Unserved};
  const Deed known = voter_.known(service);
  Permit p = permits_.at(service, now);
  if (p.ok() && (p.term != known.term || voter_.disputed(service))) p.bar = Bar::Unproven;
  return p;
}

}  // namespace quinceline::leases
