// Decides which client connections are kept, which are closed and for what reason. Events come in, decisions
// go out: no I/O, no clock.
//
// The embedder (net/server) reports the events of each connection, in the order silent or idle -> reading
// -> waiting -> answering -> idle or lingering -> closed, and carries out the decisions. Times are
// microseconds of one clock that does not run backwards. Not thread-safe. The cost of a call does not depend
// on the number of connections, except for the logarithm of the number of distinct addresses.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/rejection_reason.h"
#include "admission/reuse.h"
#include "admission/slot_list.h"

namespace client_proxy::admission {

using ConnectionId = std::uint64_t;                // never used twice; 0 is none
using PeerAddress = std::array<std::uint8_t, 16>;  // IPv6, or IPv4 mapped into it (RFC 4291, 2.5.5.2)

// The admission control of client connections. An id that is unknown or closed is ignored by every event.
class ConnectionGate {
 public:
  struct Limits {
    std::size_t most = 512;     // connections; may be changed while running
    std::size_t overflow = 16;  // accepted beyond `most`, only to be refused with a response
    std::size_t per_peer = 0;   // of one address; 0: no limit but the fair share when room is short
    std::size_t kept = 16;      // idle connections that are kept even where clients do not reuse them
    Time silent = 2'400'000;    // from acceptance to the first byte
    Time request = 2'700'000;   // from acceptance, or a later request's first byte, to the end of its head
    Time idle = 4'000'000;      // between a response and the next request
    Time write = 3'000'000;     // for the client to read its response
    Time linger = 2'500'000;    // for the client to stop sending after a response that closes the connection
  };
  enum class State : std::uint8_t { Silent, Reading, Waiting, Answering, Idle, Lingering };
  struct Closing {
    ConnectionId id = 0;
    RejectionReason reason = RejectionReason::None;
  };
  struct Overdue {
    ConnectionId id = 0;
    State state = State::Silent;  // the state that lasted too long
  };

  explicit ConnectionGate(Limits limits);

  // ---- events ----

  // A connection was accepted. It is silent until its first byte.
  ConnectionId onAccepted(Time now, const PeerAddress& peer);
  // The first byte of a request arrived. The time limit of a connection's first request counts from the
  // acceptance.
  void onFirstByte(Time now, ConnectionId id);
  // The connection makes progress: its current state may last until `due`; 0: without limit.
  void extend(ConnectionId id, Time due);
  // The request is complete; its deadline is enforced elsewhere.
  void onRequest(ConnectionId id);
  // A response is about to be written. If a reason is returned, the connection must be closed with it.
  // `more`: a part of a further request has already arrived.
  RejectionReason onAnswer(Time now, ConnectionId id, bool more);
  // The response is written and the connection is idle.
  void onIdle(Time now, ConnectionId id);
  // The response is written and the connection closes, but the client may still be sending.
  void onLinger(Time now, ConnectionId id);
  // The connection is closed, by either side.
  void onClosed(ConnectionId id, RejectionReason reason);

  // ---- decisions ----

  bool full() const { return connections_ >= limits_.most; }
  // Whether no further connection may be accepted at all.
  bool overfull() const { return connections_ >= limits_.most + limits_.overflow; }
  // Whether the request on this connection must be refused: the connection was accepted beyond the limit, and
  // as many connections as allowed have a request open.
  bool refuses(ConnectionId id) const;
  // The connection to close next when room is needed; none if every connection has a request open. With
  // `min_idle`, only connections that have been silent or idle for at least this long. If the candidate has
  // unread input, the embedder calls notePendingInput() and tries again.
  std::optional<Closing> evictionCandidate(Time now, Time min_idle = 0);
  // The same among the connections of one address; none unless it holds more than limits().per_peer.
  std::optional<Closing> evictionCandidateOf(Time now, const PeerAddress& peer);
  // A silent or idle connection has unread input: evictionCandidate() passes over it until its next event,
  // and a time limit that has expired is extended by one tick.
  void notePendingInput(Time now, ConnectionId id);
  // Appends to `out` the connections whose state has lasted too long. They are reported again until they are
  // closed or change state.
  void overdue(Time now, std::vector<Overdue>& out);
  // The reason with which a connection is closed whose `state` lasted too long.
  static RejectionReason reasonOf(State state);
  // Changes the limit on connections, which depends on the descriptors that other parts of the process use.
  void setMost(std::size_t most) { limits_.most = most; }
  // Changes all limits. A connection keeps the time limit of its current state.
  void reconfigure(const Limits& limits) { limits_ = limits; }

