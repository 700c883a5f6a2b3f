// Grants known to other members: requested at the start, and learned from every later message.
#include <utility>

#include "leases/member.h"

namespace client_proxy::leases {
namespace {

constexpr Time kSyncInterval = 300 * fleet::kMillisecond;

}  // namespace

// After its start a member repeats the request until a majority of the others has sent all grants it knows.
void Member::requestSync(Time now, Output& out) {
  sync_at_ = now + kSyncInterval;
  const Message request = message(MessageKind::SyncRequest, state_sync_.round());
  forEachOther([&](Number n) {
    if (state_sync_.needsReplyFrom(n)) send(n, request, out);
  });
  if (voters_.size() == 1) synchronize(now, out);
}

void Member::onSyncRequest(Number from, const Message& request, Output& out) {
  Message reply = message(MessageKind::SyncReply, request.round);
  for (const StoredGrant& s : voter_.allKnown()) reply.entries.push_back({s.service, s.grant});
  reply.digest = static_cast<std::uint32_t>(reply.entries.size());
  sendParts(from, reply, out);
}

void Member::onSyncReply(Time now, Number from, const Message& reply, Output& out) {
  if (reply.round != state_sync_.round()) return;
  for (const Entry& e : reply.entries) learn(now, e.service, e.grant, out);
  if (state_sync_.onReply(from, reply)) synchronize(now, out);
}

void Member::synchronize(Time now, Output& out) {
  for (const StoredGrant& s : voter_.synchronize(now)) {
    lease_holder_.drop(s.service);
    report(now,
           {.kind = ConflictKind::Unwitnessed, .service = s.service, .claimant = self_, .claim = s.grant},
           out);
  }
}

// A learned grant never permits more than before: a newer grant invalidates the old one here at once, but
// requests are sent under it only after its site's leader has confirmed the lease.
void Member::learn(Time now, ServiceId service, const Grant& grant, Output& out) {
  const Grant before = voter_.known(service);
  const bool newer = voter_.learn(service, grant);
  if (voter_.disputed(service)) onDispute(now, service, before, grant, out);
  if (!newer || before.site == grant.site) return;
  const Lease* const lease = lease_holder_.lease(service);
  if (lease != nullptr && grant.reason != ClaimReason::Override) {
    report(now,
           {.kind = lease->confirmed ? ConflictKind::ExpiredLease : ConflictKind::Stale,
            .service = service,
            .claimant = self_,
            .claim = lease->grant,
            .known = grant},
           out);
  }
  invalidate(service);
}

void Member::onDispute(Time now, ServiceId service, const Grant& before, const Grant& grant, Output& out) {
  invalidate(service);
  // All members have to know both grants; otherwise some would continue under one of them.
  if (isSiteLeader() && std::exchange(disputes_broadcast_[service], grant.term) != grant.term) {
    Message both = message(MessageKind::Claim, 0);
    both.entries = {{service, before}, {service, grant}};
    sendToOthers(both, out);
  }
  const bool overrides = before.reason == ClaimReason::Override && grant.reason == ClaimReason::Override;
  if (!overrides || grant.site == before.site) return;
  report(now,
         {.kind = ConflictKind::ConflictingOverrides, .service = service, .claim = grant, .known = before},
         out);
}

}  // namespace client_proxy::leases
