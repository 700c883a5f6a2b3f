// Whether this replica may vote: start counts and the join rule.
//
// A replica that forgets what it has promised or accepted can break consensus. So each start draws a run and
// keeps it on its disk, and peers keep the newest run and the claims of each other. After a start a replica
// votes only once enough peers have put its new run in the place of one that its disk knows. Where a peer
// knows a run that the disk does not, or claims beyond it, the disk is old or new: the replica then votes in
// no slot in which it may have voted before, or, once all others have told it their votes, with what these
// know of its own. docs/design-distribution.md has the argument.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "consensus/messages.h"

namespace client_proxy::consensus {

class Membership {
 public:
  /// Raises the start count of `state`; start() is to be written before anything is said.
  Membership(const Rules& rules, const DurableState& state, std::uint64_t run);

  SaveStart start() const { return {start_count_, run_, recovering_, first_vote_}; }

  // ---- as the one who joins ----

  enum class Verdict : std::uint8_t {
    Nothing,
    AskAgain,  ///< the peer's next hello says what this one has replaced
    Joined,    ///< start() is to be written before the first vote
    OldDisk,   ///< the same before the next hello; fault() says why
  };
  Verdict onHelloReply(ReplicaId from, const HelloReply& reply);
  /// Where there are no others.
  bool joinAlone();
  /// Whether it has joined and does not vote in this slot.
  bool abstains(Version slot) const { return joined_ && slot < first_vote_; }
  /// Ends an abstention, once all others have told their votes and `version`, the newest chosen one here, is
  /// not before theirs. What is returned is to be taken over and written with start().
  std::optional<Vote> adopt(Version version);

  bool joined() const { return joined_; }
  std::uint64_t startCount() const { return start_count_; }
  std::uint64_t run() const { return run_; }
  /// It votes in no slot before this one.
  Version firstVote() const { return first_vote_; }
  /// "old disk: ..." where one was found in this life; empty: none.
  const std::string& fault() const { return fault_; }

  Hello hello(ReplicaId to, Version version, const Vote& vote) const;

  // ---- as the one who is asked ----

  struct Judged {
    HelloReply reply;
    bool recorded = false;  ///< record(from) is to be written before the reply is said
    bool wanted = false;    ///< the reply has to be said
  };
  Judged onHello(ReplicaId from, const Hello& hello, Version version, const Vote& vote);
  const PeerRecord& record(ReplicaId peer) { return peers_[peer]; }

 private:
  bool enoughAnswers() const;
  Version highestVoted() const;
  Verdict join();
  // Whether the disk is one from before what the peer has seen.
  bool contradicts(const PeerRecord& seen) const;
  void recover(ReplicaId from, const PeerRecord& seen);

  const Rules rules_;
  std::uint64_t start_count_;
  const std::uint64_t run_;
  const std::set<std::uint64_t> runs_;       // of earlier starts with this disk
  const Version disk_version_, disk_voted_;  // as they were at the start
  bool recovering_;
  Version first_vote_;
  bool joined_ = false;
  std::string fault_;
  std::map<ReplicaId, HelloReply> answers_;  // of those that have taken this run, each one's latest
  std::map<ReplicaId, std::uint64_t>
      replaces_;  // the run that each of the others has to give up for this one
  std::map<ReplicaId, PeerRecord> peers_;
};

}  // namespace client_proxy::consensus
