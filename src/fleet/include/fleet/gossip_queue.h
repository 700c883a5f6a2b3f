// Updates that a member still has to gossip, and how they share the space of a datagram. No I/O, no clock.
#pragma once

#include <cstddef>
#include <vector>

#include "fleet/roster.h"
#include "fleet/wire.h"
#include "random/random.h"

namespace client_proxy::fleet {

// A member's standing as a datagram item.
Rumour rumourOf(const Member& member);

// Standings (rumours) and records, each sent a limited number of times. The roster holds the remaining number
// of sends of each member; this class holds the slots that have any left.
class GossipQueue {
 public:
  // Must be called after the list of members, and so the slots, have changed.
  void rebuild(const Roster& roster);

  // Queues a new standing for 4 log10(live) sends, enough to reach all members with high probability.
  void addStanding(Roster& roster, std::size_t slot);
  // Queues a new record. Urgent ones are sent as often as standings; anti-entropy repairs missed ones.
  void addRecord(Roster& roster, std::size_t slot, bool urgent);
  // The same standing was received from another member, so fewer sends are needed from here.
  void receivedAgain(Member& member) const;

  // Whether a round of gossip is needed now, instead of waiting for other datagrams to carry the updates.
  bool needsRound() const { return !standings_.empty() || urgent_; }
  void roundEnded(const Roster& roster);

  // Fills a datagram for the member in slot `to`: first the receiver's own standing if it has to refute it,
  // then other standings, then records. Updates with the most sends left go first.
  void fill(Writer& writer, Roster& roster, std::size_t to, bool with_records, load_balancer::Random& random);

 private:
  static int sendsPerUpdate(const Roster& roster);
  int sendCost() const;

  std::vector<std::size_t> standings_, records_;  // slots, unordered
  bool urgent_ = false;                           // whether any queued record is
};

}  // namespace client_proxy::fleet
