#include "storage/store.h"

#include <random>
#include <utility>

#include "random/fnv.h"

namespace client_proxy::storage {
namespace {

constexpr std::int64_t kLayoutVersion = 1;

std::int64_t checksumOf(const leases::StoredGrant& k) {
  return static_cast<std::int64_t>(load_balancer::fnv64(
      std::to_string(k.service) + "/" + std::to_string(k.grant.term) + "/" + std::to_string(k.grant.site) +
      "/" + std::to_string(static_cast<int>(k.grant.reason)) + (k.ready ? "r" : "")));
}
std::int64_t checksumOf(const Note& n) {
  return static_cast<std::int64_t>(load_balancer::fnv64(n.name + "=" + n.bytes));
}

}  // namespace

Store::Store(const std::string& file, const Owner& owner) : database_(file), owner_(owner) {
  database_.run("BEGIN IMMEDIATE");
  database_.run("CREATE TABLE IF NOT EXISTS meta (name BLOB PRIMARY KEY, value BLOB) WITHOUT ROWID");
  database_.run(
      "CREATE TABLE IF NOT EXISTS deeds (service INTEGER PRIMARY KEY, term INTEGER, site INTEGER, ground "
      "INTEGER, "
      "ready INTEGER, checksum INTEGER)");
  database_.run(
      "CREATE TABLE IF NOT EXISTS notes (name BLOB PRIMARY KEY, bytes BLOB, checksum INTEGER) WITHOUT ROWID");
  if (!sqlite::Statement(database_, "SELECT 1 FROM meta").step()) initialize();
  database_.run("COMMIT");
}

void Store::initialize() {
  std::random_device random;
  std::uint32_t installation = 0;
  while (installation == 0) installation = random();
  const std::pair<const char*, std::string> all[] = {{"layout", std::to_string(kLayoutVersion)},
                                                     {"installation", std::to_string(installation)},
                                                     {"fleet", owner_.fleet},
                                                     {"member", std::to_string(owner_.member)}};
  for (const auto& [name, value] : all) {
    sqlite::Statement put(database_, "INSERT OR REPLACE INTO meta VALUES (?, ?)");
    put.bind(std::string(name)).bind(value).step();
  }
  fresh_ = true;
}

Contents Store::load() {
  Contents m;
  m.fresh = fresh_;
  const auto meta = [&](const char* name) {
    sqlite::Statement get(database_, "SELECT value FROM meta WHERE name = ?");
    get.bind(std::string(name));
    if (!get.step())
      throw sqlite::Error(sqlite::Fault::Corrupt, database_.file() + ": has no value of " + name);
    return get.text(0);
  };
  if (meta("layout") != std::to_string(kLayoutVersion))
    throw sqlite::Error(sqlite::Fault::Other,
                        database_.file() + ": was written by another version of the program");
  if (meta("fleet") != owner_.fleet || meta("member") != std::to_string(owner_.member))
    throw sqlite::Error(sqlite::Fault::Foreign, database_.file() + ": is the storage of member " +
                                                    meta("member") + " of the fleet '" + meta("fleet") + "'");
  m.installation = static_cast<std::uint32_t>(std::stoul(meta("installation")));
  const auto verify_checksum = [&](std::int64_t stored, std::int64_t computed) {
    if (stored != computed)
      throw sqlite::Error(sqlite::Fault::Corrupt, database_.file() + ": a row does not match its checksum");
  };
  sqlite::Statement grants(database_, "SELECT service, term, site, ground, ready, checksum FROM deeds");
  while (grants.step()) {
    leases::StoredGrant k;
    k.service = static_cast<leases::ServiceId>(grants.number(0));
    k.grant.term = static_cast<leases::Term>(grants.number(1));
    k.grant.site = static_cast<leases::SiteId>(grants.number(2));
    const std::int64_t reason = grants.number(3);
    k.ready = grants.number(4) != 0;
    k.grant.reason = static_cast<leases::ClaimReason>(reason & 3);
    verify_checksum(grants.number(5), checksumOf(k));
    m.grants.push_back(k);
  }
  sqlite::Statement notes(database_, "SELECT name, bytes, checksum FROM notes");
  while (notes.step()) {
    Note n{notes.text(0), notes.text(1)};
    verify_checksum(notes.number(2), checksumOf(n));
    m.notes.push_back(std::move(n));
  }
  return m;
}

void Store::put(const leases::StoredGrant& k) {
  sqlite::Statement put(
      database_,
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
  sqlite::Statement put(database_, "INSERT OR REPLACE INTO notes VALUES (?, ?, ?)");
  put.bind(n.name).bind(n.bytes).bind(checksumOf(n)).step();
}

void Store::write(std::span<const Change> changes) {
  database_.run("BEGIN IMMEDIATE");
  try {
    for (const Change& c : changes) std::visit([this](const auto& one) { put(one); }, c);
    database_.run("COMMIT");
  } catch (...) {
    database_.rollBack();
    throw;
  }
}

void Store::limitPages(int max_pages) {
  database_.run(("PRAGMA max_page_count=" + std::to_string(max_pages)).c_str());
}

void Store::discard() {
  database_.run("BEGIN IMMEDIATE");
  database_.run("DELETE FROM deeds");
  database_.run("DELETE FROM notes");
  database_.run("DELETE FROM meta");
  initialize();
  database_.run("COMMIT");
}

}  // namespace client_proxy::storage
