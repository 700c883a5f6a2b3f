#include "hot_restart/roles.h"

namespace client_proxy::hot_restart {
namespace {

bool fromStaff(Type type) {
  return type == Type::TakeOut || type == Type::PutBack || type == Type::Drain || type == Type::TakeClients;
}

}  // namespace

PredecessorRole::Step PredecessorRole::onFrame(PeerId peer, const Frame& frame) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return Step::None;
  Peer& is = it->second;
  if (frame.type == Type::Hello) {
    if (is != Peer::New || frame.payload != name_ || handingOver()) return Step::Dismiss;
    is = Peer::Informed;
    return Step::SendState;
  }
  if (frame.type == Type::Ready) {
    if (is != Peer::Informed || handingOver()) return Step::Dismiss;
    is = Peer::Successor;
    successor_ = peer;
    return Step::Give;
  }
  if (fromStaff(frame.type) && is != Peer::New) return Step::Pass;
  return Step::Dismiss;
}

PredecessorRole::Step PredecessorRole::onPeerGone(PeerId peer) {
  peers_.erase(peer);
  if (successor_ != peer) return Step::None;
  successor_.reset();
  return Step::RollBack;
}

bool PredecessorRole::informed(PeerId peer) const {
  const auto it = peers_.find(peer);
  return it != peers_.end() && it->second != Peer::New;
}

SuccessorRole::Step SuccessorRole::fresh() {
  phase_ = Phase::Alone;
  state_ = std::string();
  return Step::Fresh;
}

SuccessorRole::Step SuccessorRole::onFrame(const Frame& frame) {
  if (phase_ == Phase::Alone) return Step::None;
  if (phase_ == Phase::Taken) {
    const bool ours = fromStaff(frame.type) || frame.type == Type::Client || frame.type == Type::Holds ||
                      frame.type == Type::RequestRecord;
    return ours ? Step::Pass : Step::None;
  }
  if (frame.type == Type::StatePart && state_.size() + frame.payload.size() <= kMostState) {
    state_ += frame.payload;
    return Step::None;
  }
  if (frame.type != Type::StateEnd || numberOf(frame.payload) != state_.size()) return fresh();
  phase_ = Phase::Taken;
  return Step::Load;
}

SuccessorRole::Step SuccessorRole::onGone() {
  if (phase_ == Phase::Loading) return fresh();
  const bool taken = phase_ == Phase::Taken;
  phase_ = Phase::Alone;
  return taken ? Step::Ended : Step::None;
}

SuccessorRole::Step SuccessorRole::onTimeUp() { return phase_ == Phase::Loading ? fresh() : Step::None; }

}  // namespace client_proxy::hot_restart
