#include "fleet/fleet.h"

#include <algorithm>
#include <stdexcept>
#include <string>
#include <utility>

namespace client_proxy::fleet {
namespace {

constexpr Time kPauseThreshold =
    600 * kMillisecond;                  // a call later than due by more: the process was suspended
constexpr std::size_t kLeaveFanout = 8;  // members that a leave is announced to

}  // namespace

Fleet::Fleet(const Settings& settings, const std::vector<Listed>& members, Incarnation first,
             std::uint64_t seed)
    : settings_(settings), random_(seed), budget_(settings.bytes_per_second) {
  setMembers(0, members);
  roster_.merge(self_, Standing{first, State::Alive}, 0);
}

void Fleet::setMembers(Time now, const std::vector<Listed>& members) {
  Roster next = roster_;
  next.setMembers(members);
  const auto mine = next.find(settings_.self);
  if (!mine)
    throw std::invalid_argument("the list of members does not contain this member, number " +
                                std::to_string(settings_.self));
  for (std::size_t slot = 0; slot < next.size(); ++slot) {
    const Number number = next.at(slot).listed.number;
    if (next.find(number) != slot)
      throw std::invalid_argument("the list of members contains a number more than once: " +
                                  std::to_string(number));
  }
  roster_ = std::move(next);
  self_ = *mine;
  gossip_queue_.rebuild(roster_);
  probe_order_.reset();
  probe_.reset();
  next_probe_at_ = now;
  if (started_) schedule(now);
}

void Fleet::restore(const MembershipSnapshot& previous, Time now) {
  for (const MembershipSnapshot::Known& k : previous.members) {
    const auto slot = roster_.find(k.number);
    if (!slot || *slot == self_) continue;
    roster_.merge(*slot, k.standing, now);
    roster_.merge(*slot, k.version, k.facts);
  }
  roster_.set(self_, Standing{previous.incarnation, State::Alive}, now);
  Member& me = roster_.at(self_);
  me.version = {incarnation(), previous.record};
  restored_ = true;
}

MembershipSnapshot Fleet::snapshot() const {
  MembershipSnapshot out{incarnation(), self().version.sequence, {}};
  for (const Member& m : roster_.all()) {
    if (m.standing.state != State::Unknown)
      out.members.push_back({m.listed.number, m.standing, m.version, m.facts});
  }
  return out;
}

void Fleet::start(Time now, Out& out) {
  started_ = true;
  started_at_ = changed_at_ = clock_ = now;
  budget_.fill(budgetCapacity());
  // Random phases keep members that start together from acting in the same instant.
  const auto part = [&](Time t) { return static_cast<Time>(random_.unit() * static_cast<double>(t)); };
  next_probe_at_ = now + part(settings_.probe_interval);
  next_gossip_at_ = now + part(settings_.gossip_interval);
  compare_records_at_ = now + part(kCompareRecordsInterval);
  unreachable_pinged_at_ = now - kJoinInterval;
  roster_.at(self_).since = now;
  due_ = now;
  onTime(now, out);
}

// Accounts for the time since the last call. A call much later than due() means that the process was
// suspended.
void Fleet::advance(Time now) {
  const Time gap = now - std::max(clock_, due_ == kNever ? now : std::min(due_, now));
  if (gap > kPauseThreshold) onPause(now, gap);
  budget_.refill(now - clock_, budgetCapacity());
  clock_ = now;
}

// Probes that went unanswered during the pause are no evidence against others, and refutations of suspects
// could not be received.
void Fleet::onPause(Time now, Time gap) {
  paused_at_ = now;
  health_.degrade(2);
  probe_.reset();
  relays_.clear();
  next_probe_at_ = now + settings_.probe_interval;
  for (std::size_t slot = 0; slot < roster_.size(); ++slot) {
    if (roster_.at(slot).standing.state == State::Suspect) roster_.at(slot).suspected_at += gap;
  }
}

void Fleet::schedule(Time now) {
  Time due = std::min({probeDueAt(), pingUnreachableAt(now), compare_records_at_});
  if (unpublished_) due = std::min(due, published_at_ + recordInterval());
  if (gossip_queue_.needsRound()) due = std::min(due, next_gossip_at_);
  for (const auto& [sequence, relay] : relays_) due = std::min(due, relay.nack_at);
  if (roster_.count(State::Suspect) > 0) {
    for (const Member& m : roster_.all()) {
      if (m.standing.state == State::Suspect) due = std::min(due, m.suspected_at + suspicionOf(m));
    }
  }
  due_ = leaving_ ? kNever : std::max({due, now, sending_suspended_until_});
}

void Fleet::onTime(Time now, Out& out) {
  advance(now);
  if (!leaving_ && now >= sending_suspended_until_) {
    expireSuspects(now, out);
    onProbeTime(now, out);
    expireRelays(now, out);
    if (now >= pingUnreachableAt(now)) pingUnreachable(now, out);
    if (now >= next_gossip_at_) gossip(now, out);
    if (unpublished_ && now - published_at_ >= recordInterval()) publishRecord(now, false);
    if (now >= compare_records_at_) compareRecords(now, out);
  }
  schedule(now);
}

void Fleet::suspendSending(Time now, Time until) {
  sending_suspended_until_ = until;
  probe_.reset();
  relays_.clear();
  next_probe_at_ = std::max(next_probe_at_, until);
  schedule(now);
}

void Drops::count(Fault fault) {
  switch (fault) {
    case Fault::None:
      break;
    case Fault::Short:
      ++too_short;
      break;
    case Fault::Long:
      ++too_long;
      break;
    case Fault::Foreign:
      ++foreign;
      break;
    case Fault::Version:
      ++version;
      break;
    case Fault::Checksum:
      ++checksum;
      break;
    case Fault::Malformed:
      ++malformed;
      break;
  }
}

void Fleet::leave(Time now, Out& out) {
  if (std::exchange(leaving_, true)) return;
  updateStanding(now, self_, {incarnation(), State::Left}, 0, out);
  for (const std::size_t to : pick(kLeaveFanout, self_))
    send(now, to, Kind::Gossip, 0, {rumourOf(self())}, out);
  schedule(now);
}

}  // namespace client_proxy::fleet
