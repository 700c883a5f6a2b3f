// The Paxos acceptor of a replica: promises and accepts in the slot that follows the newest chosen change.
#pragma once

#include "consensus/messages.h"

namespace client_proxy::consensus {

/// Holds the vote of this replica in the one slot that is open. A pure state machine; the caller saves
/// vote().
class Acceptor {
 public:
  Acceptor(Vote vote, Version first_vote) : vote_(std::move(vote)), first_vote_(first_vote) {}

  using Answer = std::variant<std::monostate, Promise, Accepted, Rejected>;

  /// Answers a message for the slot that follows the newest chosen change; std::monostate: this replica does
  /// not vote in that slot. If `changed` is set, vote() must be on disk before the answer is sent.
  Answer onPrepare(const Prepare& prepare, bool& changed);
  Answer onAccept(const Accept& accept, bool& changed);

  /// Discards the vote if its slot is `version` or earlier, since those slots are decided.
  void onChosen(Version version);

  /// Merges `known`, the highest promise and accepted value that the peers report, into the vote of a replica
  /// that has lost its own votes.
  void adopt(const Vote& known);

  const Vote& vote() const { return vote_; }
  /// This replica votes in no slot before this one.
  Version firstVote() const { return first_vote_; }
  void setFirstVote(Version slot) { first_vote_ = slot; }
  bool votesIn(Version slot) const { return slot >= first_vote_; }

 private:
  // Moves on to `slot` with an empty vote if the current vote belongs to an earlier slot.
  void advanceTo(Version slot);

  Vote vote_;
  Version first_vote_;
};

}  // namespace client_proxy::consensus
