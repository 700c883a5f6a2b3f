// SWIM's failure detector: direct and indirect probes, suspicion with Lifeguard's timeouts, and pings of
// members that are considered dead.
#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>
#include <vector>

#include "fleet/fleet.h"

namespace client_proxy::fleet {
namespace {

constexpr Time kAloneInterval = 500 * kMillisecond;  // between pings while no other member replies
constexpr Time kJoinPhase = 3 * kSecond;             // after the start, with more frequent pings
constexpr std::size_t kAloneFanout = 3;              // members pinged at once while alone
constexpr std::size_t kMaxRelays = 64;

}  // namespace

Time Fleet::probeDueAt() const {
  if (!probe_) return next_probe_at_;
  return probe_->answered ? probe_->end : std::min(probe_->resend_at, probe_->end);
}

void Fleet::probeNext(Time now, Out& out) {
  const auto target = probe_order_.next(roster_, settings_.self, random_);
  // Based on the planned time and not on when the timer fired, or the interval would drift.
  const Time planned = next_probe_at_ + health_.scaled(settings_.probe_interval);
  next_probe_at_ = std::max(planned, now + settings_.probe_interval / 2);
  if (!target) return;
  Probe probe;
  probe.slot = *target;
  probe.sequence = ++sequence_;
  probe.timeout = probe.resend_at = now + health_.scaled(settings_.probe_timeout);
  probe.end = next_probe_at_ = std::max(next_probe_at_, probe.timeout + settings_.probe_timeout);
  probe_ = probe;
  send(now, *target, Kind::Ping, probe.sequence, {}, out);
}

void Fleet::onProbeTime(Time now, Out& out) {
  if (probe_ && !probe_->answered && now >= probe_->resend_at) {
    // Most probes without a reply are due to one lost datagram.
    probe_->resend_at = now + settings_.probe_timeout / 2;
    send(now, probe_->slot, Kind::Ping, probe_->sequence, {}, out);
  }
  if (probe_ && !probe_->answered && !probe_->indirect_sent && now >= probe_->timeout) {
    probe_->indirect_sent = true;
    for (const std::size_t helper : pick(settings_.helpers, probe_->slot)) {
      ++probe_->helpers;
      send(now, helper, Kind::IndirectPing, probe_->sequence,
           {Subject{roster_.at(probe_->slot).listed.number}}, out);
    }
  }
  if (probe_ && now >= probe_->end) {
    if (!probe_->answered) onProbeFailed(now, out);
    probe_.reset();
  }
  if (!probe_ && now >= next_probe_at_) probeNext(now, out);
}

void Fleet::onProbeFailed(Time now, Out& out) {
  // Lifeguard: helpers that did not even send a nack suggest that this member itself is cut off.
  const std::size_t silent = probe_->helpers - std::min(probe_->helpers, probe_->nacks);
  health_.degrade(probe_->helpers == 0 ? 1 : static_cast<int>(silent));
  suspect(now, probe_->slot, settings_.self, out);
}

// Probes the subjects on behalf of the sender.
void Fleet::onIndirectPing(Time now, const Message& message, Out& out) {
  const Header& header = message.header;
  for (const Item& item : message.items) {
    const auto* const subject = std::get_if<Subject>(&item);
    const auto target = subject != nullptr ? roster_.find(subject->member) : std::nullopt;
    if (!target || *target == self_ || relays_.size() >= kMaxRelays || leaving_) continue;
    relays_[++sequence_] = {header.from, subject->member, header.sequence,
                            now + settings_.probe_timeout * 4 / 5};
    send(now, *target, Kind::Ping, sequence_, {}, out);
  }
}

void Fleet::onAck(Time now, std::uint32_t sequence, std::size_t slot, Out& out) {
  if (probe_ && probe_->sequence == sequence && probe_->slot == slot) {
    if (!probe_->indirect_sent) health_.improve();
    probe_->answered = true;
  }
  const auto relay = relays_.find(sequence);
  if (relay == relays_.end() || relay->second.subject != roster_.at(slot).listed.number) return;
  if (const auto requester = roster_.find(relay->second.requester))
    send(now, *requester, Kind::IndirectAck, relay->second.request_sequence, {Subject{relay->second.subject}},
         out);
  relays_.erase(relay);
}

// Sends nacks for indirect probes that were not answered in time.
void Fleet::expireRelays(Time now, Out& out) {
  std::erase_if(relays_, [&](const auto& entry) {
    const Relay& relay = entry.second;
    if (relay.nack_at > now) return false;
    if (const auto requester = roster_.find(relay.requester))
      send(now, *requester, Kind::Nack, relay.request_sequence, {Subject{relay.subject}}, out);
    return true;
  });
}

void Fleet::suspect(Time now, std::size_t slot, Number by, Out& out) {
  const Standing& held = roster_.at(slot).standing;
  if (isLive(held.state)) updateStanding(now, slot, {held.incarnation, State::Suspect}, by, out);
}

Time Fleet::suspicionOf(const Member& m) const {
  const auto members = static_cast<double>(std::max<std::size_t>(roster_.live(), 10));
  const auto least = static_cast<Time>(static_cast<double>(settings_.min_suspicion) * std::log10(members));
  const auto most = static_cast<Time>(static_cast<double>(least) * settings_.max_suspicion_factor);
  const std::size_t others = roster_.live() > 2 ? roster_.live() - 2 : 0;
  return suspicionTime(least, most, m.accusers.size(), std::min(others, kMaxAccusers - 1));
}

void Fleet::expireSuspects(Time now, Out& out) {
  if (roster_.count(State::Suspect) == 0) return;
  for (std::size_t slot = 0; slot < roster_.size(); ++slot) {
    const Member& m = roster_.at(slot);
    if (m.standing.state == State::Suspect && now >= m.suspected_at + suspicionOf(m))
      updateStanding(now, slot, {m.standing.incarnation, State::Dead}, 0, out);
  }
}

// Pings members that are dead or unknown, so that a healed partition or a restart is detected.
void Fleet::pingUnreachable(Time now, Out& out) {
  const bool alone = roster_.live() <= 1;
  std::vector<std::size_t> unreachable;
  for (std::size_t slot = 0; slot < roster_.size(); ++slot) {
    const State s = roster_.at(slot).standing.state;
    // While alone, members that left are pinged too: their return may have been missed.
    if (s == State::Unknown || s == State::Dead || (alone && s == State::Left && slot != self_))
      unreachable.push_back(slot);
  }
  for (std::size_t n = 0; n < (alone ? kAloneFanout : 1) && !unreachable.empty(); ++n) {
    const std::size_t i = random_.below(static_cast<std::uint32_t>(unreachable.size()));
    send(now, unreachable[i], Kind::Ping, ++sequence_, {}, out);
    unreachable[i] = unreachable.back();
    unreachable.pop_back();
  }
  unreachable_pinged_at_ = now;
  unreachable_jitter_ = 0.9 + 0.2 * random_.unit();
}

// Computed from the number of members that are unreachable now, not from the number at the last ping.
Time Fleet::pingUnreachableAt(Time now) const {
  const bool alone = roster_.live() <= 1;
  if (alone && settings_.dead_ping_interval != kNever)
    return unreachable_pinged_at_ + (now - started_at_ < kJoinPhase ? kJoinInterval : kAloneInterval);
  if (alone) return now - started_at_ < kJoinPhase ? unreachable_pinged_at_ + kJoinInterval : kNever;
  const std::size_t unreachable = roster_.count(State::Dead) + roster_.count(State::Unknown);
  if (unreachable == 0 || settings_.dead_ping_interval == kNever) return kNever;
  // All live members together ping each unreachable one at the same rate, however many there are of either.
  const auto each = std::max(1.0, static_cast<double>(roster_.live()) / static_cast<double>(unreachable));
  return unreachable_pinged_at_ +
         static_cast<Time>(static_cast<double>(settings_.dead_ping_interval) * each * unreachable_jitter_);
}

}  // namespace client_proxy::fleet
