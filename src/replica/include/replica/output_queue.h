// The order in which a replica's outputs leave it: none before its own writes and those of all before it are
// on disk. Pure.
#pragma once

#include <deque>
#include <optional>
#include <utility>

#include "consensus/output.h"

namespace client_proxy::replica {

class OutputQueue {
 public:
  /// True: `writes` of the output just added are to be given to the disk now.
  bool add(consensus::Output output) {
    const bool writes = !output.writes.empty();
    waiting_.push_back({std::move(output), writes});
    return writes;
  }
  const std::vector<consensus::Write>& newestWrites() const { return waiting_.back().output.writes; }
  /// The oldest writes that were not on disk yet are.
  void written() {
    for (Waiting& one : waiting_) {
      if (!std::exchange(one.on_disk_wanted, false)) continue;
      return;
    }
  }
  /// The next output that may leave; nothing: there is none, or it waits for the disk.
  std::optional<consensus::Output> next() {
    if (waiting_.empty() || waiting_.front().on_disk_wanted) return std::nullopt;
    consensus::Output output = std::move(waiting_.front().output);
    waiting_.pop_front();
    return output;
  }
  /// Nothing of what waits ever leaves: a write has failed.
  void discard() { waiting_.clear(); }

 private:
  struct Waiting {
    consensus::Output output;
    bool on_disk_wanted = false;
  };
  std::deque<Waiting> waiting_;
};

}  // namespace client_proxy::replica
