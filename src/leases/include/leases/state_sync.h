// Which members have told all that they know since this process started. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

#include "leases/voters.h"
#include "leases/wire.h"

namespace client_proxy::leases {

// Members that have lost their storage count only where nobody remembers any grant: then the fleet is new.
class StateSync {
 public:
  explicit StateSync(const VoterList& voters) : voters_(voters) {}

  // `has_storage`: this member remembers grants itself.
  void restart(bool has_storage);
  std::uint32_t round() const { return round_; }
  // The member has not told everything yet, or had lost its storage when it did.
  bool needs(Number member) const { return !synchronized_.has(voters_, member); }
  // A SyncReply of this round. True if enough members have told everything.
  bool onReply(Number from, const Message& message);
  std::size_t count() const { return synchronized_.count() + unsynchronized_.count(); }

 private:
  const VoterList& voters_;
  std::uint32_t round_ = 0;
  std::map<Number, std::set<ServiceId>> told_;  // replies come in parts
  VoteSet synchronized_, unsynchronized_;
  bool any_grant_ = false;  // somebody knows of one
};

}  // namespace client_proxy::leases
