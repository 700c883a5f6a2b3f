// The heads of the chosen changes that a replica keeps.
#pragma once

#include <deque>
#include <map>

#include "consensus/types.h"

namespace client_proxy::consensus {

class History {
 public:
  History(const std::vector<ChangeHead>& changes, std::size_t kept);

  Version version() const { return changes_.empty() ? 0 : changes_.back().version; }
  /// Of the newest text; of the empty one before the first change.
  std::string digest() const;
  /// 1 where nothing was chosen yet.
  Version oldestKept() const { return changes_.empty() ? 1 : changes_.front().version; }
  const ChangeHead* newest() const { return changes_.empty() ? nullptr : &changes_.back(); }
  const ChangeHead* find(Version version) const;
  const ChangeHead* findId(const std::string& id) const;

  /// Whether this is the next one, or one behind a gap that nobody can fill any more.
  bool follows(Version version, Version oldest_kept) const;
  void add(const ChangeHead& head);

 private:
  void dropOldest();

  std::deque<ChangeHead> changes_;
  std::map<std::string, Version> versions_by_id_;
  std::size_t kept_;
};

}  // namespace client_proxy::consensus
