// The storage file: SQLite (sqlite.org); every change is on disk before write() returns. All calls block.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "leases/types.h"
#include "sqlite/database.h"

namespace client_proxy::storage {

// A named value; writing it replaces the one before.
struct Note {
  std::string name, bytes;
};
using Change = std::variant<leases::StoredGrant, Note>;

struct Contents {
  std::uint32_t installation = 0;  // drawn by chance when the file was created; never 0
  bool fresh = false;              // the file was created just now
  std::vector<leases::StoredGrant> grants;
  std::vector<Note> notes;
};

// As pages and logs show it.
constexpr std::string_view nameOf(sqlite::Fault fault) {
  constexpr std::string_view kNames[] = {"broken", "another's", "read-only", "full", "failing"};
  return kNames[static_cast<std::size_t>(fault)];
}

class Store {
 public:
  // Whose storage it is.
  struct Owner {
    std::string fleet;
    std::uint16_t member = 0;
  };
  // Opens the file, or creates it. Throws sqlite::Error; a broken file is left as it is.
  Store(const std::string& file, const Owner& owner);

  // Everything stored; each row is verified by its checksum. Throws sqlite::Error.
  Contents load();
  // All of these or none. A grant of a lower term than the stored one changes nothing. Throws sqlite::Error.
  void write(std::span<const Change> changes);
  // For tests: limits the size of the file, in pages, as a full disk would.
  void limitPages(int most);
  // Removes everything and begins anew as another installation. Throws sqlite::Error.
  void discard();

 private:
  void begin();
  void put(const leases::StoredGrant& kept);
  void put(const Note& note);

  sqlite::Database database_;
  const Owner owner_;
  bool fresh_ = false;
};

}  // namespace client_proxy::storage
