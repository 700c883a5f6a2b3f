// The leases of one site, kept by its leader: which grants a quorum has confirmed, and until when they are
// valid. No I/O, no clock.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "leases/voters.h"
#include "leases/wire.h"

namespace client_proxy::leases {

// A lease of the site, or a grant that a quorum has yet to confirm.
struct Lease {
  Grant grant;
  Time expires_at = fleet::kLongAgo;  // until when a quorum has promised it
  Time ready_at = fleet::kNever;      // when the drain time of the previous owner ends
  bool confirmed = false;             // by a quorum since this process started
  bool ready = false;                 // the drain time is over, and this has been handed to storage
};

class LeaseHolder {
 public:
  LeaseHolder(const Settings& settings, const VoterList& voters, Number self)
      : settings_(settings), voters_(voters), self_(self) {}

  // Enters a grant loaded from disk. If `ready`, the drain time does not start again.
  void restore(ServiceId service, const Grant& grant, bool ready);
  // Enters a grant with the end of its drain time as last announced by the site's previous leader.
  void adoptFromPreviousLeader(ServiceId service, const Grant& grant, Time ready_at);

  // Starts a round of votes on these grants and returns its number.
  std::uint32_t beginRound(Time now, const std::vector<StoredGrant>& grants);
  // Null if the round is no longer tracked.
  const std::vector<StoredGrant>* grantsOf(std::uint32_t round) const;

  // A member has voted for all grants of the round. `live`: number of live members.
  void onVoteForAll(Time now, std::uint32_t round, Number from, std::size_t live);
  // A member has voted for or against one grant of the round.
  void onVote(Time now, std::uint32_t round, Number from, const Entry& entry, std::size_t live);
  // Whether a majority does not know this grant and no other member has voted for it in the round.
  bool isUnwitnessed(std::uint32_t round, ServiceId service) const;

  // Removes the lease, because a newer grant is known.
  void drop(ServiceId service) { leases_.erase(service); }
  void clear() { leases_.clear(); }
  const Lease* lease(ServiceId service) const;
  const std::map<ServiceId, Lease>& all() const { return leases_; }
  // Marks the leases whose drain time has ended since the last call, and returns them to be stored.
  std::vector<StoredGrant> becomeReady(Time now);

 private:
  struct Round {
    std::uint32_t number = 0;
    Time sent = 0;
    std::vector<StoredGrant> grants;
    VoteSet for_all;
    std::map<ServiceId, VoteSet> for_one, unknown;
  };
  const Round* findRound(std::uint32_t round) const;
  Round* findRound(std::uint32_t round);
  void extendIfQuorum(Time now, const Round& round, const StoredGrant& stored, std::size_t live);

  static constexpr std::size_t kRounds = 6;  // votes for older rounds are ignored
  const Settings& settings_;
  const VoterList& voters_;
  const Number self_;
  std::map<ServiceId, Lease> leases_;
  std::deque<Round> rounds_;
  std::uint32_t last_round_ = 0;
};

}  // namespace client_proxy::leases
