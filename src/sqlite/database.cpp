#include "sqlite/database.h"

#include <sqlite3.h>

#include <utility>

namespace client_proxy::sqlite {
namespace {

constexpr int kNoWait = 0;  // milliseconds; only one process uses a database, so a lock is an error
constexpr std::size_t kMaxSqlInErrors = 40;  // characters

Fault faultOf(int code) {
  constexpr int kPrimaryCode = 0xFF;
  switch (code & kPrimaryCode) {
    case SQLITE_CORRUPT:
    case SQLITE_NOTADB:
      return Fault::Corrupt;
    case SQLITE_READONLY:
    case SQLITE_CANTOPEN:
    case SQLITE_PERM:
      return Fault::ReadOnly;
    case SQLITE_FULL:
      return Fault::Full;
    default:
      return Fault::Other;
  }
}

}  // namespace

Database::Database(std::string file) : file_(std::move(file)) {
  try {
    const int code =
        sqlite3_open_v2(file_.c_str(), &handle_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
    if (code != SQLITE_OK) fail(code, "open");
    sqlite3_busy_timeout(handle_, kNoWait);
    run("PRAGMA journal_mode=WAL");
    run("PRAGMA synchronous=FULL");
    checkStructure();
  } catch (...) {
    sqlite3_close_v2(handle_);
    throw;
  }
}

Database::~Database() { sqlite3_close_v2(handle_); }

void Database::checkStructure() {
  Statement check(*this, "PRAGMA quick_check(1)");
  if (!check.step() || check.text(0) != "ok") throw Error(Fault::Corrupt, file_ + ": " + check.text(0));
}

void Database::fail(int code, const std::string& at) const {
  const std::string reason = handle_ != nullptr ? sqlite3_errmsg(handle_) : sqlite3_errstr(code);
  throw Error(faultOf(code), file_ + ": " + reason + " (" + at.substr(0, kMaxSqlInErrors) + ")");
}

void Database::run(const char* sql) {
  const int code = sqlite3_exec(handle_, sql, nullptr, nullptr, nullptr);
  if (code != SQLITE_OK) fail(code, sql);
}

void Database::rollBack() { sqlite3_exec(handle_, "ROLLBACK", nullptr, nullptr, nullptr); }

Statement::Statement(Database& database, const char* sql) : database_(database) {
  const int code = sqlite3_prepare_v2(database.handle_, sql, -1, &handle_, nullptr);
  if (code != SQLITE_OK) database.fail(code, sql);
}

Statement::~Statement() { sqlite3_finalize(handle_); }

Statement& Statement::bindInteger(std::int64_t value) {
  sqlite3_bind_int64(handle_, ++bound_, value);
  return *this;
}

Statement& Statement::bind(const std::string& value) {
  sqlite3_bind_blob64(handle_, ++bound_, value.data(), value.size(), SQLITE_TRANSIENT);
  return *this;
}

bool Statement::step() {
  const int code = sqlite3_step(handle_);
  if (code != SQLITE_ROW && code != SQLITE_DONE) database_.fail(code, sqlite3_sql(handle_));
  return code == SQLITE_ROW;
}

std::int64_t Statement::number(int column) { return sqlite3_column_int64(handle_, column); }

std::string Statement::text(int column) {
  const auto* bytes = static_cast<const char*>(sqlite3_column_blob(handle_, column));
  const auto size = static_cast<std::size_t>(sqlite3_column_bytes(handle_, column));
  return bytes == nullptr ? std::string() : std::string(bytes, size);
}

}  // namespace client_proxy::sqlite
