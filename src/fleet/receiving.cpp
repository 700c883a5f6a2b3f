// Handling of received datagrams: their items are merged into the roster, and requests are answered.
#include <algorithm>
#include <utility>

#include "fleet/fleet.h"

namespace client_proxy::fleet {
namespace {

bool addAccuser(Member& suspect, Number by) {
  const bool known =
      std::find(suspect.accusers.begin(), suspect.accusers.end(), by) != suspect.accusers.end();
  if (known || suspect.accusers.size() >= kMaxAccusers) return false;
  suspect.accusers.push_back(by);
  return true;
}

}  // namespace

void Fleet::receive(Time now, Number from, std::string_view datagram, Out& out) {
  advance(now);
  const Decoded decoded = decode(datagram, settings_.fleet, settings_.newest);
  if (decoded.fault != Fault::None) {
    drops_.count(decoded.fault);
    return;
  }
  const Header& header = decoded.message.header;
  const auto slot = roster_.find(from);
  if (header.from == settings_.self && nonceOf(header.incarnation) != nonceOf(incarnation()))
    duplicate_.onClaimed(now);
  if (header.from != from || header.to != settings_.self || !slot || *slot == self_) {
    ++drops_.misaddressed;
    return;
  }
  onContact(now, *slot, header, out);
  apply(now, *slot, decoded.message, out);
  if (now >= sending_suspended_until_) reply(now, *slot, decoded.message, out);
  schedule(now);
}

// Any datagram from a member proves that it is alive.
void Fleet::onContact(Time now, std::size_t slot, const Header& header, Out& out) {
  Member& m = roster_.at(slot);
  m.last_contact = now;
  m.newest = std::max(kOldestVersion, header.newest);
  if (probe_ && probe_->slot == slot) probe_->answered = true;
  updateStanding(now, slot, {header.incarnation, State::Alive}, 0, out);
  if (header.view == roster_.hash()) agreed_at_ = now;
}

void Fleet::reply(Time now, std::size_t slot, const Message& message, Out& out) {
  const Header& header = message.header;
  // A suspect must learn of the suspicion to refute it; the reply to a ping includes it anyway.
  const bool must_know = roster_.at(slot).standing.state > State::Alive && !leaving_;
  switch (header.kind) {
    case Kind::Ping:
      send(now, slot, Kind::Ack, header.sequence, {}, out);
      break;
    case Kind::Ack:
      onAck(now, header.sequence, slot, out);
      break;
    case Kind::IndirectPing:
      onIndirectPing(now, message, out);
      break;
    case Kind::IndirectAck:
      if (!probe_ || probe_->sequence != header.sequence) break;
      probe_->answered = true;
      health_.improve();
      break;
    case Kind::Nack:
      if (probe_ && probe_->sequence == header.sequence) ++probe_->nacks;
      break;
    case Kind::Gossip:
      break;
  }
  if (must_know && header.kind != Kind::Ping && maySpend()) send(now, slot, Kind::Gossip, 0, {}, out);
  compareStandings(now, slot, header.view, out);
}

void Fleet::apply(Time now, std::size_t slot, const Message& message, Out& out) {
  bool held = false;
  for (const Item& item : message.items) {
    if (const auto* const payload = std::get_if<ApplicationPayload>(&item))
      out.messages.push_back({roster_.at(slot).listed.number, payload->bytes});
    if (const auto* const rumour = std::get_if<Rumour>(&item)) applyRumour(now, *rumour, out);
    if (const auto* const record = std::get_if<Record>(&item)) applyRecord(now, *record, out);
    if (const auto* const digest = std::get_if<Digest>(&item)) answerDigest(now, slot, *digest, out);
    if (const auto* const block = std::get_if<Block>(&item)) answerBlock(now, slot, *block, message, out);
    held = held || std::holds_alternative<Held>(item);
  }
  if (held) answerHeldVersions(now, slot, message, out);
}

void Fleet::applyRecord(Time now, const Record& record, Out& out) {
  const auto slot = roster_.find(record.member);
  if (!slot || record.facts.size() > kMaxFactsBytes) return;
  if (*slot != self_) {
    if (roster_.merge(*slot, record.version, record.facts))
      gossip_queue_.addRecord(roster_, *slot, record.urgent);
    return;
  }
  // Written by the previous process, whose clock was ahead: this member's record must supersede it.
  if (record.version <= self().version || unpublished_ || leaving_) return;
  refute(now, {record.version.incarnation, State::Alive}, out);
  unpublished_ = self().facts;
  publishRecord(now, true);
}

void Fleet::applyRumour(Time now, const Rumour& rumour, Out& out) {
  const auto slot = roster_.find(rumour.member);
  if (!slot) return;
  if (*slot == self_) return refute(now, rumour.standing, out);
  Member& m = roster_.at(*slot);
  if (rumour.standing == m.standing) gossip_queue_.receivedAgain(m);
  updateStanding(now, *slot, rumour.standing, rumour.by, out);
}

// Handles a received standing of this member. Only the member itself may declare itself alive again, at a
// higher incarnation than any that others have received.
void Fleet::refute(Time now, const Standing& standing, Out& out) {
  if (leaving_ || standing <= self().standing || !settings_.refute_suspicion) return;
  const Incarnation own = incarnation();
  if (nonceOf(standing.incarnation) != nonceOf(own)) {
    if (!duplicate_.onForeignIncarnation(now, standing.incarnation)) return;
  } else {
    ++refuted_;
    health_.degrade();
  }
  duplicate_.onRefuted(now);
  const Incarnation next = nextIncarnation(std::max(standing.incarnation, own), nonceOf(own));
  updateStanding(now, self_, {next, State::Alive}, 0, out);
}

void Fleet::updateStanding(Time now, std::size_t slot, const Standing& standing, Number by, Out& out) {
  Member& m = roster_.at(slot);
  const State was = m.standing.state;
  const bool changed = roster_.merge(slot, standing, now);
  const bool accused = m.standing == standing && standing.state == State::Suspect && addAccuser(m, by);
  if (changed && settings_.min_suspicion == 0 && standing.state == State::Suspect)
    return updateStanding(now, slot, {standing.incarnation, State::Dead}, by, out);
  if (changed && was != standing.state) {
    out.changes.push_back({m.listed.number, was, standing.state, by});
    if (isLive(was) != isLive(standing.state)) changed_at_ = now;
  }
  if (changed || accused) gossip_queue_.addStanding(roster_, slot);
}

}  // namespace client_proxy::fleet
