// Which members have sent all grants that they know since this process started. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

#include "leases/voters.h"
#include "leases/wire.h"

namespace client_proxy::leases {

// Replies of members that have lost their storage count only while no grant has been seen from any member,
// since the fleet is then new.
class StateSync {
 public:
  explicit StateSync(const VoterList& voters) : voters_(voters) {}

  // `has_storage`: this member has loaded grants from its own storage.
  void restart(bool has_storage);
  std::uint32_t round() const { return round_; }
  // The member has not sent all its grants yet, or had lost its storage when it did.
  bool needsReplyFrom(Number member) const { return !synchronized_.has(voters_, member); }
  // Handles a SyncReply of the current round. Returns whether enough members have sent all their grants.
  bool onReply(Number from, const Message& message);
  // Members that have sent all their grants.
  std::size_t count() const { return synchronized_.count() + unsynchronized_.count(); }

 private:
  const VoterList& voters_;
  std::uint32_t round_ = 0;
  std::map<Number, std::set<ServiceId>> received_;  // services received so far, since replies come in parts
  VoteSet synchronized_, unsynchronized_;
  bool any_grant_ = false;  // some member, possibly this one, knows of a grant
};

}  // namespace client_proxy::leases
