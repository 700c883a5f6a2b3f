// The listed members as voters, and the quorum rule. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "leases/types.h"

namespace client_proxy::leases {

// Which members and sites one member currently considers reachable.
struct LivenessView {
  std::vector<Number> live;  // live members in ascending order, including the observer
  std::vector<SiteId> lost;  // sites whose hosts respond to no member
  bool isLost(SiteId site) const { return std::find(lost.begin(), lost.end(), site) != lost.end(); }
};

class VoterList {
 public:
  explicit VoterList(std::vector<ListedMember> members) : members_(std::move(members)) {
    std::sort(members_.begin(), members_.end(), [](auto& a, auto& b) { return a.number < b.number; });
    for (const ListedMember& m : members_) {
      if (std::find(sites_.begin(), sites_.end(), m.site) == sites_.end()) sites_.push_back(m.site);
    }
  }
  std::size_t size() const { return members_.size(); }
  std::size_t majority() const { return members_.size() / 2 + 1; }
  std::size_t sites() const { return sites_.size(); }
  const std::vector<ListedMember>& members() const { return members_; }
  std::optional<std::size_t> find(Number number) const {
    const auto it = std::lower_bound(members_.begin(), members_.end(), number,
                                     [](const ListedMember& m, Number n) { return m.number < n; });
    if (it == members_.end() || it->number != number) return std::nullopt;
    return static_cast<std::size_t>(it - members_.begin());
  }
  SiteId siteOf(Number number) const {
    const auto at = find(number);
    return at ? members_[*at].site : kNoSite;
  }
  // A site's leader: its live member with the lowest number. std::nullopt if none is live.
  std::optional<Number> leaderOf(SiteId site, const LivenessView& liveness) const {
    for (const Number n : liveness.live) {
      if (siteOf(n) == site) return n;
    }
    return std::nullopt;
  }
  // The site can't serve requests: none of its members is live, or its hosts are lost.
  bool isUnavailable(SiteId site, const LivenessView& liveness) const {
    return liveness.isLost(site) || !leaderOf(site, liveness);
  }

 private:
  std::vector<ListedMember> members_;  // in ascending order of number
  std::vector<SiteId> sites_;
};

// Members that have cast the same vote, each counted once. Votes of unlisted members are ignored.
class VoteSet {
 public:
  void add(const VoterList& voters, Number number) {
    const auto at = voters.find(number);
    if (!at) return;
    voted_.resize(voters.size());
    if (voted_[*at]) return;
    voted_[*at] = true;
    ++count_;
    const SiteId site = voters.members()[*at].site;
    if (std::find(sites_.begin(), sites_.end(), site) == sites_.end()) sites_.push_back(site);
  }
  void add(const VoterList& voters, const VoteSet& others) {
    for (std::size_t at = 0; at < others.voted_.size(); ++at) {
      if (others.voted_[at]) add(voters, voters.members()[at].number);
    }
  }
  bool has(const VoterList& voters, Number number) const {
    const auto at = voters.find(number);
    return at && *at < voted_.size() && voted_[*at];
  }
  std::size_t count() const { return count_; }
  // A majority of the listed members that covers at least two sites, if the list has more than one.
  bool isQuorum(const VoterList& voters) const {
    return count_ >= voters.majority() && sites_.size() >= std::min<std::size_t>(2, voters.sites());
  }

 private:
  std::vector<bool> voted_;  // by index in VoterList::members()
  std::size_t count_ = 0;
  std::vector<SiteId> sites_;
};

}  // namespace client_proxy::leases
