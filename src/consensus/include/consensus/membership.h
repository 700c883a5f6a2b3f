// Whether this replica may vote: start counts and the join rule.
//
// A replica that loses its promises or accepted values can break consensus. Therefore each start draws a
// random run id, which is saved on disk, and each replica saves the newest run and the newest reported state
// of its peers. After a start a replica votes only once enough peers have replaced a run that is on its disk
// by the new run. If a peer has recorded a run that is not on the disk, or newer state than the disk has, the
// disk is an old copy or empty. The replica then doesn't vote in any slot in which it may have voted before
// until all peers have sent their votes, from which it restores its own. docs/design-distribution.md has
// the argument.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "consensus/messages.h"

namespace client_proxy::consensus {

/// Both sides of the hello exchange: joining after a start, and answering peers that join.
class Membership {
 public:
  /// Increments the start count of `state`; start() must be written before any message is sent.
  Membership(const Rules& rules, const DurableState& state, std::uint64_t run);

  SaveStart start() const { return {start_count_, run_, recovering_, first_vote_}; }

  // ---- joining ----

  enum class ReplyOutcome : std::uint8_t {
    Nothing,
    RepeatHello,  ///< send a further hello, which names the recorded run that this one replaces
    Joined,       ///< start() must be written before the first vote
    OldDisk,      ///< start() must be written before the next hello; fault() has the reason
  };
  /// Processes a reply; replies to hellos of an earlier run are ignored.
  ReplyOutcome onHelloReply(ReplicaId from, const HelloReply& reply);
  /// Joins if there are no other replicas; returns whether it has.
  bool joinWithoutPeers();
  /// Whether this replica has joined but must not vote in `slot`.
  bool abstains(Version slot) const { return joined_ && slot < first_vote_; }
  /// Ends the abstention once all peers have sent their votes and `version`, the newest chosen one here, is
  /// not behind theirs. The caller merges the returned vote into its own and writes it together with start().
  std::optional<Vote> adopt(Version version);

  bool joined() const { return joined_; }
  std::uint64_t startCount() const { return start_count_; }
  std::uint64_t run() const { return run_; }
  /// This replica votes in no slot before this one.
  Version firstVote() const { return first_vote_; }
  /// "old disk: ..." if this start found one; empty: no fault.
  const std::string& fault() const { return fault_; }

  Hello hello(ReplicaId to, Version version, const Vote& vote) const;

  // ---- answering peers ----

  struct HelloResponse {
    HelloReply reply;
    bool record_changed = false;  ///< record(from) must be written before the reply is sent
    bool reply_needed = false;
  };
  /// `version` and `vote` are those of this replica.
  HelloResponse onHello(ReplicaId from, const Hello& hello, Version version, const Vote& vote);
  const PeerRecord& record(ReplicaId peer) { return peers_[peer]; }

 private:
  bool enoughReplies() const;
  Version highestVoted() const;
  ReplyOutcome join();
  // Whether the peer has recorded a run or state that this disk doesn't have.
  bool contradicts(const PeerRecord& seen) const;
  void recover(ReplicaId from, const PeerRecord& seen);

  const Rules rules_;
  std::uint64_t start_count_;
  const std::uint64_t run_;
  const std::set<std::uint64_t> runs_;       // of earlier starts with this disk
  const Version disk_version_, disk_voted_;  // as loaded at the start
  bool recovering_;
  Version first_vote_;
  bool joined_ = false;
  std::string fault_;
  std::map<ReplicaId, HelloReply> replies_;  // the latest of each peer that has recorded this run
  std::map<ReplicaId, std::uint64_t>
      replaced_runs_;  // by peer: its recorded run of this replica, which it must replace by this one
  std::map<ReplicaId, PeerRecord> peers_;
};

}  // namespace client_proxy::consensus
