#include "leases/lease_cache.h"

#include <algorithm>

namespace client_proxy::leases {
namespace {

constexpr std::size_t kRounds = 8;  // whose answers still count

}  // namespace

std::uint32_t LeaseCache::beginQuery(Time now) {
  if (rounds_.size() >= kRounds) rounds_.pop_front();
  rounds_.push_back({++last_round_, now});
  return last_round_;
}

// A lower term is ignored; of one grant the latest expiry and the earliest end of the drain time hold.
void LeaseCache::merge(ServiceId service, const Known& k) {
  Known& known = known_[service];
  if (k.grant.term < known.grant.term) return;
  if (!(k.grant == known.grant)) {
    known = k;
    return;
  }
  known.expires_at = std::max(known.expires_at, k.expires_at);
  known.ready_at = std::min(known.ready_at, k.ready_at);
}

void LeaseCache::onReply(Time now, std::uint32_t round, const Entry& e) {
  const auto r =
      std::find_if(rounds_.begin(), rounds_.end(), [&](const Round& o) { return o.number == round; });
  if (r == rounds_.end() || !e.yes) return;
  // Conservative at both ends: the lease was measured after the query was sent, the drain time before the
  // answer arrived.
  const auto left = static_cast<Time>(e.valid_ms * fleet::kMillisecond * (1 - settings_.drift));
  const auto drain = static_cast<Time>(e.wait_ms * fleet::kMillisecond * (1 + settings_.drift));
  merge(e.service, {e.grant, r->sent + left, now + drain});
}

void LeaseCache::update(ServiceId service, const Grant& grant, Time expires_at, Time ready_at) {
  merge(service, {grant, expires_at, ready_at});
}

Permit LeaseCache::permit(ServiceId service, Time now) const {
  const auto it = known_.find(service);
  if (it == known_.end()) return {};
  const Known& k = it->second;
  Permit p{Denial::None, k.grant.site, k.grant.term, 0};
  if (now >= k.expires_at) {
    p.denial = Denial::LeaseExpired;
  } else if (now < k.ready_at) {
    p.denial = Denial::Draining;
    p.wait = k.ready_at - now;
  }
  return p;
}

Time LeaseCache::readyAt(ServiceId service, const Grant& grant) const {
  const auto it = known_.find(service);
  return it == known_.end() || !(it->second.grant == grant) ? fleet::kNever : it->second.ready_at;
}

}  // namespace client_proxy::leases
