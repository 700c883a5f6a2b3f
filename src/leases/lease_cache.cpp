#include "leases/lease_cache.h"

#include <algorithm>

namespace client_proxy::leases {
namespace {

constexpr std::size_t kRounds = 8;  // replies to older rounds are ignored

}  // namespace

std::uint32_t LeaseCache::beginQuery(Time now) {
  if (rounds_.size() >= kRounds) rounds_.pop_front();
  rounds_.push_back({++last_round_, now});
  return last_round_;
}

// A lease under a lower term is ignored. For one grant, the latest expiry and the earliest end of the drain
// time are kept.
void LeaseCache::merge(ServiceId service, const CachedLease& lease) {
  CachedLease& cached = leases_[service];
  if (lease.grant.term < cached.grant.term) return;
  if (!(lease.grant == cached.grant)) {
    cached = lease;
    return;
  }
  cached.expires_at = std::max(cached.expires_at, lease.expires_at);
  cached.ready_at = std::min(cached.ready_at, lease.ready_at);
}

void LeaseCache::onReply(Time now, std::uint32_t round, const Entry& e) {
  const auto r =
      std::find_if(rounds_.begin(), rounds_.end(), [&](const Round& o) { return o.number == round; });
  if (r == rounds_.end() || !e.granted) return;
  // Conservative in both values: the holder computed the remaining lease after the query was sent, and the
  // remaining drain time before the reply arrived.
  const auto left = static_cast<Time>(e.valid_ms * fleet::kMillisecond * (1 - settings_.drift));
  const auto drain = static_cast<Time>(e.wait_ms * fleet::kMillisecond * (1 + settings_.drift));
  merge(e.service, {e.grant, r->sent + left, now + drain});
}

void LeaseCache::update(ServiceId service, const Grant& grant, Time expires_at, Time ready_at) {
  merge(service, {grant, expires_at, ready_at});
}

Permit LeaseCache::permit(ServiceId service, Time now) const {
  const auto it = leases_.find(service);
  if (it == leases_.end()) return {};
  const CachedLease& lease = it->second;
  Permit p{Denial::None, lease.grant.site, lease.grant.term, 0};
  if (now >= lease.expires_at) {
    p.denial = Denial::LeaseExpired;
  } else if (now < lease.ready_at) {
    p.denial = Denial::Draining;
    p.wait = lease.ready_at - now;
  }
  return p;
}

Time LeaseCache::readyAt(ServiceId service, const Grant& grant) const {
  const auto it = leases_.find(service);
  return it == leases_.end() || !(it->second.grant == grant) ? fleet::kNever : it->second.ready_at;
}

}  // namespace client_proxy::leases
