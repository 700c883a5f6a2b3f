#include "leases/permits.h"

#include <algorithm>

namespace quinceline::leases {
namespace {

constexpr std::size_t kRounds = 8;  // that may still be answered

}  // namespace

std::uint32_t Permits::begin(Time now) {
  if (rounds_.size() >= kRounds) rounds_.pop_front();
  rounds_.push_back({++last_, now});
  return last_;
}

// The lower term never comes back; of one term the later lease holds, and what was owed first is owed.
void Permits::take(ServiceId service, const Known& k) {
  Known& known = known_[service];
  if (k.deed.term < known.deed.term) return;
  if (!(k.deed == known.deed)) {
    known = k;
    return;
  }
  known.until = std::max(known.until, k.until);
  known.ready_at = std::min(known.ready_at, k.ready_at);
}

void Permits::told(Time now, std::uint32_t round, const Entry& e) {
  const auto r =
      std::find_if(rounds_.begin(), rounds_.end(), [&](const Round& o) { return o.number == round; });
  if (r == rounds_.end() || !e.yes) return;
  // What is left was counted after the question was asked, and what is owed before the answer came.
  const auto left = static_cast<Time>(e.first * fleet::kMillisecond * (1 - rules_.drift));
  const auto owed = static_cast<Time>(e.second * fleet::kMillisecond * (1 + rules_.drift));
  take(e.service, {e.deed, r->asked + left, now + owed});
}

void Permits::held(ServiceId service, const Deed& deed, Time until, Time ready_at) {
  take(service, {deed, until, ready_at});
}

Permit Permits::at(ServiceId service, Time now) const {
  const auto it = known_.find(service);
  if (it == known_.end()) return {};
  const Known& k = it->second;
  Permit p{Bar::None, k.deed.site, k.deed.term, 0};
  if (now >= k.until) {
    p.bar = Bar::Unproven;
  } else if (now < k.ready_at) {
    p.bar = Bar::Owed;
    p.wait = k.ready_at - now;
  }
  return p;
}

Time Permits::readyAt(ServiceId service, const Deed& deed) const {
  const auto it = known_.find(service);
  return it == known_.end() || !(it->second.deed == deed) ? fleet::kNever : it->second.ready_at;
}

}  // namespace quinceline::leases
