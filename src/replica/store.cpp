#include "replica/store.h"

#include <algorithm>

#include "distribution/codec.h"
#include "distribution/json_object.h"
#include "random/fnv.h"
#include "replica/wire.h"

namespace client_proxy::replica {
namespace {

using distribution::CodecError;
using distribution::JsonObject;
using nlohmann::json;

constexpr std::uint64_t kSchemaVersion = 1;
constexpr std::size_t kMaxRuns =
    1000;  // a peer that missed more starts than this reports the disk as an old one
constexpr std::size_t kMaxRecordBytes = kMaxPeerBodyBytes;
constexpr std::string_view kPeerPrefix = "peer ";

std::uint64_t checksumOf(const std::string& name, const std::string& bytes) {
  return load_balancer::fnv64(name + "=" + bytes);
}

}  // namespace

Store::Store(const std::string& file, ReplicaId self, std::size_t kept_changes)
    : database_(file), self_(self), kept_changes_(kept_changes) {
  database_.run("BEGIN IMMEDIATE");
  try {
    createTables();
    database_.run("COMMIT");
  } catch (...) {
    database_.rollBack();
    throw;
  }
}

void Store::createTables() {
  database_.run(
      "CREATE TABLE IF NOT EXISTS records (name BLOB PRIMARY KEY, bytes BLOB, checksum INTEGER) WITHOUT "
      "ROWID");
  database_.run(
      "CREATE TABLE IF NOT EXISTS changes (version INTEGER PRIMARY KEY, change BLOB, checksum INTEGER)");
  sqlite::Statement any(database_, "SELECT 1 FROM records");
  if (any.step()) return;
  putRecord("owner", distribution::formatJson({{"layout", kSchemaVersion}, {"replica", self_}}));
}

// ---- reading ----

consensus::DurableState Store::load() {
  try {
    consensus::DurableState state;
    runs_.clear();
    vote_slot_ = 0;
    loadRecords(state);
    sqlite::Statement changes(database_, "SELECT version, change, checksum FROM changes ORDER BY version");
    while (changes.step()) state.changes.push_back(consensus::headOf(readChange(changes)));
    return state;
  } catch (const CodecError& e) {
    throw sqlite::Error(sqlite::Fault::Corrupt, database_.file() + ": a row is corrupt: " + e.what());
  }
}

void Store::loadRecords(consensus::DurableState& state) {
  bool owner_found = false;
  sqlite::Statement records(database_, "SELECT name, bytes, checksum FROM records");
  while (records.step()) {
    const std::string name = records.text(0), bytes = records.text(1);
    if (static_cast<std::uint64_t>(records.number(2)) != checksumOf(name, bytes))
      throw CodecError(name, "has a wrong checksum");
    const json value = distribution::parseJson(bytes, kMaxRecordBytes);
    const JsonObject object(value, name);
    if (name == "owner") {
      owner_found = true;
      if (object.number("layout") != kSchemaVersion)
        throw sqlite::Error(sqlite::Fault::Foreign,
                            database_.file() + ": was written by another version of the program");
      if (object.number("replica") != self_)
        throw sqlite::Error(sqlite::Fault::Foreign, database_.file() + ": is the database of replica " +
                                                        std::to_string(object.number("replica")));
    } else if (name == "start") {
      loadStart(bytes, state);
    } else if (name == "vote") {
      state.vote = voteFromJson(object);
      vote_slot_ = state.vote.slot;
    } else if (name.rfind(kPeerPrefix, 0) == 0) {
      const auto peer = static_cast<ReplicaId>(object.number("replica"));
      state.peers[peer] = recordFromJson(object.object("record"));
    }
  }
  if (!owner_found) throw CodecError("owner", "is missing");
}

void Store::loadStart(const std::string& bytes, consensus::DurableState& state) {
  const json value = distribution::parseJson(bytes, kMaxRecordBytes);
  const JsonObject object(value, "start");
  state.start_count = object.number("start_count");
  state.recovering = object.flag("recovering");
  state.first_vote = object.number("first_vote");
  for (const JsonObject& run : object.objects("runs", kMaxRuns)) runs_.push_back(run.number("run"));
  state.runs.insert(runs_.begin(), runs_.end());
}

Change Store::readChange(sqlite::Statement& row) const {
  const std::string version = std::to_string(row.number(0)), bytes = row.text(1);
  if (static_cast<std::uint64_t>(row.number(2)) != checksumOf(version, bytes))
    throw CodecError("change " + version, "has a wrong checksum");
  const json value = distribution::parseJson(bytes, kMaxRecordBytes);
  return distribution::changeFromJson(JsonObject(value, "change " + version));
}

std::vector<Change> Store::changesFrom(Version from, std::size_t max_count, std::size_t max_text_bytes) {
  try {
    std::vector<Change> changes;
    std::size_t bytes = 0;
    sqlite::Statement rows(
        database_, "SELECT version, change, checksum FROM changes WHERE version >= ? ORDER BY version");
    rows.bind(from);
    while (changes.size() < max_count && rows.step()) {
      Change change = readChange(rows);
      bytes += change.text.size();
      if (!changes.empty() && bytes > max_text_bytes) break;
      changes.push_back(std::move(change));
    }
    return changes;
  } catch (const CodecError& e) {
    throw sqlite::Error(sqlite::Fault::Corrupt, database_.file() + ": a row is corrupt: " + e.what());
  }
}

// ---- writing ----

void Store::write(std::span<const consensus::Write> writes) {
  database_.run("BEGIN IMMEDIATE");
  try {
    for (const consensus::Write& write : writes) std::visit([this](const auto& one) { put(one); }, write);
    database_.run("COMMIT");
  } catch (...) {
    database_.rollBack();
    throw;
  }
}

void Store::putRecord(const std::string& name, const std::string& bytes) {
  sqlite::Statement put(database_, "INSERT OR REPLACE INTO records VALUES (?, ?, ?)");
  put.bind(name).bind(bytes).bind(checksumOf(name, bytes)).step();
}

void Store::put(const consensus::SaveStart& start) {
  if (std::find(runs_.begin(), runs_.end(), start.run) == runs_.end()) runs_.push_back(start.run);
  if (runs_.size() > kMaxRuns) runs_.erase(runs_.begin());
  json runs = json::array();
  for (const std::uint64_t run : runs_) runs.push_back({{"run", run}});
  putRecord("start", distribution::formatJson({{"start_count", start.start_count},
                                               {"recovering", start.recovering},
                                               {"first_vote", start.first_vote},
                                               {"runs", std::move(runs)}}));
}

void Store::put(const consensus::SaveVote& save) {
  putRecord("vote", distribution::formatJson(toJson(save.vote)));
  vote_slot_ = save.vote.slot;
}

void Store::put(const consensus::SavePeer& save) {
  const std::string name = std::string(kPeerPrefix) + std::to_string(save.peer);
  putRecord(name, distribution::formatJson({{"replica", save.peer}, {"record", toJson(save.record)}}));
}

void Store::put(const consensus::SaveChosen& save) {
  const std::string bytes = distribution::formatChange(save.change);
  sqlite::Statement put(database_, "INSERT OR REPLACE INTO changes VALUES (?, ?, ?)");
  put.bind(save.change.version)
      .bind(bytes)
      .bind(checksumOf(std::to_string(save.change.version), bytes))
      .step();
  if (save.change.version > kept_changes_) {
    sqlite::Statement drop(database_, "DELETE FROM changes WHERE version <= ?");
    drop.bind(save.change.version - kept_changes_).step();
  }
  if (vote_slot_ <= save.change.version) {
    sqlite::Statement drop(database_, "DELETE FROM records WHERE name = ?");
    drop.bind(std::string("vote")).step();
  }
}

void Store::limitPages(int max_pages) {
  database_.run(("PRAGMA max_page_count=" + std::to_string(max_pages)).c_str());
}

}  // namespace client_proxy::replica
