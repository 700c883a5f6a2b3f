#include "consensus/history.h"

#include <algorithm>

#include "distribution/digest.h"

namespace client_proxy::consensus {

ChangeHead headOf(const Change& change) { return {change.version, change.id, change.author, change.digest}; }

History::History(const std::vector<ChangeHead>& changes, std::size_t kept) : kept_(kept) {
  for (const ChangeHead& head : changes) add(head);
}

std::string History::digest() const {
  return changes_.empty() ? distribution::digestOf({}) : changes_.back().digest;
}

const ChangeHead* History::find(Version version) const {
  const auto found =
      std::lower_bound(changes_.begin(), changes_.end(), version,
                       [](const ChangeHead& head, Version target) { return head.version < target; });
  return found != changes_.end() && found->version == version ? &*found : nullptr;
}

const ChangeHead* History::findId(const std::string& id) const {
  const auto found = versions_by_id_.find(id);
  return found == versions_by_id_.end() ? nullptr : find(found->second);
}

bool History::follows(Version version, Version oldest_kept) const {
  if (version == this->version() + 1) return true;
  return version > this->version() && version == oldest_kept;
}

void History::add(const ChangeHead& head) {
  versions_by_id_[head.id] = head.version;
  changes_.push_back(head);
  if (changes_.size() > kept_) dropOldest();
}

void History::dropOldest() {
  versions_by_id_.erase(changes_.front().id);
  changes_.pop_front();
}

}  // namespace client_proxy::consensus
