#include "leases/member.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace client_proxy::leases {

using fleet::kMillisecond;

std::string describe(const Grant& grant) {
  return "term=" + std::to_string(grant.term) + " reason=" + std::string(nameOf(grant.reason));
}

Member::Member(const Settings& settings, std::vector<Service> services, std::vector<ListedMember> listed,
               Number self, std::uint64_t seed)
    : settings_(settings),
      services_(std::move(services)),
      voters_(std::move(listed)),
      self_(self),
      site_(voters_.siteOf(self)),
      random_(seed),
      voter_(settings_, voters_, services_),
      lease_holder_(settings_, voters_, self_),
      lease_cache_(settings_),
      state_sync_(voters_) {
  if (!voters_.find(self))
    throw std::invalid_argument("the list of members does not contain this member, " + std::to_string(self));
  liveness_.live = {self};
}

void Member::start(Time now, const std::vector<StoredGrant>& stored, std::uint32_t installation) {
  installation_ = installation;
  has_storage_ = !stored.empty();
  voter_.start(now, stored);
  lease_holder_.clear();
  lease_cache_.clear();
  for (const StoredGrant& s : stored) {
    if (s.grant.site == site_) lease_holder_.restore(s.service, s.grant, s.ready);
  }
  state_sync_.restart(has_storage_);
  pending_votes_.clear();
  // Random phases keep members that start together from sending at the same time.
  const auto part = [&](Time t) { return now + static_cast<Time>(random_.unit() * static_cast<double>(t)); };
  sync_at_ = now;
  renew_at_ = part(settings_.lease / 3);
  claim_at_ = part(kClaimInterval);
  query_at_ = part(settings_.query_interval);
  due_ = now;
}

bool Member::isSiteLeader() const { return voters_.leaderOf(site_, liveness_) == self_; }

std::string Member::nameOfService(ServiceId id) const {
  const auto s = std::find_if(services_.begin(), services_.end(), [&](auto& o) { return o.id == id; });
  return s == services_.end() ? "service " + std::to_string(id) : s->name;
}

void Member::invalidate(ServiceId service) {
  lease_holder_.drop(service);
  lease_cache_.invalidate(service);
}

Message Member::message(MessageKind kind, std::uint32_t round) const {
  Message m;
  m.kind = kind;
  m.round = round;
  m.installation = installation_;
  m.config_hash = settings_.config_hash;
  m.site = site_;
  m.synchronized = has_storage_ || voter_.mayPromise(observed_at_);
  return m;
}

void Member::send(Number to, const Message& message, Output& out) const {
  if (to != self_) out.messages.push_back({to, encode(message)});
}

void Member::sendParts(Number to, const Message& message, Output& out) const {
  for (const Message& part : splitIntoParts(message)) send(to, part, out);
}

void Member::forEachOther(const std::function<void(Number)>& visit) const {
  for (const Number n : liveness_.live) {
    if (n != self_ && voters_.find(n)) visit(n);
  }
}

void Member::sendToOthers(const Message& message, Output& out) const {
  for (const Message& part : splitIntoParts(message)) {
    forEachOther([&](Number n) { send(n, part, out); });
  }
}

void Member::onTime(Time now, Output& out) {
  conflicts_.settle(now);
  if (!voter_.mayPromise(now) && now >= sync_at_) requestSync(now, out);
  if (now >= renew_at_) renew(now, out);
  if (now >= claim_at_) claimServices(now, out);
  if (now >= query_at_) queryLeases(now, out);
  for (const StoredGrant& s : lease_holder_.becomeReady(now)) {
    out.writes.push_back(s);
    out.log_lines.push_back("lease ready service=" + nameOfService(s.service) + " " + describe(s.grant));
  }
  publishOwnLeases();
  due_ = std::min({renew_at_, claim_at_, query_at_});
  if (!voter_.mayPromise(now)) due_ = std::min(due_, sync_at_);
  for (const auto& [id, lease] : lease_holder_.all()) {
    if (lease.confirmed && !lease.ready) due_ = std::min(due_, std::max(lease.ready_at, now + kMillisecond));
  }
}

void Member::receive(Time now, Number from, std::string_view bytes, Output& out) {
  const auto m = decode(bytes);
  if (!m || !voters_.find(from) || from == self_) return;
  checkInstallation(now, from, m->installation, out);
  switch (m->kind) {
    case MessageKind::SyncRequest:
      onSyncRequest(from, *m, out);
      break;
    case MessageKind::SyncReply:
      onSyncReply(now, from, *m, out);
      break;
    case MessageKind::Renew:
      onRenew(now, from, *m, out);
      break;
    case MessageKind::Claim:
      onClaim(now, from, *m, out);
      break;
    case MessageKind::Vote:
      onVote(now, from, *m, out);
      break;
    case MessageKind::LeaseQuery:
      onLeaseQuery(now, from, *m, out);
      break;
    case MessageKind::LeaseReply:
      onLeaseReply(now, *m, out);
      break;
  }
  publishOwnLeases();
}

Permit Member::permit(ServiceId service, Time now) const {
  const bool listed =
      std::any_of(services_.begin(), services_.end(), [&](const Service& s) { return s.id == service; });
  if (!listed) return {Denial::NoSuchService};
  const Grant known = voter_.known(service);
  Permit p = lease_cache_.permit(service, now);
  if (p.ok() && (p.term != known.term || voter_.disputed(service))) p.denial = Denial::LeaseExpired;
  return p;
}

}  // namespace client_proxy::leases
