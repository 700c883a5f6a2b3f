#include "admission/connections.h"

#include <algorithm>
#include <cstring>

namespace client_proxy::admission {
namespace {

// Bounds of the time for which a new connection is protected from eviction. The time within them follows the
// observed delay from acceptance to the first byte.
constexpr Time kMinGrace = 20'000, kMaxGrace = 200'000;
constexpr double kGraceFactor = 4;         // times the observed delay
constexpr double kRequestingWeight = 0.1;  // a moving average over about ten connections
constexpr double kDelayDecay = 0.02;       // of the observed delay, with each faster first byte
// An address is over its share if it has this many times the average number of connections of the others, and
// at least 1/kLargeShareDivisor of the connections that are allowed.
constexpr double kOverShareFactor = 2;
constexpr std::size_t kLargeShareDivisor = 8;
// How many connections with unread input, or just accepted, evictionCandidate() passes over in one list
// before it gives up.
constexpr int kMaxSkipped = 64;

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
  return r.state == State::Silent ? silent_ : r.requests > 1 ? idle_reused_ : idle_unreused_;
}

void ConnectionGate::linkEvictable(Slot slot) {
  Record& r = records_[slot];
  r.evictable = true;
  r.input_pending = false;
  listOf(r).pushBack(records_, &Record::order, slot);
  peers_[r.peer].evictable.pushBack(records_, &Record::of_peer, slot);
}

void ConnectionGate::unlinkEvictable(Slot slot) {
  Record& r = records_[slot];
  if (!std::exchange(r.evictable, false)) return;
  listOf(r).remove(records_, &Record::order, slot);
  peers_[r.peer].evictable.remove(records_, &Record::of_peer, slot);
}

void ConnectionGate::setDue(Slot slot, Time due) {
  Record& r = records_[slot];
  if (r.due != 0) wheel_[r.bucket].remove(records_, &Record::wheel, slot);
  r.due = due;
  if (due == 0) return;
  // An entry that is already due goes into the bucket that is examined first.
  r.bucket = static_cast<std::uint16_t>(std::max(due / kTick, swept_tick_) % static_cast<Time>(kBuckets));
  wheel_[r.bucket].pushBack(records_, &Record::wheel, slot);
}

void ConnectionGate::enterState(Record& r, State state, Time since, Time limit) {
  const Slot slot = slotOf(r);
  unlinkEvictable(slot);
  r.state = state;
  r.since = since;
  setDue(slot, since + limit);
}

void ConnectionGate::setPeerConnections(Slot peer, std::uint32_t connections) {
  std::uint32_t& count = peers_[peer].connections;
  // An address with a single connection can't be over its share, and there may be very many of them.
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
  setPeerConnections(it->second, peers_[it->second].connections + 1);
}

void ConnectionGate::leavePeer(Slot slot) {
  const Slot peer = std::exchange(records_[slot].peer, kNoSlot);
  setPeerConnections(peer, peers_[peer].connections - 1);
  if (peers_[peer].connections > 0) return;
  peer_slots_.erase(peers_[peer].address);
  free_peers_.push_back(peer);
}

ConnectionId ConnectionGate::onAccepted(Time now, const PeerAddress& peer) {
  if (connections_ == 0) swept_tick_ = std::max(swept_tick_, now / kTick);
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
  r.over_limit = full();
  joinPeer(slot, peer);
  r.over_limit |= overPeerLimit(peers_[r.peer]);
  linkEvictable(slot);
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
    requesting_fraction_ += kRequestingWeight * (1 - requesting_fraction_);
    first_byte_delay_ = std::max(took, first_byte_delay_ - kDelayDecay * (first_byte_delay_ - took));
  }
  if (r->evictable) reuse_.onRequest(now, r->requests + 1, idle());
  enterState(*r, State::Reading, first ? r->since : now, limits_.request);
  ++r->requests;  // only here: listOf() needs the previous count to unlink it
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
  enterState(*r, State::Answering, now, limits_.write);
  const bool full_without_silent = connections_ - silent() > limits_.most;
  if (std::exchange(r->over_limit, false) && (full_without_silent || overPeerLimit(peers_[r->peer])))
    return RejectionReason::ConnectionLimit;
  if (more || !reuse_.keepsFewIdle()) return RejectionReason::None;
  // A connection that has already been reused is kept.
  return r->requests < 2 && idle() >= limits_.kept ? RejectionReason::NotReused : RejectionReason::None;
}

void ConnectionGate::onIdle(Time now, ConnectionId id) {
  Record* const r = find(id);
  if (r == nullptr) return;
  enterState(*r, State::Idle, now, limits_.idle);
  linkEvictable(slotOf(*r));
}

void ConnectionGate::onLinger(Time now, ConnectionId id) {
  Record* const r = find(id);
  if (r == nullptr) return;
  enterState(*r, State::Lingering, now, limits_.linger);
}

