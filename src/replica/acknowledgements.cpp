#include "replica/acknowledgements.h"

#include <algorithm>

#include "distribution/digest.h"

namespace client_proxy::replica {

using distribution::Acknowledgement;

Acknowledgements::Entry* Acknowledgements::findOrCreateEntry(Time now, MemberId member) {
  if (members_.size() >= kMaxMembers && members_.count(member) == 0) removeExpired(now);
  if (members_.size() >= kMaxMembers && members_.count(member) == 0) return nullptr;
  Entry& entry = members_[member];
  entry.newest.member = member;
  if (entry.newest.digest.empty()) entry.newest.digest = distribution::digestOf({});
  entry.last_contact = now;
  return &entry;
}

void Acknowledgements::record(Time now, const Acknowledgement& acknowledgement) {
  Entry* const entry = findOrCreateEntry(now, acknowledgement.member);
  if (entry != nullptr && acknowledgement.sequence >= entry->newest.sequence) entry->newest = acknowledgement;
}

void Acknowledgements::connected(Time now, MemberId member) {
  if (Entry* const entry = findOrCreateEntry(now, member)) ++entry->connections;
}

void Acknowledgements::disconnected(Time now, MemberId member) {
  const auto entry = members_.find(member);
  if (entry == members_.end()) return;
  entry->second.connections = std::max(0, entry->second.connections - 1);
  entry->second.last_contact = now;
}

void Acknowledgements::removeExpired(Time now) {
  for (auto entry = members_.begin(); entry != members_.end();) {
    const bool expired = entry->second.connections == 0 && now - entry->second.last_contact > kRetention;
    entry = expired ? members_.erase(entry) : std::next(entry);
  }
}

std::vector<distribution::MemberStatus> Acknowledgements::status(Time now) {
  removeExpired(now);
  std::vector<distribution::MemberStatus> all;
  for (const auto& [member, entry] : members_) {
    all.push_back({.member = member,
                   .connected = entry.connections > 0,
                   .heard_ms_ago = (now - entry.last_contact).count(),
                   .version = entry.newest.version,
                   .digest = entry.newest.digest,
                   .restart_needed = entry.newest.restart_needed,
                   .refused = entry.newest.refused});
  }
  return all;
}

}  // namespace client_proxy::replica