  // ---- counters ----

  std::size_t connections() const { return connections_; }
  std::size_t silent() const { return silent_.size(); }
  std::size_t idle() const { return idle_unreused_.size() + idle_reused_.size(); }
  std::size_t busy() const { return connections_ - silent() - idle(); }
  std::size_t peers() const { return peer_slots_.size(); }
  const Limits& limits() const { return limits_; }
  const ReusePolicy& reuse() const { return reuse_; }
  const std::array<std::uint64_t, kRejectionReasons>& closed() const { return closed_; }
  std::uint64_t accepted() const { return accepted_; }
  // For how long after its acceptance a silent connection is protected from eviction. Outside a connection
  // flood, clients send their first byte within about a quarter of it.
  Time silentGrace() const;

 private:
  struct Record {
    std::uint32_t generation = 0;
    Slot peer = kNoSlot;
    State state = State::Silent;
    bool evictable = false;      // silent or idle: linked into `order` and `of_peer`
    bool over_limit = false;     // accepted beyond the limit
    bool input_pending = false;  // has unread input
    std::uint16_t bucket = 0;
    std::uint32_t requests = 0;  // started on it so far
    Time since = 0;              // start of its state; of a first request's Reading: the acceptance
    Time due = 0;                // 0: never
    Hook order;                  // in silent_, idle_unreused_ or idle_reused_
    Hook of_peer;                // in the evictable connections of its address
    Hook wheel;
  };
  struct Peer {
    PeerAddress address{};
    std::uint32_t connections = 0;
    SlotList evictable;
  };
  struct AddressHash {
    std::size_t operator()(const PeerAddress& a) const;
  };

  Record* find(ConnectionId id);
  const Record* find(ConnectionId id) const { return const_cast<ConnectionGate*>(this)->find(id); }
  ConnectionId idOf(Slot slot) const {
    return (std::uint64_t{records_[slot].generation} << 32) | (slot + 1U);
  }
  Slot slotOf(const Record& r) const { return static_cast<Slot>(&r - records_.data()); }
  SlotList& listOf(const Record& r);
  void linkEvictable(Slot slot);
  void unlinkEvictable(Slot slot);
  void setDue(Slot slot, Time due);
  // Enters a state that counts from `since` and may last for `limit`. The connection is no longer evictable.
  void enterState(Record& r, State state, Time since, Time limit);
  void joinPeer(Slot slot, const PeerAddress& address);
  void leavePeer(Slot slot);
  void setPeerConnections(Slot peer, std::uint32_t connections);
  std::optional<Closing> oldest(const SlotList& list, Hook Record::*hook, Time now, Time before,
                                RejectionReason reason) const;
  std::optional<Closing> candidateOverShare(Time now, Time before) const;
  // Whether most connections send nothing: fewer than half of the recent ones sent a first byte, or the
  // silent ones hold more than half of the places.
  bool connectionFlood() const { return requesting_fraction_ < 0.5 || 2 * silent_.size() > limits_.most; }
  bool overPeerLimit(const Peer& peer) const {
    return limits_.per_peer > 0 && peer.connections > limits_.per_peer;
  }

  static constexpr Time kTick = 100'000;        // of the timer wheel
  static constexpr std::size_t kBuckets = 128;  // 12.8 s; a later due time is examined once per revolution

  Limits limits_;
  ReusePolicy reuse_;
  std::vector<Record> records_;
  std::vector<Slot> free_;
  SlotList silent_, idle_unreused_, idle_reused_;  // the longest silent or idle first
  std::array<SlotList, kBuckets> wheel_;
  Time swept_tick_ = 0;  // the tick up to which the wheel was examined
  std::vector<Peer> peers_;
  std::vector<Slot> free_peers_;
  std::unordered_map<PeerAddress, Slot, AddressHash> peer_slots_;
  std::set<std::pair<std::uint32_t, Slot>> by_count_;  // the addresses with more than one connection
  std::size_t connections_ = 0;
  std::uint64_t accepted_ = 0;
  double requesting_fraction_ = 1;    // of the recent connections, those that sent a first byte
  double first_byte_delay_ = 50'000;  // from acceptance to the first byte; near the slowest recent one
  std::array<std::uint64_t, kRejectionReasons> closed_{};
};

}  // namespace client_proxy::admission
