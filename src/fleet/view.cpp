// Builds the view of the fleet for other packages and decides whether it is reliable.
#include <utility>

#include "fleet/fleet.h"

namespace client_proxy::fleet {
namespace {

constexpr Time kSettleTime = 2 * kSecond;       // after the start or a pause
constexpr Time kAgreementWindow = 3 * kSecond;  // since another member reported the same view
constexpr Time kRecentlyLive = 60 * kSecond;    // how long a dead member counts as recently live
constexpr int kDegradedScore = 3;               // LocalHealth::score() from which on the view is doubtful

}  // namespace

bool Fleet::duplicateDetected(Time now) const { return duplicate_.detected(now); }

Doubt Fleet::doubt(Time now) const {
  if (roster_.size() == 1) return Doubt::None;
  if (now - started_at_ < kSettleTime && !restored_) return Doubt::Starting;
  if (roster_.live() <= 1) return Doubt::Alone;
  if (duplicateDetected(now)) return Doubt::DuplicateNumber;
  if (now - paused_at_ < kSettleTime) return Doubt::Paused;
  std::size_t recently_live = roster_.live();
  for (const Member& m : roster_.all()) {
    if (m.standing.state == State::Dead && now - m.last_live_at < kRecentlyLive) ++recently_live;
  }
  if (roster_.live() * 2 <= recently_live) return Doubt::Minority;
  if (health_.score() >= kDegradedScore) return Doubt::Degraded;
  return now - agreed_at_ < kAgreementWindow ? Doubt::None : Doubt::ViewsDiffer;
}

View Fleet::view(Time now) const {
  View v;
  v.self = settings_.self;
  v.live = roster_.live();
  v.suspects = roster_.count(State::Suspect);
  v.dead = roster_.count(State::Dead);
  v.left = roster_.count(State::Left);
  v.unknown = roster_.count(State::Unknown);
  v.unchanged = now - changed_at_;
  v.hash = roster_.hash();
  v.doubt = doubt(now);
  for (const Member& m : roster_.all()) {
    ViewedMember seen;
    seen.number = m.listed.number;
    seen.state = m.standing.state;
    seen.incarnation = m.standing.incarnation;
    seen.since = m.since;
    seen.last_contact = m.last_contact;
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
