// The consensus state machine of one replica: events in, an Output out, without I/O and without a clock.
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

/// A Node lives for one start of a replica. After a failed write, discard it together with all outputs that
/// are not carried out yet, and create a new one from what is on disk.
class Node {
 public:
  /// `run`: a random number that is not 0 and differs between any two starts of any replica.
  Node(const Rules& rules, const DurableState& state, std::uint64_t run, Time now, Output& out);

  /// Processes a message; those from replicas that are not listed are ignored.
  void onMessage(Time now, ReplicaId from, const Message& message, Output& out);
  /// Queues a publish; its result follows in this or a later Output. `published_ms`: wall clock since 1970;
  /// informational only.
  void publish(Time now, PublishToken token, distribution::PublishRequest request, std::int64_t published_ms,
               Output& out);
  /// Sends what is due: hellos, repeated proposals, results of expired publishes.
  void onTime(Time now, Output& out);
  /// When onTime() has to be called next.
  Time nextTime() const;

  struct Peer {
    std::optional<Time> last_contact;
    Version version = 0;  ///< the newest that it has reported since this start
  };
  const std::map<ReplicaId, Peer>& peers() const { return peers_; }
  const History& history() const { return history_; }
  std::uint64_t startCount() const { return membership_.startCount(); }
  bool joined() const { return membership_.joined(); }
  const std::string& fault() const { return membership_.fault(); }
  /// Whether this replica has joined and forms a quorum with the peers in contact (Rules::contact_timeout).
  bool quorum(Time now) const;
  /// This replica votes in no slot before this one.
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

  // False: this replica doesn't vote in `slot`. If the slot is decided here, the changes are sent to `from`;
  // if it is ahead of the next one, the missing changes are fetched from `from`.
  bool canVote(Time now, ReplicaId from, Version slot, Output& out);
  // Saves the vote if it has `changed`, and sends the answer.
  void respond(Time now, ReplicaId to, Acceptor::Answer answer, bool changed, Output& out);
  void send(Time now, ReplicaId to, Message message, Output& out);
  void sendHello(Time now, Output& out);
  void sendHello(ReplicaId to, Output& out);
  void fetch(Time now, ReplicaId from, Output& out);
  bool behind(const Peer& peer) const { return peer.version > history_.version(); }
  void fetchFromNewestPeer(Time now, Output& out);

  void learn(Time now, const Change& change, Output& out);
  // A replica proposes only if it can cast the first vote itself, so that its own record covers every
  // proposal that its peers may have seen.
  bool mayPropose() const { return membership_.joined() && acceptor_.votesIn(history_.version() + 1); }
  void propose(Time now, const Publish& publish, Output& out);
  void sendProposal(Time now, Output& out);
  void abandonProposal(Time next_try);
  void endAbstention(Output& out);
  // Answers the waiting publishes whose result is known, and proposes the first of the others.
  void processPublishes(Time now, Output& out);
  // Answers a publish that has waited too long; returns whether it has.
  bool rejectIfExpired(Time now, const Publish& publish, Output& out) const;
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
  Time next_send_{};                // when the proposal is resent
  Time next_try_{};                 // the earliest time of the next proposal
  std::uint64_t round_ = 0;         // the highest seen in any ballot
  int consecutive_rejections_ = 0;  // of own proposals; sets the back-off
};

}  // namespace client_proxy::consensus
