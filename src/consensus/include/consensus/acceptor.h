// The part of a replica that votes: promises and accepts in the slot behind the newest chosen change.
#pragma once

#include "consensus/messages.h"

namespace client_proxy::consensus {

class Acceptor {
 public:
  Acceptor(Vote vote, Version first_vote) : vote_(std::move(vote)), first_vote_(first_vote) {}

  using Answer = std::variant<std::monostate, Promise, Accepted, Rejected>;

  /// `slot` has to be the one behind the newest chosen change. Nothing: it does not vote in this slot. Where
  /// `changed` is true, vote() has to be on disk before the answer is said.
  Answer onPrepare(const Prepare& prepare, bool& changed);
  Answer onAccept(const Accept& accept, bool& changed);

  /// Slots up to this one are decided.
  void onChosen(Version version);

  /// Takes over what others know of the votes of a replica that has forgotten them.
  void adopt(const Vote& known);

  const Vote& vote() const { return vote_; }
  Version firstVote() const { return first_vote_; }
  void setFirstVote(Version slot) { first_vote_ = slot; }
  bool votesIn(Version slot) const { return slot >= first_vote_; }

 private:
  // The vote in this slot; a later slot begins with an empty one.
  void open(Version slot);

  Vote vote_;
  Version first_vote_;
};

}  // namespace client_proxy::consensus
