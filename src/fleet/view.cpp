// The view of the fleet for those who decide by it, and how far it can be relied on.
#include <utility>

#include "fleet/fleet.h"

namespace client_proxy::fleet {
namespace {

constexpr Time kSureAfter = 2 * kSecond;     // since the start or a pause
constexpr Time kAgreedWithin = 3 * kSecond;  // another member held the same view
constexpr Time kRemembered = 60 * kSecond;   // a dead member counts as one that was live of late
constexpr int kUnwell = 3;                   // LocalHealth::score() from which on

}  // namespace

bool Fleet::twice(Time now) const { return duplicate_.detected(now); }

Doubt Fleet::doubt(Time now) const {
  if (roster_.size() == 1) return Doubt::None;
  if (now - started_at_ < kSureAfter && !recalled_) return Doubt::Starting;
  if (roster_.live() <= 1) return Doubt::Alone;
  if (twice(now)) return Doubt::Twice;
  if (now - paused_at_ < kSureAfter) return Doubt::Paused;
  std::size_t lately = roster_.live();
  for (const Member& m : roster_.all()) {
    if (m.standing.state == State::Dead && now - m.live_at < kRemembered) ++lately;
  }
  if (roster_.live() * 2 <= lately) return Doubt::Minority;
  if (health_.score() >= kUnwell) return Doubt::Unwell;
  return now - agreed_at_ < kAgreedWithin ? Doubt::None : Doubt::Differs;
}

View Fleet::view(Time now) const {
  View v;
  v.self = settings_.self;
  v.live = roster_.live();
  v.suspects = roster_.count(State::Suspect);
  v.dead = roster_.count(State::Dead);
  v.left = roster_.count(State::Left);
  v.unheard = roster_.count(State::Unheard);
  v.unchanged = now - changed_at_;
  v.hash = roster_.hash();
  v.doubt = doubt(now);
  for (const Member& m : roster_.all()) {
    ViewedMember seen;
    seen.number = m.listed.number;
    seen.state = m.standing.state;
    seen.incarnation = m.standing.incarnation;
    seen.since = m.since;
    seen.heard = m.heard;
    seen.accusers = m.accusers;
    seen.facts = decodeFacts(m.facts).value_or(Facts{});
    seen.zone = m.listed.zone.empty() ? seen.facts.zone : m.listed.zone;
    seen.region = m.listed.region.empty() ? seen.facts.region : m.listed.region;
    if (isLive(seen.state) && seen.number < settings_.self) ++v.rank;
    v.members.push_back(std::move(seen));
  }
  return v;
}

}  // namespace client_proxy::fleet
