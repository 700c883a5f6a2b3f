#include "admission/connections.h"

#include <algorithm>
#include <cstring>

namespace client_proxy::admission {
namespace {

// A client that has just connected is about to ask. How long that takes is learnt; these are its bounds.
constexpr Time kLeastGrace = 20'000, kMostGrace = 200'000;
constexpr double kGraceFactor = 4;
constexpr double kAsksWeight = 0.1;   // the last ten connections count
constexpr double kDelayFades = 0.02;  // of the learnt delay, with each client that asks sooner
// Room is taken from one address first where it has this many times what the others have on average, and this
// part of all.
constexpr double kOverShare = 2;
constexpr std::size_t kLargePart = 8;
// Connections with input waiting that evictionCandidate() passes over before it says that there is none.
constexpr int kMostSkipped = 64;

}  // namespace

ConnectionGate::ConnectionGate(Limits limits) : limits_(limits) {}

std::size_t ConnectionGate::AddressHash::operator()(const PeerAddress& a) const {
  std::uint64_t high = 0, low = 0;
  std::memcpy(&high, a.data(), 8);
  std::memcpy(&low, a.data() + 8, 8);
  std::uint64_t h = (high * 0x9E3779B97F4A7C15ULL) ^ low;
  h = (h ^ (h >> 31)) * 0xBF58476D1CE4E5B9ULL;
  return h ^ (h >> 29);
}

ConnectionGate::Record* ConnectionGate::find(ConnectionId id) {
  const auto slot = static_cast<std::uint32_t>(id) - 1U;
  if (slot >= records_.size()) return nullptr;
  Record& r = records_[slot];
  return r.generation == id >> 32 && r.peer != kNoSlot ? &r : nullptr;
}

SlotList& ConnectionGate::listOf(const Record& r) {
  return r.state == State::Silent ? silent_ : r.requests > 1 ? used_ : once_;
}

void ConnectionGate::rest(Slot slot) {
  Record& r = records_[slot];
  r.resting = true;
  r.skipped = false;
  listOf(r).pushBack(records_, &Record::order, slot);
  peers_[r.peer].resting.pushBack(records_, &Record::of_peer, slot);
}

void ConnectionGate::wake(Slot slot) {
  Record& r = records_[slot];
  if (!std::exchange(r.resting, false)) return;
  listOf(r).remove(records_, &Record::order, slot);
  peers_[r.peer].resting.remove(records_, &Record::of_peer, slot);
}

void ConnectionGate::setDue(Slot slot, Time due) {
  Record& r = records_[slot];
  if (r.due != 0) wheel_[r.bucket].remove(records_, &Record::wheel, slot);
  r.due = due;
  if (due == 0) return;
  // What is due already goes where the next look begins.
  r.bucket = static_cast<std::uint16_t>(std::max(due / kTick, swept_) % static_cast<Time>(kBuckets));
  wheel_[r.bucket].pushBack(records_, &Record::wheel, slot);
}

void ConnectionGate::enter(Record& r, State state, Time since, Time limit) {
  const Slot slot = slotOf(r);
  wake(slot);
  r.state = state;
  r.since = since;
  setDue(slot, since + limit);
}

void ConnectionGate::recount(Slot peer, std::uint32_t connections) {
  std::uint32_t& count = peers_[peer].connections;
  // Those with a single connection can't be over a share, and there may be very many of them.
  if (count > 1) by_count_.erase({count, peer});
  count = connections;
  if (count > 1) by_count_.insert({count, peer});
}

void ConnectionGate::joinPeer(Slot slot, const PeerAddress& address) {
  const auto [it, first] = peer_slots_.try_emplace(address, kNoSlot);
  if (first) {
    if (free_peers_.empty()) {
      free_peers_.push_back(static_cast<Slot>(peers_.size()));
      peers_.emplace_back();
    }
    it->second = free_peers_.back();
    free_peers_.pop_back();
    peers_[it->second].address = address;
  }
  records_[slot].peer = it->second;
  recount(it->second, peers_[it->second].connections + 1);
}

void ConnectionGate::leavePeer(Slot slot) {
  const Slot peer = std::exchange(records_[slot].peer, kNoSlot);
  recount(peer, peers_[peer].connections - 1);
  if (peers_[peer].connections > 0) return;
  peer_slots_.erase(peers_[peer].address);
  free_peers_.push_back(peer);
}

ConnectionId ConnectionGate::onAccepted(Time now, const PeerAddress& peer) {
  if (connections_ == 0) swept_ = std::max(swept_, now / kTick);
  if (free_.empty()) {
    free_.push_back(static_cast<Slot>(records_.size()));
    records_.emplace_back();
  }
  const Slot slot = free_.back();
  free_.pop_back();
  Record& r = records_[slot];
  const std::uint32_t generation = r.generation + 1;
  r = {};
  r.generation = generation;
  r.since = now;
  r.beyond = full();
  joinPeer(slot, peer);
  r.beyond |= atBound(peers_[r.peer]);
  rest(slot);
  setDue(slot, now + limits_.silent);
  ++connections_;
  ++accepted_;
  return idOf(slot);
}

void ConnectionGate::onFirstByte(Time now, ConnectionId id) {
  Record* const r = find(id);
  if (r == nullptr) return;
  const bool first = r->state == State::Silent;
  if (first) {
    const auto took = static_cast<double>(now - r->since);
    asks_ += kAsksWeight * (1 - asks_);
    ask_delay_ = std::max(took, ask_delay_ - kDelayFades * (ask_delay_ - took));
  }
  if (r->resting) reuse_.onRequest(now, r->requests + 1, idle());
  enter(*r, State::Reading, first ? r->since : now, limits_.request);
  ++r->requests;  // only now: it tells in which list it has rested
}

void ConnectionGate::extend(ConnectionId id, Time due) {
  Record* const r = find(id);
  if (r != nullptr) setDue(slotOf(*r), due);
}

void ConnectionGate::onRequest(ConnectionId id) {
  Record* const r = find(id);
  if (r == nullptr) return;
  r->state = State::Waiting;
  setDue(slotOf(*r), 0);
}

RejectionReason ConnectionGate::onAnswer(Time now, ConnectionId id, bool more) {
  Record* const r = find(id);
  if (r == nullptr) return RejectionReason::None;
  enter(*r, State::Answering, now, limits_.write);
  const bool full_without_silent = connections_ - silent() > limits_.most;
  if (std::exchange(r->beyond, false) && (full_without_silent || atBound(peers_[r->peer])))
    return RejectionReason::ConnectionLimit;
  if (more || !reuse_.keepsFewIdle()) return RejectionReason::None;
  // One that was used again before is as good as any.
  return r->requests < 2 && idle() >= limits_.kept ? RejectionReason::NotReused : RejectionReason::None;
}

void ConnectionGate::onIdle(Time now, ConnectionId id) {
  Record* const r = find(id);
  if (r == nullptr) return;
  enter(*r, State::Idle, now, limits_.idle);
  rest(slotOf(*r));
}

void ConnectionGate::onLinger(Time now, ConnectionId id) {
  Record* const r = find(id);
  if (r == nullptr) return;
  enter(*r, State::Lingering, now, limits_.linger);
}

void ConnectionGate::onClosed(ConnectionId id, RejectionReason reason) {
  Record* const r = find(id);
  if (r == nullptr) return;
  const Slot slot = slotOf(*r);
  const bool early = reason == RejectionReason::IdleEvicted || reason == RejectionReason::UnusedEvicted ||
                     reason == RejectionReason::PeerQuota;
  if (r->state == State::Idle && !early) reuse_.onUnused(r->requests);
  if (r->state == State::Silent) asks_ -= kAsksWeight * asks_;
  wake(slot);
  setDue(slot, 0);
  leavePeer(slot);
  free_.push_back(slot);
  --connections_;
  ++closed_[static_cast<std::size_t>(reason)];
}

bool ConnectionGate::refuses(ConnectionId id) const {
  const Record* const r = find(id);
  // Whoever says nothing or rests will make room: only those that are busy stand in the way.
  return r != nullptr && r->beyond && (busy() > limits_.most || atBound(peers_[r->peer]));
}

void ConnectionGate::notePendingInput(Time now, ConnectionId id) {
  Record* const r = find(id);
  if (r == nullptr) return;
  r->skipped = true;
  if (r->due != 0 && r->due <= now) setDue(slotOf(*r), now + kTick);
}

Time ConnectionGate::silentGrace() const {
  if (crowded()) return kLeastGrace;
  return std::clamp(static_cast<Time>(kGraceFactor * ask_delay_), kLeastGrace, kMostGrace);
}

// `hook`: of the list. A connection made just now is passed over: its request may be on its way.
std::optional<ConnectionGate::Closing> ConnectionGate::oldest(const SlotList& list, Hook Record::*hook,
                                                              Time now, Time before,
                                                              RejectionReason reason) const {
  int skipped = 0;
  for (Slot s = list.front(); s != kNoSlot; s = (records_[s].*hook).after) {
    const Record& r = records_[s];
    if (r.since > before) return std::nullopt;
    const bool just_connected = r.state == State::Silent && r.since > now - kLeastGrace;
    if (!r.skipped && !just_connected) return Closing{idOf(s), reason};
    if (++skipped > kMostSkipped) return std::nullopt;
  }
  return std::nullopt;
}

// One address that holds far more than the others gives way before anybody else's kept connections do.
std::optional<ConnectionGate::Closing> ConnectionGate::overShare(Time now, Time before) const {
  if (by_count_.empty() || peer_slots_.size() < 2) return std::nullopt;
  const auto [count, peer] = *by_count_.rbegin();
  const double others =
      static_cast<double>(connections_ - count) / static_cast<double>(peer_slots_.size() - 1);
  if (count < limits_.most / kLargePart || count <= kOverShare * others) return std::nullopt;
  return oldest(peers_[peer].resting, &Record::of_peer, now, before, RejectionReason::PeerQuota);
}

std::optional<ConnectionGate::Closing> ConnectionGate::evictionCandidateOf(Time now,
                                                                           const PeerAddress& peer) {
  const auto it = peer_slots_.find(peer);
  if (it == peer_slots_.end() || !atBound(peers_[it->second])) return std::nullopt;
  return oldest(peers_[it->second].resting, &Record::of_peer, now, now, RejectionReason::PeerQuota);
}

// The least useful first. Silent ones that had their chance; then what one address holds beyond its share;
// then kept ones: where connections are not used again those that never were, else whoever has rested
// longest, and those that have carried several requests last. Silent ones that are still protected come at
// the very end, and those that have connected just now never: a client whose request is on its way would lose
// it. In a crowd that says nothing no kept one goes for another of the crowd: there is room again as soon as
// the protection is over.
std::optional<ConnectionGate::Closing> ConnectionGate::evictionCandidate(Time now, Time rested) {
  const Time before = now - rested;
  const auto first = [&](const SlotList& list, Time since, RejectionReason reason) {
    return oldest(list, &Record::order, now, since, reason);
  };
  if (auto c = first(silent_, std::min(before, now - silentGrace()), RejectionReason::SilentEvicted))
    return c;
  if (auto c = overShare(now, before)) return c;
  if (crowded() && !silent_.empty()) return std::nullopt;
  if (auto c = first(once_, before,
                     reuse_.keepsFewIdle() ? RejectionReason::UnusedEvicted : RejectionReason::IdleEvicted))
    return c;
  if (auto c = first(used_, before, RejectionReason::IdleEvicted)) return c;
  return first(silent_, before, RejectionReason::SilentEvicted);
}

void ConnectionGate::overdue(Time now, std::vector<Overdue>& out) {
  const Time to = now / kTick;
  const Time from = std::max(swept_, to - static_cast<Time>(kBuckets) + 1);
  for (Time tick = from; tick <= to; ++tick) {
    const SlotList& bucket = wheel_[static_cast<std::size_t>(tick) % kBuckets];
    for (Slot s = bucket.front(); s != kNoSlot; s = records_[s].wheel.after) {
      if (records_[s].due <= now) out.push_back({idOf(s), records_[s].state});
    }
  }
  swept_ = to;
}

RejectionReason ConnectionGate::reasonOf(State state) {
  switch (state) {
    case State::Silent:
      return RejectionReason::FirstByteTimeout;
    case State::Idle:
      return RejectionReason::IdleTimeout;
    case State::Reading:
      return RejectionReason::RequestTimeout;
    case State::Lingering:
      return RejectionReason::LingerTimeout;
    case State::Waiting:
    case State::Answering:
      break;
  }
  return RejectionReason::ResponseWriteTimeout;
}

}  // namespace client_proxy::admission
