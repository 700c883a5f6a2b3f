// The listed members as voters, and when enough of them agree. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "leases/types.h"

namespace client_proxy::leases {

// What a member sees of the others at the moment.
struct LivenessView {
  std::vector<Number> live;  // by number, with the member itself
  std::vector<SiteId> lost;  // sites whose hosts answer nobody
  bool isLost(SiteId site) const { return std::find(lost.begin(), lost.end(), site) != lost.end(); }
};

class VoterList {
 public:
  explicit VoterList(std::vector<Listed> members) : members_(std::move(members)) {
    std::sort(members_.begin(), members_.end(), [](auto& a, auto& b) { return a.number < b.number; });
    for (const Listed& m : members_) {
      if (std::find(sites_.begin(), sites_.end(), m.site) == sites_.end()) sites_.push_back(m.site);
    }
  }
  std::size_t size() const { return members_.size(); }
  std::size_t majority() const { return members_.size() / 2 + 1; }
  std::size_t sites() const { return sites_.size(); }
  const std::vector<Listed>& members() const { return members_; }
  std::optional<std::size_t> find(Number number) const {
    const auto it = std::lower_bound(members_.begin(), members_.end(), number,
                                     [](const Listed& m, Number n) { return m.number < n; });
    if (it == members_.end() || it->number != number) return std::nullopt;
    return static_cast<std::size_t>(it - members_.begin());
  }
  SiteId siteOf(Number number) const {
    const auto at = find(number);
    return at ? members_[*at].site : kNoSite;
  }
  // A site's leader: its live member with the lowest number. Nothing if none is live.
  std::optional<Number> leaderOf(SiteId site, const LivenessView& liveness) const {
    for (const Number n : liveness.live) {
      if (siteOf(n) == site) return n;
    }
    return std::nullopt;
  }
  // The site can serve nothing: none of its members is live, or its hosts are lost.
  bool isGone(SiteId site, const LivenessView& liveness) const {
    return liveness.isLost(site) || !leaderOf(site, liveness);
  }

 private:
  std::vector<Listed> members_;  // by number
  std::vector<SiteId> sites_;
};

// Members that have voted for the same thing, each counted once.
class VoteSet {
 public:
  void add(const VoterList& voters, Number number) {
    const auto at = voters.find(number);
    if (!at) return;
    from_.resize(voters.size());
    if (from_[*at]) return;
    from_[*at] = true;
    ++count_;
    const SiteId site = voters.members()[*at].site;
    if (std::find(sites_.begin(), sites_.end(), site) == sites_.end()) sites_.push_back(site);
  }
  void add(const VoterList& voters, const VoteSet& others) {
    for (std::size_t at = 0; at < others.from_.size(); ++at) {
      if (others.from_[at]) add(voters, voters.members()[at].number);
    }
  }
  bool has(const VoterList& voters, Number number) const {
    const auto at = voters.find(number);
    return at && *at < from_.size() && from_[*at];
  }
  std::size_t count() const { return count_; }
  // A majority of the listed members, from at least two sites where there are two.
  bool isQuorum(const VoterList& voters) const {
    return count_ >= voters.majority() && sites_.size() >= std::min<std::size_t>(2, voters.sites());
  }

 private:
  std::vector<bool> from_;
  std::size_t count_ = 0;
  std::vector<SiteId> sites_;
};

}  // namespace client_proxy::leases
