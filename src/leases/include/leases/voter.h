// A member as a voter: what it has promised, and what it may promise next. No I/O, no clock.
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

  // `stored`: promises from disk. The process before may have made them a moment ago, so all of them bind for
  // a full promise duration. New promises wait until synchronize(), since this storage may be an older copy,
  // another member's, or lost.
  void start(Time now, const std::vector<StoredGrant>& stored);
  // A majority of the others has told what it knows. A promise of which none of them has ever heard was never
  // granted to anybody and is retracted. Returns those.
  std::vector<StoredGrant> synchronize(Time now);
  bool mayPromise(Time now) const { return synchronized_at_.has_value() && now >= quarantined_until_; }

  // Another member says that this grant exists. True if it is newer than what was known.
  bool learn(ServiceId service, const Grant& grant);
  // Takes back a promise that nobody has heard of. Its term is not used again.
  void retract(ServiceId service);
  // Hosts have seen this term: claims have to be above it.
  void raiseTermFloor(ServiceId service, Term term);
  // The newest grant that was promised or heard of; term 0 if there is none.
  Grant known(ServiceId service) const;
  // The lowest term that a new claim may have.
  Term nextTerm(ServiceId service) const;
  // Two different grants of the newest known term exist.
  bool disputed(ServiceId service) const;
  std::vector<StoredGrant> allKnown() const;
  // Durable promises to a site, but for those that a newer grant has overtaken.
  std::vector<StoredGrant> promisesTo(SiteId site) const;
  bool promised(ServiceId service, const Grant& grant) const;

  struct Answer {
    Entry entry;
    bool store = false;  // has to be on disk before it is sent
  };
  // Extends a promise that was made already.
  Answer renew(Time now, const Entry& asked, const LivenessView& liveness);
  // Promises a new grant, if nothing stands against it.
  Answer claim(Time now, const Entry& asked, const LivenessView& liveness);
  // The promise is on disk, or (`ok` is false) never will be: then it was not made.
  void onStored(const StoredGrant& stored, bool ok);

 private:
  struct Promise {
    Grant grant;
    bool durable = false;
    Time binds_until = fleet::kLongAgo;
  };
  struct Heard {
    Grant grant;
    bool disputed = false;
    Term floor = 0;  // seen by hosts
    Term best = 0;   // the newest that other members know of
  };
  const Service* findService(ServiceId id) const;
  Answer refusal(Time now, const Entry& asked) const;
  bool isJustified(Time now, const Entry& asked, const LivenessView& liveness) const;

  const Settings& settings_;
  const VoterList& voters_;
  const std::vector<Service>& services_;
  std::map<ServiceId, Promise> promises_;
  std::map<ServiceId, Heard> heard_;
  Time quarantined_until_ = 0;
  std::optional<Time> synchronized_at_;
};

}  // namespace client_proxy::leases
