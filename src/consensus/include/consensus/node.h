// One replica as a pure state machine: events in, an Output out. No I/O, no clock.
#pragma once

#include <deque>
#include <map>
#include <optional>

#include "consensus/acceptor.h"
#include "consensus/history.h"
#include "consensus/membership.h"
#include "consensus/output.h"
#include "consensus/proposal.h"
#include "consensus/publishes.h"
#include "random/random.h"

namespace client_proxy::consensus {

/// A Node stands for one start of a replica. After a write that failed it has to be discarded together with
/// all outputs not yet carried out, and made anew from what is on disk.
class Node {
 public:
  /// `run` has to differ between any two starts of any replica: drawn at random.
  Node(const Rules& rules, const DurableState& state, std::uint64_t run, Time now, Output& out);

  void onMessage(Time now, ReplicaId from, const Message& message, Output& out);
  /// `published_ms`: the wall clock, for people.
  void publish(Time now, PublishToken token, distribution::PublishRequest request, std::int64_t published_ms,
               Output& out);
  void onTime(Time now, Output& out);
  /// When onTime() has something to do.
  Time nextTime() const;

  struct Peer {
    std::optional<Time> last_contact;
    Version version = 0;  ///< the newest that it claimed in this life of ours
  };
  const std::map<ReplicaId, Peer>& peers() const { return peers_; }
  const History& history() const { return history_; }
  std::uint64_t startCount() const { return membership_.startCount(); }
  bool joined() const { return membership_.joined(); }
  const std::string& fault() const { return membership_.fault(); }
  /// Whether this replica has joined and, with those that were heard of late, is a quorum.
  bool quorum(Time now) const;
  /// The slot from which on it votes.
  Version firstVote() const { return membership_.firstVote(); }

 private:
  void on(Time now, ReplicaId from, const Prepare& prepare, Output& out);
  void on(Time now, ReplicaId from, const Promise& promise, Output& out);
  void on(Time now, ReplicaId from, const Accept& accept, Output& out);
  void on(Time now, ReplicaId from, const Accepted& accepted, Output& out);
  void on(Time now, ReplicaId from, const Rejected& rejected, Output& out);
  void on(Time now, ReplicaId from, const Chosen& chosen, Output& out);
  void on(Time now, ReplicaId from, const Fetch& fetch, Output& out);
  void on(Time now, ReplicaId from, const Hello& hello, Output& out);
  void on(Time now, ReplicaId from, const HelloReply& reply, Output& out);

  // False: the slot is decided or too far ahead here, which `from` is told.
  bool canVote(Time now, ReplicaId from, Version slot, Output& out);
  void say(Time now, ReplicaId to, Acceptor::Answer answer, bool changed, Output& out);
  void send(Time now, ReplicaId to, Message message, Output& out);
  void sendHello(Time now, Output& out);
  void sendHello(ReplicaId to, Output& out);
  void fetch(Time now, ReplicaId from, Output& out);
  bool behind(const Peer& peer) const { return peer.version > history_.version(); }
  void fetchWhereBehind(Time now, Output& out);

  void learn(Time now, const Change& change, Output& out);
  // It proposes only where its own vote comes first: what others know of a proposal is then known from it
  // too.
  bool mayPropose() const { return membership_.joined() && acceptor_.votesIn(history_.version() + 1); }
  void propose(Time now, const Publish& publish, Output& out);
  void sendProposal(Time now, Output& out);
  void abandonProposal(Time next_try);
  // Answers and proposes what waits.
  void endAbstention(Output& out);
  void workOnPublishes(Time now, Output& out);
  bool giveUp(Time now, const Publish& publish, Output& out) const;
  std::string noQuorumDetail(Time now) const;
  Time backOff();

  const Rules rules_;
  load_balancer::Random random_;
  Membership membership_;
  Acceptor acceptor_;
  History history_;
  std::map<ReplicaId, Peer> peers_;
  Time next_hello_{};
  Time next_fetch_{};
  std::deque<Publish> publishes_;
  std::optional<Proposal> proposal_;
  Time next_send_{};         // of the proposal, to those that have not answered
  Time next_try_{};          // not before this
  std::uint64_t round_ = 0;  // the highest that was seen
  int lost_duels_ = 0;       // in a row
};

}  // namespace client_proxy::consensus
