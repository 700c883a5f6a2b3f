// The ownership state machine of one member. Inputs: messages and the current time. Outputs: messages, writes
// to disk and log lines. No I/O, no clock. The safety argument is in docs/design-ownership.md.
//
// The class is implemented by subject: member.cpp (timers, dispatch), synchronization.cpp (grants known to
// other members), renewal.cpp (leases of this site), claims.cpp (new grants), queries.cpp (leases of other
// sites), conflict_detection.cpp.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "leases/conflicts.h"
#include "leases/lease_cache.h"
#include "leases/lease_holder.h"
#include "leases/pending_votes.h"
#include "leases/state_sync.h"
#include "leases/voter.h"
#include "random/random.h"

namespace client_proxy::leases {

struct OutgoingMessage {
  Number to = 0;
  std::string bytes;
};

struct Output {
  std::vector<OutgoingMessage> messages;
  std::vector<StoredGrant> writes;     // the caller reports the result of each by Member::onStored()
  std::vector<std::string> log_lines;  // for operators
  bool discard_storage = false;        // another member uses a copy of it: start with an empty one
};

class Member {
 public:
  // Throws std::invalid_argument if `self` is not in `listed`. `seed`: for the jitter of timers.
  Member(const Settings& settings, std::vector<Service> services, std::vector<ListedMember> listed,
         Number self, std::uint64_t seed);

  // `installation`: identifies the storage that `stored` was loaded from; 0: there is no storage.
  void start(Time now, const std::vector<StoredGrant>& stored, std::uint32_t installation);
  // Updates the liveness of the other members. To be called several times a second.
  void observe(Time now, LivenessView liveness) { liveness_ = std::move(liveness), observed_at_ = now; }
  void receive(Time now, Number from, std::string_view bytes, Output& out);
  // Runs the timers. To be called at due().
  void onTime(Time now, Output& out);
  Time due() const { return due_; }
  // A write has completed; `ok` is false if it failed for good.
  void onStored(Time now, const StoredGrant& stored, bool ok, Output& out);
  // A host has rejected a request because it had already seen this newer term.
  void onHostTerm(Time now, ServiceId service, Term term, Output& out);
  // Executes an operator's order to make a site the owner, regardless of the current one. Returns a
  // description of what this overrides, for the operator.
  std::string overrideOwner(Time now, ServiceId service, SiteId site, Output& out);

  // Whether a request of the service may be sent now, and to which site. To be called before each attempt.
  Permit permit(ServiceId service, Time now) const;
  // Whether a majority has sent the grants that it knows and promises from before the start have run out.
  bool synchronized(Time now) const { return voter_.mayPromise(now); }
  std::size_t synchronizedMembers() const { return state_sync_.count(); }

  const std::vector<Service>& services() const { return services_; }
  const VoterList& voters() const { return voters_; }
  const LivenessView& liveness() const { return liveness_; }
  Grant known(ServiceId service) const { return voter_.known(service); }
  bool disputed(ServiceId service) const { return voter_.disputed(service); }
  const Lease* lease(ServiceId service) const { return lease_holder_.lease(service); }
  const ConflictLog& conflicts() const { return conflicts_; }
  // Whether this member claims and renews the grants of its site.
  bool isSiteLeader() const;

 private:
  // member.cpp
  Message message(MessageKind kind, std::uint32_t round) const;
  void send(Number to, const Message& message, Output& out) const;
  void sendParts(Number to, const Message& message, Output& out) const;
  void sendToOthers(const Message& message, Output& out) const;
  void forEachOther(const std::function<void(Number)>& visit) const;
  std::string nameOfService(ServiceId service) const;
  // Removes the known leases of the service: no request of it is sent until a newer lease is known.
  void invalidate(ServiceId service);

  // synchronization.cpp
  void requestSync(Time now, Output& out);
  void onSyncRequest(Number from, const Message& request, Output& out);
  void onSyncReply(Time now, Number from, const Message& reply, Output& out);
  void synchronize(Time now, Output& out);
  void learn(Time now, ServiceId service, const Grant& grant, Output& out);
  void onDispute(Time now, ServiceId service, const Grant& before, const Grant& grant, Output& out);

  // renewal.cpp
  void renew(Time now, Output& out);
  void onRenew(Time now, Number from, const Message& request, Output& out);
  void onVote(Time now, Number from, const Message& vote, Output& out);
  void sendGrantList(Number to, std::uint32_t round, Output& out) const;
  void onRefusal(Time now, std::uint32_t round, const Entry& entry, const Grant& mine, Output& out);

  // claims.cpp
  void claimServices(Time now, Output& out);
  void repeatOverrides(Time now, Output& out);
  std::optional<ClaimReason> reasonToClaim(Time now, const Service& service);
  void claim(Time now, ServiceId service, const Grant& grant, Output& out);
  void broadcastClaim(ServiceId service, const Grant& grant, Output& out) const;
  void onClaim(Time now, Number from, const Message& request, Output& out);

  // queries.cpp
  void queryLeases(Time now, Output& out);
  void onLeaseQuery(Time now, Number from, const Message& query, Output& out);
  void onLeaseReply(Time now, const Message& reply, Output& out);
  void publishOwnLeases();

  // conflict_detection.cpp
  void checkInstallation(Time now, Number from, std::uint32_t installation, Output& out);
  void checkClaim(Time now, Number from, const Entry& entry, std::uint32_t config_hash, Output& out);
  void report(Time now, const Conflict& conflict, Output& out);

  static constexpr Time kClaimInterval = 300 * fleet::kMillisecond;

  const Settings settings_;
  const std::vector<Service> services_;
  const VoterList voters_;
  const Number self_;
  const SiteId site_;
  load_balancer::Random random_;
  Voter voter_;
  LeaseHolder lease_holder_;
  LeaseCache lease_cache_;
  StateSync state_sync_;
  PendingVotes pending_votes_;
  ConflictLog conflicts_;
  LivenessView liveness_;
  Time observed_at_ = fleet::kLongAgo;
  std::uint32_t installation_ = 0;
  bool has_storage_ = false;  // grants were loaded from disk

  std::map<Number, std::uint32_t> installations_;  // of other members
  std::map<SiteId, Time> unavailable_since_;
  std::map<ServiceId, Time> claimed_at_;
  struct Override {  // repeated for a limited time, so that the leader of its site receives it
    ServiceId service;
    Grant grant;
    Time until;
  };
  std::vector<Override> overrides_;
  std::map<ServiceId, Term> disputes_broadcast_;  // the last disputed term that was broadcast
  std::set<ServiceId> missing_votes_;  // some member lacks the promise: their grants are claimed again
  Time sync_at_ = 0, renew_at_ = 0, claim_at_ = 0, query_at_ = 0, due_ = fleet::kNever;
};

// "term=5 reason=home", for log lines.
std::string describe(const Grant& grant);

}  // namespace client_proxy::leases
