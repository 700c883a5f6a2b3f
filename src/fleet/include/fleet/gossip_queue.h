// What a member still has to pass on, and how it shares the room of a datagram. No I/O, no clock.
#pragma once

#include <cstddef>
#include <vector>

#include "fleet/roster.h"
#include "fleet/wire.h"
#include "random/random.h"

namespace client_proxy::fleet {

// What a member is said to be, as it goes into a datagram.
Rumour rumourOf(const Member& member);

// Standings (rumours) and records, each sent a limited number of times. How often is kept in the roster, by
// slot; this holds the slots that have something left.
class GossipQueue {
 public:
  // After the list of members has changed, and slots with it.
  void rebuild(const Roster& roster);

  // A standing is new: it is sent as often as it takes to reach all by chance, 4 log10(live) times.
  void addStanding(Roster& roster, std::size_t slot);
  // A record is new. Urgent ones go as often as standings; what the others miss is found by digests.
  void addRecord(Roster& roster, std::size_t slot, bool urgent);
  // Somebody else passes on the same standing: it needs to be sent less often from here.
  void receivedAgain(Member& member) const;

  // Something is to be sent in the next round of gossip, without waiting for another datagram to carry it.
  bool needsRound() const { return !standings_.empty() || urgent_; }
  void roundEnded(const Roster& roster);

  // Fills a datagram for the member in slot `to`: first its own standing, if it has something to refute, then
  // other standings, then records. Those that were sent least often go first.
  void fill(Writer& writer, Roster& roster, std::size_t to, bool with_records, load_balancer::Random& random);

 private:
  static int sendsPerUpdate(const Roster& roster);
  int sendCost() const;

  std::vector<std::size_t> standings_, records_;  // slots, in no order
  bool urgent_ = false;                           // one of the records is
};

}  // namespace client_proxy::fleet
