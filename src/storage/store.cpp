#include "storage/store.h"

#include <sqlite3.h>

#include <random>
#include <utility>

#include "random/fnv.h"

namespace client_proxy::storage {
namespace {

constexpr std::int64_t kLayout = 1;
constexpr int kNever = 0;  // a lock is nobody's to wait for: one process has one memory

std::int64_t checksumOf(const leases::StoredGrant& k) {
  return static_cast<std::int64_t>(load_balancer::fnv64(
      std::to_string(k.service) + "/" + std::to_string(k.grant.term) + "/" + std::to_string(k.grant.site) +
      "/" + std::to_string(static_cast<int>(k.grant.reason)) + (k.ready ? "r" : "")));
}
std::int64_t checksumOf(const Note& n) {
  return static_cast<std::int64_t>(load_balancer::fnv64(n.name + "=" + n.bytes));
}

Fault faultOf(int code) {
  switch (code & 0xFF) {
    case SQLITE_CORRUPT:
    case SQLITE_NOTADB:
      return Fault::Broken;
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

// A prepared statement, its values bound in order.
class Store::Statement {
 public:
  Statement(const Store& store, const char* sql) : store_(store) {
    const int code = sqlite3_prepare_v2(store.db_, sql, -1, &handle_, nullptr);
    if (code != SQLITE_OK) store.fail(code, sql);
  }
  ~Statement() { sqlite3_finalize(handle_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  Statement& bind(std::int64_t value) {
    sqlite3_bind_int64(handle_, ++bound_, value);
    return *this;
  }
  Statement& bind(const std::string& value) {
    sqlite3_bind_blob64(handle_, ++bound_, value.data(), value.size(), SQLITE_TRANSIENT);
    return *this;
  }
  // False: there is no further row.
  bool step() {
    const int code = sqlite3_step(handle_);
    if (code != SQLITE_ROW && code != SQLITE_DONE) store_.fail(code, sqlite3_sql(handle_));
    return code == SQLITE_ROW;
  }
  std::int64_t number(int column) { return sqlite3_column_int64(handle_, column); }
  std::string text(int column) {
    const auto* bytes = static_cast<const char*>(sqlite3_column_blob(handle_, column));
    const auto size = static_cast<std::size_t>(sqlite3_column_bytes(handle_, column));
    return bytes == nullptr ? std::string() : std::string(bytes, size);
  }

 private:
  const Store& store_;
  sqlite3_stmt* handle_ = nullptr;
  int bound_ = 0;
};

Store::Store(const std::string& file, const Owner& owner) : file_(file), owner_(owner) {
  try {
    const int code = sqlite3_open_v2(file.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
    if (code != SQLITE_OK) fail(code, "open");
    sqlite3_busy_timeout(db_, kNever);
    run("PRAGMA journal_mode=WAL");
    run("PRAGMA synchronous=FULL");
    {
      Statement check(*this, "PRAGMA quick_check(1)");
      if (!check.step() || check.text(0) != "ok")
        throw StoreFault(Fault::Broken, file_ + ": " + check.text(0));
    }
    run("BEGIN IMMEDIATE");
    run("CREATE TABLE IF NOT EXISTS meta (name BLOB PRIMARY KEY, value BLOB) WITHOUT ROWID");
    run("CREATE TABLE IF NOT EXISTS deeds (service INTEGER PRIMARY KEY, term INTEGER, site INTEGER, ground "
        "INTEGER, "
        "ready INTEGER, checksum INTEGER)");
    run("CREATE TABLE IF NOT EXISTS notes (name BLOB PRIMARY KEY, bytes BLOB, checksum INTEGER) WITHOUT "
        "ROWID");
    bool there = false;
    {
      Statement meta(*this, "SELECT 1 FROM meta");
      there = meta.step();
    }
    if (!there) begin();
    run("COMMIT");
  } catch (...) {
    sqlite3_close_v2(db_);
    throw;
  }
}

Store::~Store() { sqlite3_close_v2(db_); }

void Store::fail(int code, const std::string& at) const {
  const std::string why = db_ != nullptr ? sqlite3_errmsg(db_) : sqlite3_errstr(code);
  throw StoreFault(faultOf(code), file_ + ": " + why + " (" + at.substr(0, 40) + ")");
}

void Store::run(const char* sql) {
  const int code = sqlite3_exec(db_, sql, nullptr, nullptr, nullptr);
  if (code != SQLITE_OK) fail(code, sql);
}

void Store::begin() {
  std::random_device random;
  std::uint32_t installation = 0;
  while (installation == 0) installation = random();
  const std::pair<const char*, std::string> all[] = {{"layout", std::to_string(kLayout)},
                                                     {"installation", std::to_string(installation)},
                                                     {"fleet", owner_.fleet},
                                                     {"member", std::to_string(owner_.member)}};
  for (const auto& [name, value] : all) {
    Statement put(*this, "INSERT OR REPLACE INTO meta VALUES (?, ?)");
    put.bind(std::string(name)).bind(value).step();
  }
  fresh_ = true;
}

Contents Store::load() {
  Contents m;
  m.fresh = fresh_;
  const auto meta = [&](const char* name) {
    Statement get(*this, "SELECT value FROM meta WHERE name = ?");
    get.bind(std::string(name));
    if (!get.step()) throw StoreFault(Fault::Broken, file_ + ": lacks its " + name);
    return get.text(0);
  };
  if (meta("layout") != std::to_string(kLayout))
    throw StoreFault(Fault::Other, file_ + ": was written by another version of the program");
  if (meta("fleet") != owner_.fleet || meta("member") != std::to_string(owner_.member))
    throw StoreFault(Fault::Foreign, file_ + ": is the memory of member " + meta("member") +
                                         " of the fleet '" + meta("fleet") + "'");
  m.installation = static_cast<std::uint32_t>(std::stoul(meta("installation")));
  const auto sound = [&](std::int64_t is, std::int64_t should) {
    if (is != should) throw StoreFault(Fault::Broken, file_ + ": a row is not as it was written");
  };
  Statement grants(*this, "SELECT service, term, site, ground, ready, checksum FROM deeds");
  while (grants.step()) {
    leases::StoredGrant k;
    k.service = static_cast<leases::ServiceId>(grants.number(0));
    k.grant.term = static_cast<leases::Term>(grants.number(1));
    k.grant.site = static_cast<leases::SiteId>(grants.number(2));
    const std::int64_t reason = grants.number(3);
    k.ready = grants.number(4) != 0;
    k.grant.reason = static_cast<leases::ClaimReason>(reason & 3);
    sound(grants.number(5), checksumOf(k));
    m.grants.push_back(k);
  }
  Statement notes(*this, "SELECT name, bytes, checksum FROM notes");
  while (notes.step()) {
    Note n{notes.text(0), notes.text(1)};
    sound(notes.number(2), checksumOf(n));
    m.notes.push_back(std::move(n));
  }
  return m;
}

void Store::put(const leases::StoredGrant& k) {
  Statement put(
      *this,
      "INSERT INTO deeds VALUES (?1, ?2, ?3, ?4, ?5, ?6) ON CONFLICT (service) DO UPDATE SET term = ?2, "
      "site = ?3, ground = ?4, ready = ?5, checksum = ?6 WHERE ?2 >= term");
  put.bind(k.service)
      .bind(k.grant.term)
      .bind(k.grant.site)
      .bind(static_cast<std::int64_t>(k.grant.reason))
      .bind(k.ready ? 1 : 0)
      .bind(checksumOf(k))
      .step();
}

void Store::put(const Note& n) {
  Statement put(*this, "INSERT OR REPLACE INTO notes VALUES (?, ?, ?)");
  put.bind(n.name).bind(n.bytes).bind(checksumOf(n)).step();
}

void Store::write(std::span<const Change> changes) {
  run("BEGIN IMMEDIATE");
  try {
    for (const Change& c : changes) std::visit([this](const auto& one) { put(one); }, c);
    run("COMMIT");
  } catch (...) {
    sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
    throw;
  }
}

void Store::limitPages(int most) { run(("PRAGMA max_page_count=" + std::to_string(most)).c_str()); }

void Store::discard() {
  run("BEGIN IMMEDIATE");
  run("DELETE FROM deeds");
  run("DELETE FROM notes");
  run("DELETE FROM meta");
  begin();
  run("COMMIT");
}

}  // namespace client_proxy::storage
