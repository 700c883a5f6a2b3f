#include "leases/pending_votes.h"

#include <algorithm>

namespace client_proxy::leases {
namespace {

bool waitsFor(const PendingVotes::Vote& vote, const StoredGrant& stored) {
  return vote.stored.service == stored.service && vote.stored.grant == stored.grant;
}

}  // namespace

bool PendingVotes::add(const Vote& vote) {
  const bool first = std::none_of(votes_.begin(), votes_.end(),
                                  [&](const Vote& other) { return waitsFor(other, vote.stored); });
  votes_.push_back(vote);
  return first;
}

std::vector<PendingVotes::Vote> PendingVotes::take(const StoredGrant& stored) {
  std::vector<Vote> taken;
  std::erase_if(votes_, [&](const Vote& vote) {
    if (!waitsFor(vote, stored)) return false;
    taken.push_back(vote);
    return true;
  });
  return taken;
}

}  // namespace client_proxy::leases
