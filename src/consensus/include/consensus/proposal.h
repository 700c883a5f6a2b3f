// The Paxos proposer: one attempt of a replica to have a change chosen in a slot, under one ballot.
#pragma once

#include <set>

#include "consensus/messages.h"

namespace client_proxy::consensus {

/// Counts promises, then accepts, until a quorum is reached.
class Proposal {
 public:
  /// `own`: the value that is proposed if no promise reports an accepted one.
  Proposal(Version slot, Ballot ballot, Change own, std::size_t quorum);

  /// True: a quorum has promised, and accept() is to be sent now.
  bool onPromise(ReplicaId from, const Promise& promise);
  /// True: a quorum has accepted; value() is chosen.
  bool onAccepted(ReplicaId from, const Accepted& accepted);

  bool preparing() const { return !accepting_; }
  Version slot() const { return slot_; }
  const Ballot& ballot() const { return ballot_; }
  Prepare prepare() const { return {slot_, ballot_}; }
  Accept accept() const { return {slot_, ballot_, value_}; }
  const Change& value() const { return value_; }
  /// Whether `replica` has replied in the current phase.
  bool hasReplied(ReplicaId replica) const;
  std::size_t replies() const { return (accepting_ ? accepted_ : promised_).size(); }

 private:
  Version slot_;
  Ballot ballot_;
  Change value_;
  std::size_t quorum_;
  bool accepting_ = false;
  Ballot highest_accepted_;  // among the promises so far
  std::set<ReplicaId> promised_, accepted_;
};

}  // namespace client_proxy::consensus
