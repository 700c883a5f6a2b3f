// A SQLite file (sqlite.org) in which every commit is on disk before it returns. All calls block.
#pragma once

#include <concepts>
#include <cstdint>
#include <stdexcept>
#include <string>

struct sqlite3;
struct sqlite3_stmt;

namespace client_proxy::sqlite {

/// Why a database can't be used, or no longer be written.
enum class Fault : std::uint8_t {
  Corrupt,   ///< its content is damaged
  Foreign,   ///< it belongs to another owner
  ReadOnly,  ///< it can't be opened or written
  Full,      ///< the disk is full
  Other,
};

/// A failed call; what() names the file and the reason.
class Error : public std::runtime_error {
 public:
  Error(Fault fault, const std::string& what) : std::runtime_error(what), fault_(fault) {}
  Fault fault() const { return fault_; }

 private:
  Fault fault_;
};

/// An open file.
class Database {
 public:
  /// Opens the file, or creates it, and checks its structure for damage. Throws Error, as all calls do unless
  /// stated otherwise.
  explicit Database(std::string file);
  ~Database();
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  /// Executes statements that return no rows.
  void run(const char* sql);
  /// Undoes all changes since BEGIN; never throws.
  void rollBack();
  /// Throws the Error for SQLite's result `code` and its last message; `at`: the statement that failed.
  [[noreturn]] void fail(int code, const std::string& at) const;
  const std::string& file() const { return file_; }

 private:
  friend class Statement;
  void checkStructure();
  const std::string file_;
  sqlite3* handle_ = nullptr;
};

/// A prepared statement; each bind() sets the next parameter.
class Statement {
 public:
  /// `database` must outlive the statement.
  Statement(Database& database, const char* sql);
  ~Statement();
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  template <std::integral Integer>
  Statement& bind(Integer value) {
    return bindInteger(static_cast<std::int64_t>(value));
  }
  /// Binds the bytes as a BLOB.
  Statement& bind(const std::string& value);
  /// Executes the statement, or moves to its next row. False: there is no further row.
  bool step();
  /// The value of a column of the current row; columns count from 0.
  std::int64_t number(int column);
  std::string text(int column);

 private:
  Statement& bindInteger(std::int64_t value);

  Database& database_;
  sqlite3_stmt* handle_ = nullptr;
  int bound_ = 0;
};

}  // namespace client_proxy::sqlite
