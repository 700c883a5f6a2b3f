// The chosen changes that a replica keeps, without their texts.
#pragma once

#include <deque>
#include <map>

#include "consensus/types.h"

namespace client_proxy::consensus {

/// The newest chosen changes in ascending order, at most `kept` of them, with look-up by version and by id.
class History {
 public:
  History(const std::vector<ChangeHead>& changes, std::size_t kept);

  /// Of the newest change; 0: nothing was chosen yet.
  Version version() const { return changes_.empty() ? 0 : changes_.back().version; }
  /// Of the newest text; before the first change, the digest of the empty text.
  std::string digest() const;
  /// The version of the oldest kept change; 1 if nothing was chosen yet.
  Version oldestKept() const { return changes_.empty() ? 1 : changes_.front().version; }
  /// nullptr: nothing was chosen yet.
  const ChangeHead* newest() const { return changes_.empty() ? nullptr : &changes_.back(); }
  /// nullptr: no kept change has this version.
  const ChangeHead* find(Version version) const;
  /// nullptr: no kept change has this publish id.
  const ChangeHead* findId(const std::string& id) const;

  /// Whether `version` can be added: it is the next one, or it is the oldest change that the sender still
  /// keeps, so that the sender can't supply those before it.
  bool follows(Version version, Version oldest_kept) const;
  /// Appends a change and drops the oldest one beyond `kept`.
  void add(const ChangeHead& head);

 private:
  void dropOldest();

  std::deque<ChangeHead> changes_;
  std::map<std::string, Version> versions_by_id_;
  std::size_t kept_;
};

}  // namespace client_proxy::consensus
