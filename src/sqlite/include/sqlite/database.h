// A SQLite file (sqlite.org) with every commit on disk before it returns. Blocks.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

struct sqlite3;
struct sqlite3_stmt;

namespace client_proxy::replica {

/// Why a database is not used, or not written any more.
enum class DiskFault : std::uint8_t {
  Broken,    ///< not as it was written
  Foreign,   ///< another replica's
  ReadOnly,  ///< it can't be written
  Full,
  Other,
};
constexpr std::string_view nameOf(DiskFault fault) {
  constexpr std::string_view kNames[] = {"broken database", "another replica's database", "read-only disk",
                                         "full disk", "failing disk"};
  return kNames[static_cast<std::size_t>(fault)];
}

struct DiskError : std::runtime_error {
  DiskError(DiskFault why, const std::string& what) : std::runtime_error(what), fault(why) {}
  DiskFault fault;
};

class Database {
 public:
  /// Opens the file, or begins one; a damaged structure is found here. All calls throw DiskError.
  explicit Database(std::string file);
  ~Database();
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  void run(const char* sql);
  /// Undoes what was done since BEGIN; never throws.
  void rollBack();
  [[noreturn]] void fail(int code, const std::string& at) const;
  const std::string& file() const { return file_; }

 private:
  friend class Statement;
  void checkStructure();
  const std::string file_;
  sqlite3* handle_ = nullptr;
};

/// A prepared statement; values are bound in their order.
class Statement {
 public:
  Statement(Database& database, const char* sql);
  ~Statement();
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  Statement& bind(std::uint64_t value);
  Statement& bind(const std::string& value);
  /// False: there is no further row.
  bool step();
  std::uint64_t number(int column);
  std::string text(int column);

 private:
  Database& database_;
  sqlite3_stmt* handle_ = nullptr;
  int bound_ = 0;
};

}  // namespace client_proxy::replica
