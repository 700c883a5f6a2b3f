// The listed members, and when so many of them have said a thing that it is ruled. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "leases/types.h"

namespace quinceline::leases {

// What a member sees of the others just now.
struct Outlook {
  std::vector<Number> live;  // by number; itself among them
  std::vector<SiteId> lost;  // whose hosts answer nobody
  bool isLost(SiteId site) const { return std::find(lost.begin(), lost.end(), site) != lost.end(); }
};

class Electorate {
 public:
  explicit Electorate(std::vector<Listed> members) : members_(std::move(members)) {
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
    return at ? members_[*at].site : kNowhere;
  }
  // Who speaks for a site: its live member with the lowest number. Nothing: none is live.
  std::optional<Number> keeperOf(SiteId site, const Outlook& outlook) const {
    for (const Number n : outlook.live) {
      if (siteOf(n) == site) return n;
    }
    return std::nullopt;
  }
  // Nothing of it serves: none of its members is live, or its hosts are silent to all.
  bool gone(SiteId site, const Outlook& outlook) const {
    return outlook.isLost(site) || !keeperOf(site, outlook);
  }

 private:
  std::vector<Listed> members_;  // by number
  std::vector<SiteId> sites_;
};

// Members that have said the same thing.
class Votes {
 public:
  void add(const Electorate& electorate, Number number) {
    const auto at = electorate.find(number);
    if (!at) return;
    from_.resize(electorate.size());
    if (from_[*at]) return;
    from_[*at] = true;
    ++count_;
    const SiteId site = electorate.members()[*at].site;
    if (std::find(sites_.begin(), sites_.end(), site) == sites_.end()) sites_.push_back(site);
  }
  void add(const Electorate& electorate, const Votes& others) {
    for (std::size_t at = 0; at < others.from_.size(); ++at) {
      if (others.from_[at]) add(electorate, electorate.members()[at].number);
    }
  }
  bool has(const Electorate& electorate, Number number) const {
    const auto at = electorate.find(number);
    return at && *at < from_.size() && from_[*at];
  }
  std::size_t count() const { return count_; }
  // A majority of the listed ones, from two sites where there are two.
  bool rules(const Electorate& electorate) const {
    return count_ >= electorate.majority() && sites_.size() >= std::min<std::size_t>(2, electorate.sites());
  }

 private:
  std::vector<bool> from_;
  std::size_t count_ = 0;
  std::vector<SiteId> sites_;
};

}  // namespace quinceline::leases
