#include "leases/state_sync.h"

#include <algorithm>

namespace client_proxy::leases {

void StateSync::restart(bool has_storage) {
  ++round_;
  received_.clear();
  synchronized_ = unsynchronized_ = {};
  any_grant_ = has_storage;
}

bool StateSync::onReply(Number from, const Message& message) {
  std::set<ServiceId>& received = received_[from];
  for (const Entry& e : message.entries) {
    received.insert(e.service);
    any_grant_ = any_grant_ || e.grant.term > 0;
  }
  if (received.size() < message.digest) return false;
  (message.synchronized ? synchronized_ : unsynchronized_).add(voters_, from);
  VoteSet counted = synchronized_;
  if (!any_grant_) counted.add(voters_, unsynchronized_);
  // This member does not count, since its own storage may be outdated.
  return counted.count() >= std::min(voters_.majority(), voters_.size() - 1);
}

}  // namespace client_proxy::leases