void ConnectionGate::onClosed(ConnectionId id, RejectionReason reason) {
  Record* const r = find(id);
  if (r == nullptr) return;
  const Slot slot = slotOf(*r);
  const bool early = reason == RejectionReason::IdleEvicted || reason == RejectionReason::UnusedEvicted ||
                     reason == RejectionReason::PeerQuota;
  if (r->state == State::Idle && !early) reuse_.onUnused(r->requests);
  if (r->state == State::Silent) requesting_fraction_ -= kRequestingWeight * requesting_fraction_;
  unlinkEvictable(slot);
  setDue(slot, 0);
  leavePeer(slot);
  free_.push_back(slot);
  --connections_;
  ++closed_[static_cast<std::size_t>(reason)];
}

bool ConnectionGate::refuses(ConnectionId id) const {
  const Record* const r = find(id);
  // Silent and idle connections can be evicted, so only busy ones count against the limit.
  return r != nullptr && r->over_limit && (busy() > limits_.most || overPeerLimit(peers_[r->peer]));
}

void ConnectionGate::notePendingInput(Time now, ConnectionId id) {
  Record* const r = find(id);
  if (r == nullptr) return;
  r->input_pending = true;
  if (r->due != 0 && r->due <= now) setDue(slotOf(*r), now + kTick);
}

Time ConnectionGate::silentGrace() const {
  if (connectionFlood()) return kMinGrace;
  return std::clamp(static_cast<Time>(kGraceFactor * first_byte_delay_), kMinGrace, kMaxGrace);
}

// The first connection of `list` that may be evicted and is in its state since `before` or earlier. `hook`
// belongs to the list. Passes over connections that were just accepted, since their request may be in
// transit.
std::optional<ConnectionGate::Closing> ConnectionGate::oldest(const SlotList& list, Hook Record::*hook,
                                                              Time now, Time before,
                                                              RejectionReason reason) const {
  int skipped = 0;
  for (Slot s = list.front(); s != kNoSlot; s = (records_[s].*hook).next) {
    const Record& r = records_[s];
    if (r.since > before) return std::nullopt;
    const bool just_connected = r.state == State::Silent && r.since > now - kMinGrace;
    if (!r.input_pending && !just_connected) return Closing{idOf(s), reason};
    if (++skipped > kMaxSkipped) return std::nullopt;
  }
  return std::nullopt;
}

// A connection of the address with the most connections, if it is over its share: those are evicted before
// the idle connections of other addresses.
std::optional<ConnectionGate::Closing> ConnectionGate::candidateOverShare(Time now, Time before) const {
  if (by_count_.empty() || peer_slots_.size() < 2) return std::nullopt;
  const auto [count, peer] = *by_count_.rbegin();
  const double others =
      static_cast<double>(connections_ - count) / static_cast<double>(peer_slots_.size() - 1);
  if (count < limits_.most / kLargeShareDivisor || count <= kOverShareFactor * others) return std::nullopt;
  return oldest(peers_[peer].evictable, &Record::of_peer, now, before, RejectionReason::PeerQuota);
}

std::optional<ConnectionGate::Closing> ConnectionGate::evictionCandidateOf(Time now,
                                                                           const PeerAddress& peer) {
  const auto it = peer_slots_.find(peer);
  if (it == peer_slots_.end() || !overPeerLimit(peers_[it->second])) return std::nullopt;
  return oldest(peers_[it->second].evictable, &Record::of_peer, now, now, RejectionReason::PeerQuota);
}

// The least useful connection first: silent ones past their grace period; then those of an address over its
// share; then idle ones, longest idle first, with those that have carried only one request before those that
// have carried several. Silent ones within their grace period come last, and those that were just accepted
// are never evicted: a client whose request is in transit would lose it. In a connection flood no idle
// connection is evicted in favour of a silent one, since there is room again as soon as the grace period is
// over.
std::optional<ConnectionGate::Closing> ConnectionGate::evictionCandidate(Time now, Time min_idle) {
  const Time before = now - min_idle;
  const auto first = [&](const SlotList& list, Time since, RejectionReason reason) {
    return oldest(list, &Record::order, now, since, reason);
  };
  if (auto c = first(silent_, std::min(before, now - silentGrace()), RejectionReason::SilentEvicted))
    return c;
  if (auto c = candidateOverShare(now, before)) return c;
  if (connectionFlood() && !silent_.empty()) return std::nullopt;
  if (auto c = first(idle_unreused_, before,
                     reuse_.keepsFewIdle() ? RejectionReason::UnusedEvicted : RejectionReason::IdleEvicted))
    return c;
  if (auto c = first(idle_reused_, before, RejectionReason::IdleEvicted)) return c;
  return first(silent_, before, RejectionReason::SilentEvicted);
}

void ConnectionGate::overdue(Time now, std::vector<Overdue>& out) {
  const Time to = now / kTick;
  const Time from = std::max(swept_tick_, to - static_cast<Time>(kBuckets) + 1);
  for (Time tick = from; tick <= to; ++tick) {
    const SlotList& bucket = wheel_[static_cast<std::size_t>(tick) % kBuckets];
    for (Slot s = bucket.front(); s != kNoSlot; s = records_[s].wheel.next) {
      if (records_[s].due <= now) out.push_back({idOf(s), records_[s].state});
    }
  }
  swept_tick_ = to;
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
