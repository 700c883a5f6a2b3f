// Which client connections are kept, which are closed, and why. Events in, verdicts out: no I/O, no clock.
//
// The embedder (net/server) reports what happens on each connection, in the order silent or idle -> reading
// -> waiting -> answering -> idle or lingering -> closed, and carries out what it is told. Times are
// microseconds of one clock that does not run backwards. Not thread-safe. Every call costs the same at ten
// connections as at ten thousand, but for the logarithm of the number of different addresses.
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

class ConnectionGate {
 public:
  struct Limits {
    std::size_t most = 512;     // connections; may be changed while running
    std::size_t overflow = 16;  // beyond it, only to be told that there is no room
    std::size_t per_peer = 0;   // of one address; 0: no bound but the fair share where room is short
    std::size_t kept = 16;      // idle ones that are always worth keeping
    Time silent = 2'400'000;    // from acceptance to the first byte
    Time request = 2'700'000;   // from acceptance, or a next request's first byte, to its head's last
    Time idle = 4'000'000;      // between an answer and the next request
    Time write = 3'000'000;     // for the client to take its answer
    Time linger = 2'500'000;    // for it to end its sending after an answer that closes the connection
  };
  enum class State : std::uint8_t { Silent, Reading, Waiting, Answering, Idle, Lingering };
  struct Closing {
    ConnectionId id = 0;
    RejectionReason reason = RejectionReason::None;
  };
  struct Overdue {
    ConnectionId id = 0;
    State state = State::Silent;  // in which it has been for too long
  };

  explicit ConnectionGate(Limits limits);

  // ---- events ----

  // A connection was accepted. It is silent until its first byte.
  ConnectionId onAccepted(Time now, const PeerAddress& peer);
  // The first byte of a request. Its time is counted from the acceptance on a connection's first request.
  void onFirstByte(Time now, ConnectionId id);
  // What it is in may last until `due`: it makes progress. 0: for good.
  void extend(ConnectionId id, Time due);
  // The request is whole; its deadline is kept elsewhere.
  void onRequest(ConnectionId id);
  // An answer is about to be written. A cause: the connection is to be closed with it. `more`: a further
  // request has begun to come already.
  RejectionReason onAnswer(Time now, ConnectionId id, bool more);
  // The answer is written and the connection rests.
  void onIdle(Time now, ConnectionId id);
  // The answer is written, the connection closes, the client may still be sending.
  void onLinger(Time now, ConnectionId id);
  // It is closed, by whom ever.
  void onClosed(ConnectionId id, RejectionReason reason);

  // ---- verdicts ----

  bool full() const { return connections_ >= limits_.most; }
  // No further connection is to be taken from the queue at all.
  bool overfull() const { return connections_ >= limits_.most + limits_.overflow; }
  // The request on this connection is to be refused for want of room: as many as may be here have a request
  // open.
  bool refuses(ConnectionId id) const;
  // Whom to close next when a place is needed; nothing if everybody has a request open. `rested`: only those
  // that have rested for at least this long. Input may have come that was not reported yet: then the embedder
  // calls notePendingInput() and asks again.
  std::optional<Closing> evictionCandidate(Time now, Time rested = 0);
  // The same among those of one address that holds more than limits().per_peer; nothing if it does not.
  std::optional<Closing> evictionCandidateOf(Time now, const PeerAddress& peer);
  // Input waits on a resting connection: it is passed over in evictionCandidate() until its next event, and
  // is overdue a little later.
  void notePendingInput(Time now, ConnectionId id);
  // What has been in one state for too long, appended to `out`. They stay until they are closed or move on.
  void overdue(Time now, std::vector<Overdue>& out);
  // Why a connection that was in `state` for too long is closed.
  static RejectionReason reasonOf(State state);
  // The bound follows what others leave.
  void setMost(std::size_t most) { limits_.most = most; }
  // The limits are others from now on; a connection keeps the time it has for what it is in.
  void reconfigure(const Limits& limits) { limits_ = limits; }

  // ---- figures ----

  std::size_t connections() const { return connections_; }
  std::size_t silent() const { return silent_.size(); }
  std::size_t idle() const { return once_.size() + used_.size(); }
  std::size_t busy() const { return connections_ - silent() - idle(); }
  std::size_t peers() const { return peer_slots_.size(); }
  const Limits& limits() const { return limits_; }
  const ReusePolicy& reuse() const { return reuse_; }
  const std::array<std::uint64_t, kRejectionReasons>& closed() const { return closed_; }
  std::uint64_t accepted() const { return accepted_; }
  // How long a silent connection is protected: clients that ask do so within about a quarter of it.
  Time silentGrace() const;

 private:
  struct Record {
    std::uint32_t generation = 0;
    Slot peer = kNoSlot;
    State state = State::Silent;
    bool resting = false;
    bool beyond = false;   // taken beyond the bound
    bool skipped = false;  // input waits
    std::uint16_t bucket = 0;
    std::uint32_t requests = 0;  // begun on it so far
    Time since = 0;              // in its state; for Reading of a first request since the acceptance
    Time due = 0;                // 0: never
    Hook order;                  // silent_, once_ or used_
    Hook of_peer;                // resting ones of its address
    Hook wheel;
  };
  struct Peer {
    PeerAddress address{};
    std::uint32_t connections = 0;
    SlotList resting;
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
  void rest(Slot slot);
  void wake(Slot slot);
  void setDue(Slot slot, Time due);
  // A state that is counted from `since` and may last for `limit`; at rest no more.
  void enter(Record& r, State state, Time since, Time limit);
  void joinPeer(Slot slot, const PeerAddress& address);
  void leavePeer(Slot slot);
  void recount(Slot peer, std::uint32_t connections);
  std::optional<Closing> oldest(const SlotList& list, Hook Record::*hook, Time now, Time before,
                                RejectionReason reason) const;
  std::optional<Closing> overShare(Time now, Time before) const;
  // Most of those that connect say nothing.
  bool crowded() const { return asks_ < 0.5 || 2 * silent_.size() > limits_.most; }
  bool atBound(const Peer& peer) const { return limits_.per_peer > 0 && peer.connections > limits_.per_peer; }

  static constexpr Time kTick = 100'000;        // of the wheel
  static constexpr std::size_t kBuckets = 128;  // 12.8 s: what is due later is looked at once a turn

  Limits limits_;
  ReusePolicy reuse_;
  std::vector<Record> records_;
  std::vector<Slot> free_;
  SlotList silent_, once_, used_;  // the longest at rest first
  std::array<SlotList, kBuckets> wheel_;
  Time swept_ = 0;  // the tick up to which the wheel was looked at
  std::vector<Peer> peers_;
  std::vector<Slot> free_peers_;
  std::unordered_map<PeerAddress, Slot, AddressHash> peer_slots_;
  std::set<std::pair<std::uint32_t, Slot>> by_count_;  // of addresses with more than one connection
  std::size_t connections_ = 0;
  std::uint64_t accepted_ = 0;
  double asks_ = 1;            // part of the late connections that have asked something
  double ask_delay_ = 50'000;  // from acceptance to the first byte: about the slowest of late
  std::array<std::uint64_t, kRejectionReasons> closed_{};
};

}  // namespace client_proxy::admission
