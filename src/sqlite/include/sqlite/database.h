// A SQLite file (sqlite.org) with every commit on disk before it returns. Blocks.
#pragma once

#include <concepts>
#include <cstdint>
#include <stdexcept>
#include <string>

struct sqlite3;
struct sqlite3_stmt;

namespace client_proxy::sqlite {

/// Why a database is not used, or not written any more.
enum class Fault : std::uint8_t {
  Corrupt,   ///< not as it was written
  Foreign,   ///< another owner's
  ReadOnly,  ///< it can't be written
  Full,      ///< the disk is
  Other,
};

/// what() names the file and says what is wrong with it.
class Error : public std::runtime_error {
 public:
  Error(Fault fault, const std::string& what) : std::runtime_error(what), fault_(fault) {}
  Fault fault() const { return fault_; }

 private:
  Fault fault_;
};

class Database {
 public:
  /// Opens the file, or begins one; a damaged structure is found here. All calls throw Error.
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

  template <std::integral Integer>
  Statement& bind(Integer value) {
    return bindInteger(static_cast<std::int64_t>(value));
  }
  Statement& bind(const std::string& value);
  /// False: there is no further row.
  bool step();
  std::int64_t number(int column);
  std::string text(int column);

 private:
  Statement& bindInteger(std::int64_t value);

  Database& database_;
  sqlite3_stmt* handle_ = nullptr;
  int bound_ = 0;
};

}  // namespace client_proxy::sqlite
