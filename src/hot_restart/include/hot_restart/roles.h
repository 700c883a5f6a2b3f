// Who serves while one process takes another's place: two state machines, events in, steps out. No I/O, no
// clock.
//
// The old one goes on as if nothing were until a new one says that it is ready, and takes everything back if
// that one goes. The new one waits for a whole state and for nothing else; whatever goes wrong means that it
// starts from nothing.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "hot_restart/frame.h"

namespace client_proxy::hot_restart {

using PeerId = std::uint64_t;  // a connection of ours, never used twice

// The old process. Several new ones may ask; the first that is ready gets it.
class PredecessorRole {
 public:
  enum class Step : std::uint8_t {
    None,
    SendState,  // to this peer
    Give,       // this peer serves from now on: accept nobody, hand the clients on to it
    RollBack,   // the one that served has gone: serve again
    Dismiss,    // close this peer: it is not of our name, or out of turn, or another was ready first
    Pass,       // what the frame says is for us: staff have called the other process
  };

  explicit PredecessorRole(std::string name) : name_(std::move(name)) {}

  void onPeer(PeerId peer) { peers_[peer] = Peer::New; }
  Step onFrame(PeerId peer, const Frame& frame);
  Step onPeerGone(PeerId peer);

  bool handingOver() const { return successor_.has_value(); }
  std::optional<PeerId> successor() const { return successor_; }
  // It has the state, so it is to hear of what staff do from now on.
  bool informed(PeerId peer) const;

 private:
  enum class Peer : std::uint8_t { New, Informed, Successor };
  std::string name_;
  std::map<PeerId, Peer> peers_;
  std::optional<PeerId> successor_;
};

// The new process.
class SuccessorRole {
 public:
  enum class Step : std::uint8_t {
    None,
    Load,   // state() is whole: use it, serve, then say Ready
    Fresh,  // start from nothing
    Pass,   // what the frame says is for us
    Ended,  // the old one has gone, after all was taken over
  };

  Step onFrame(const Frame& frame);
  // The connection broke or could not be made, or the time is up.
  Step onGone();
  Step onTimeUp();

  const std::string& state() const { return state_; }
  bool settled() const { return phase_ != Phase::Loading; }

 private:
  enum class Phase : std::uint8_t { Loading, Taken, Alone };
  Step fresh();
  Phase phase_ = Phase::Loading;
  std::string state_;
};

}  // namespace client_proxy::hot_restart
