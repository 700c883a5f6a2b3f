// The voting side of a member: the promises that it has made, and whether it may make another one. No I/O, no
// clock.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "leases/voters.h"
#include "leases/wire.h"

namespace client_proxy::leases {

class Voter {
 public:
  Voter(const Settings& settings, const VoterList& voters, const std::vector<Service>& services)
      : settings_(settings), voters_(voters), services_(services) {}

  // `stored`: promises loaded from disk. The previous process may have made them just before it ended, so all
  // of them bind for a full promise duration. No new promise is made before synchronize(), since the storage
  // may be outdated, copied from another member, or lost.
  void start(Time now, const std::vector<StoredGrant>& stored);
  // To be called once a majority of the other members has sent all grants that it knows. A promise unknown to
  // all of them can't have become part of a quorum and is retracted. Returns the retracted promises.
  std::vector<StoredGrant> synchronize(Time now);
  bool mayPromise(Time now) const { return synchronized_at_.has_value() && now >= quarantined_until_; }

  // Records a grant received from another member. Returns whether it is newer than the newest known one.
  bool learn(ServiceId service, const Grant& grant);
  // Withdraws a promise that no other member knows of. Its term is not used again.
  void retract(ServiceId service);
  // Requires new claims to have a higher term, for example one that hosts have already seen.
  void raiseTermFloor(ServiceId service, Term term);
  // The newest grant that was promised or received; term 0 if there is none.
  Grant known(ServiceId service) const;
  // The lowest term allowed for a new claim.
  Term nextTerm(ServiceId service) const;
  // Whether grants to two different sites exist under the newest known term.
  bool disputed(ServiceId service) const;
  std::vector<StoredGrant> allKnown() const;
  // Durable promises to a site, except those superseded by a newer grant or disputed.
  std::vector<StoredGrant> promisesTo(SiteId site) const;
  // Whether a durable promise of this term and site exists.
  bool promised(ServiceId service, const Grant& grant) const;

  struct Answer {
    Entry entry;
    bool store = false;  // the promise has to be on disk before the vote is sent
  };
  // Extends an existing promise.
  Answer renew(Time now, const Entry& requested, const LivenessView& liveness);
  // Promises a new grant, unless another promise, a newer term or the claim rules forbid it.
  Answer claim(Time now, const Entry& requested, const LivenessView& liveness);
  // The write of a promise has completed. `ok` is false if it failed for good; the promise is then dropped.
  void onStored(const StoredGrant& stored, bool ok);

 private:
  struct Promise {
    Grant grant;
    bool durable = false;
    Time binds_until = fleet::kLongAgo;
  };
  struct Learned {
    Grant grant;
    bool disputed = false;
    Term term_floor = 0;   // highest term that must not be used again
    Term newest_term = 0;  // highest term received from another member
  };
  const Service* findService(ServiceId id) const;
  Answer refusal(Time now, const Entry& requested) const;
  bool isJustified(Time now, const Entry& requested, const LivenessView& liveness) const;

  const Settings& settings_;
  const VoterList& voters_;
  const std::vector<Service>& services_;
  std::map<ServiceId, Promise> promises_;
  std::map<ServiceId, Learned> learned_;
  Time quarantined_until_ = 0;
  std::optional<Time> synchronized_at_;
};

}  // namespace client_proxy::leases
