// The SQLite database of a replica: its start record, its vote, the records of its peers and the newest
// changes. Each row has a checksum. All calls block.
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
  /// Opens or creates the file. `kept_changes`: how many changes are retained. All calls throw sqlite::Error;
  /// a corrupt file is left in place.
  Store(const std::string& file, ReplicaId self, std::size_t kept_changes);

  /// Reads the whole state and verifies the checksum of every row.
  consensus::DurableState load();
  /// Writes all of these or none, in one transaction; they are on disk when it returns.
  void write(std::span<const consensus::Write> writes);
  /// Returns retained changes from version `from` on, in ascending order, within the limits. A first change
  /// longer than `max_text_bytes` is returned all the same.
  std::vector<Change> changesFrom(Version from, std::size_t max_count, std::size_t max_text_bytes);
  /// For tests: limits the file to `max_pages` pages to simulate a full disk.
  void limitPages(int max_pages);

 private:
  void createTables();
  std::string record(const std::string& name);
  void putRecord(const std::string& name, const std::string& bytes);
  void put(const consensus::SaveStart& start);
  void put(const consensus::SaveVote& vote);
  void put(const consensus::SavePeer& peer);
  void put(const consensus::SaveChosen& chosen);
  void loadRecords(consensus::DurableState& state);
  void loadStart(const std::string& bytes, consensus::DurableState& state);
  Change readChange(sqlite::Statement& row) const;

  sqlite::Database database_;
  const ReplicaId self_;
  const std::size_t kept_changes_;
  std::vector<std::uint64_t> runs_;  // run ids of the starts with this file, the newest last
  Version vote_slot_ = 0;
};

}  // namespace client_proxy::replica
