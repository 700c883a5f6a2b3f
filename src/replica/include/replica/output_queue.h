// Holds back each output of the consensus node until its own writes and those of all earlier outputs are on
// disk. Does no I/O.
#pragma once

#include <deque>
#include <optional>
#include <utility>

#include "consensus/output.h"

namespace client_proxy::replica {

class OutputQueue {
 public:
  /// Returns true if the output has writes; the caller then passes newestWrites() to the disk.
  bool add(consensus::Output output) {
    const bool writes = !output.writes.empty();
    queue_.push_back({std::move(output), writes});
    return writes;
  }
  const std::vector<consensus::Write>& newestWrites() const { return queue_.back().output.writes; }
  /// Records that the oldest pending writes are on disk.
  void markWritten() {
    for (Entry& entry : queue_) {
      if (!std::exchange(entry.awaits_disk, false)) continue;
      return;
    }
  }
  /// Removes and returns the next output that may be executed; nullopt if the queue is empty or its front
  /// waits for the disk.
  std::optional<consensus::Output> next() {
    if (queue_.empty() || queue_.front().awaits_disk) return std::nullopt;
    consensus::Output output = std::move(queue_.front().output);
    queue_.pop_front();
    return output;
  }
  /// Drops all queued outputs after a failed write.
  void discard() { queue_.clear(); }

 private:
  struct Entry {
    consensus::Output output;
    bool awaits_disk = false;
  };
  std::deque<Entry> queue_;
};

}  // namespace client_proxy::replica
