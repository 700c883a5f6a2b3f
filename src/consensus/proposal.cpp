#include "consensus/proposal.h"

#include <utility>

namespace client_proxy::consensus {

Proposal::Proposal(Version slot, Ballot ballot, Change own, std::size_t quorum)
    : slot_(slot), ballot_(ballot), value_(std::move(own)), quorum_(quorum) {}

bool Proposal::onPromise(ReplicaId from, const Promise& promise) {
  if (accepting_ || promise.slot != slot_ || promise.ballot != ballot_) return false;
  promised_.insert(from);
  if (promise.value && promise.accepted > highest_accepted_) {
    highest_accepted_ = promise.accepted;
    value_ = *promise.value;
  }
  accepting_ = promised_.size() >= quorum_;
  return accepting_;
}

bool Proposal::onAccepted(ReplicaId from, const Accepted& accepted) {
  if (!accepting_ || accepted.slot != slot_ || accepted.ballot != ballot_) return false;
  accepted_.insert(from);
  return accepted_.size() >= quorum_;
}

bool Proposal::hasReplied(ReplicaId replica) const {
  return (accepting_ ? accepted_ : promised_).count(replica) > 0;
}

}  // namespace client_proxy::consensus
