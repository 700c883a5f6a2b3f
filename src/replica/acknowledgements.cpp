#include "replica/acknowledgements.h"

#include <algorithm>

#include "distribution/digest.h"

namespace client_proxy::replica {

using distribution::Acknowledgement;

Acknowledgements::Entry* Acknowledgements::entryOf(Time now, MemberId member) {
  if (members_.size() >= kMaxMembers && members_.count(member) == 0) forget(now);
  if (members_.size() >= kMaxMembers && members_.count(member) == 0) return nullptr;
  Entry& entry = members_[member];
  entry.newest.member = member;
  if (entry.newest.digest.empty()) entry.newest.digest = distribution::digestOf({});
  entry.heard = now;
  return &entry;
}

void Acknowledgements::take(Time now, const Acknowledgement& acknowledgement) {
  Entry* const entry = entryOf(now, acknowledgement.member);
  if (entry != nullptr && acknowledgement.sequence >= entry->newest.sequence) entry->newest = acknowledgement;
}

void Acknowledgements::connected(Time now, MemberId member) {
  if (Entry* const entry = entryOf(now, member)) ++entry->connections;
}

void Acknowledgements::disconnected(Time now, MemberId member) {
  const auto entry = members_.find(member);
  if (entry == members_.end()) return;
  entry->second.connections = std::max(0, entry->second.connections - 1);
  entry->second.heard = now;
}

void Acknowledgements::forget(Time now) {
  for (auto entry = members_.begin(); entry != members_.end();) {
    const bool old = entry->second.connections == 0 && now - entry->second.heard > kForgetAfter;
    entry = old ? members_.erase(entry) : std::next(entry);
  }
}

std::vector<distribution::MemberStatus> Acknowledgements::status(Time now) {
  forget(now);
  std::vector<distribution::MemberStatus> all;
  for (const auto& [member, entry] : members_) {
    all.push_back({.member = member,
                   .connected = entry.connections > 0,
                   .heard_ms_ago = (now - entry.heard).count(),
                   .version = entry.newest.version,
                   .digest = entry.newest.digest,
                   .restart_needed = entry.newest.restart_needed,
                   .refused = entry.newest.refused});
  }
  return all;
}

}  // namespace client_proxy::replica
