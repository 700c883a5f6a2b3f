// What a replica keeps over its restarts: its start, its vote, what its peers claimed, and the newest
// changes. Each row has a checksum. Blocks.
#pragma once

#include <span>
#include <vector>

#include "consensus/types.h"
#include "sqlite/database.h"

namespace client_proxy::replica {

using distribution::Change;
using distribution::ReplicaId;
using distribution::Version;

class Store {
 public:
  /// Opens the file, or begins one. `kept`: how many changes stay. All calls throw sqlite::Error; a file that
  /// is broken stays where it is.
  Store(const std::string& file, ReplicaId self, std::size_t kept);

  /// Every row is held against its checksum.
  consensus::DurableState load();
  /// All of these or none, on disk when it returns.
  void write(std::span<const consensus::Write> writes);
  /// Changes from this one on that are kept, ascending: at least one where there is any, else as many as stay
  /// within the bounds.
  std::vector<Change> changesFrom(Version from, std::size_t max_count, std::size_t max_text_bytes);
  /// For tests: the file may have so many pages at most, as where a disk is full.
  void limitPages(int most);

 private:
  void begin();
  std::string record(const std::string& name);
  void putRecord(const std::string& name, const std::string& bytes);
  void put(const consensus::SaveStart& start);
  void put(const consensus::SaveVote& vote);
  void put(const consensus::SavePeer& peer);
  void put(const consensus::SaveChosen& chosen);
  void loadRecords(consensus::DurableState& state);
  void loadStart(const std::string& bytes, consensus::DurableState& state);
  Change changeOf(sqlite::Statement& row) const;

  sqlite::Database database_;
  const ReplicaId self_;
  const std::size_t kept_;
  std::vector<std::uint64_t> runs_;  // of starts with this file, the newest last
  Version vote_slot_ = 0;
};

}  // namespace client_proxy::replica
