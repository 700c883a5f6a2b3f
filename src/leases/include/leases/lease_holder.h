// The leases of one site, in its leader: which grants a quorum has confirmed, and until when. No I/O, no
// clock.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "leases/voters.h"
#include "leases/wire.h"

namespace client_proxy::leases {

struct Lease {
  Grant grant;
  Time expires_at = fleet::kLongAgo;  // by the promises of a quorum
  Time ready_at = fleet::kNever;      // when the drain time of the owner before is over
  bool confirmed = false;             // by a quorum, since this process started
  bool ready = false;                 // the drain time is over, and that is on disk
};

class LeaseHolder {
 public:
  LeaseHolder(const Settings& settings, const VoterList& voters, Number self)
      : settings_(settings), voters_(voters), self_(self) {}

  // From disk: a drain time that was over then does not start again.
  void restore(ServiceId service, const Grant& grant, bool ready);
  // As the leader before this one told it.
  void takeOver(ServiceId service, const Grant& grant, Time ready_at);

  // Starts a round of votes on these grants; its number.
  std::uint32_t beginRound(Time now, const std::vector<StoredGrant>& grants);
  const std::vector<StoredGrant>* grantsOf(std::uint32_t round) const;

  // A member has voted for all grants of the round. `live`: how many members are live.
  void onVoteForAll(Time now, std::uint32_t round, Number from, std::size_t live);
  // A member has voted for or against one of them.
  void onVote(Time now, std::uint32_t round, Number from, const Entry& entry, std::size_t live);
  // A majority knows nothing of this grant, and no other member has voted for it in the round.
  bool isUnwitnessed(std::uint32_t round, ServiceId service) const;

  // A newer grant is known.
  void drop(ServiceId service) { leases_.erase(service); }
  void clear() { leases_.clear(); }
  const Lease* lease(ServiceId service) const;
  const std::map<ServiceId, Lease>& all() const { return leases_; }
  // Marks the leases whose drain time has ended since the last call, and returns them: to be stored.
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

  static constexpr std::size_t kRounds = 6;  // whose votes still count
  const Settings& settings_;
  const VoterList& voters_;
  const Number self_;
  std::map<ServiceId, Lease> leases_;
  std::deque<Round> rounds_;
  std::uint32_t last_round_ = 0;
};

}  // namespace client_proxy::leases
