// Leases of other sites: a member queries the leaders of those sites, and a leader replies for its own site.
#include <algorithm>

#include "leases/member.h"

namespace client_proxy::leases {
namespace {

using fleet::kMillisecond;

constexpr Time kMostMilliseconds = 65'535;

// Rounded to the safe side for the requester: less time left, more time to wait.
std::uint16_t millisecondsLeft(Time t) {
  return static_cast<std::uint16_t>(std::clamp<Time>(t / kMillisecond, 0, kMostMilliseconds));
}
std::uint16_t millisecondsToWait(Time t) {
  return static_cast<std::uint16_t>(std::clamp<Time>((t + 999) / kMillisecond, 0, kMostMilliseconds));
}

}  // namespace

void Member::queryLeases(Time now, Output& out) {
  query_at_ = now + settings_.query_interval;
  std::set<SiteId> owners;
  for (const Service& s : services_) {
    const SiteId owner = voter_.known(s.id).site;
    if (owner != kNoSite && !(owner == site_ && isSiteLeader())) owners.insert(owner);
  }
  for (const SiteId owner : owners) {
    if (const auto leader = voters_.leaderOf(owner, liveness_))
      send(*leader, message(MessageKind::LeaseQuery, lease_cache_.beginQuery(now)), out);
  }
}

void Member::onLeaseQuery(Time now, Number from, const Message& query, Output& out) {
  Message reply = message(MessageKind::LeaseReply, query.round);
  for (const auto& [id, lease] : lease_holder_.all()) {
    if (!lease.confirmed || now >= lease.expires_at || !(voter_.known(id) == lease.grant)) continue;
    const std::uint16_t wait =
        lease.ready_at <= now ? std::uint16_t{0} : millisecondsToWait(lease.ready_at - now);
    reply.entries.push_back({id, lease.grant, true, false, millisecondsLeft(lease.expires_at - now), wait});
  }
  if (!reply.entries.empty()) sendParts(from, reply, out);
}

void Member::onLeaseReply(Time now, const Message& reply, Output& out) {
  for (const Entry& e : reply.entries) {
    learn(now, e.service, e.grant, out);
    const Grant known = voter_.known(e.service);
    if (known == e.grant && !voter_.disputed(e.service)) lease_cache_.onReply(now, reply.round, e);
  }
}

// Enters the leases that this member holds itself into its cache, so that they need no query.
void Member::publishOwnLeases() {
  for (const auto& [id, lease] : lease_holder_.all()) {
    if (lease.confirmed && voter_.known(id) == lease.grant && !voter_.disputed(id))
      lease_cache_.update(id, lease.grant, lease.expires_at, lease.ready_at);
  }
}

}  // namespace client_proxy::leases
