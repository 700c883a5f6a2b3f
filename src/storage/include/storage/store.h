// The file in which a member stores grants and notes: SQLite (sqlite.org); every change is on disk before
// write() returns. All calls block.
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

// A named value; writing it replaces the previous value of the same name.
struct Note {
  std::string name, bytes;
};
using Change = std::variant<leases::StoredGrant, Note>;

struct Contents {
  std::uint32_t installation =
      0;               // a random number that identifies the file, chosen at its creation; never 0
  bool fresh = false;  // the file was created by this Store
  std::vector<leases::StoredGrant> grants;
  std::vector<Note> notes;
};

// The name in pages and logs.
constexpr std::string_view nameOf(sqlite::Fault fault) {
  constexpr std::string_view kNames[] = {"broken", "another's", "read-only", "full", "failing"};
  return kNames[static_cast<std::size_t>(fault)];
}

class Store {
 public:
  // The member that the file belongs to.
  struct Owner {
    std::string fleet;
    std::uint16_t member = 0;
  };
  // Opens the file, or creates it. Throws sqlite::Error; a corrupt file is left as it is.
  Store(const std::string& file, const Owner& owner);

  // Reads everything and verifies each row by its checksum. Throws sqlite::Error, with Fault::Foreign if the
  // file belongs to another member or fleet.
  Contents load();
  // Stores all of these changes or none. A grant of a lower term than the stored one changes nothing. Throws
  // sqlite::Error.
  void write(std::span<const Change> changes);
  // For tests: limits the size of the file, in pages, as a full disk would.
  void limitPages(int max_pages);
  // Removes all contents and starts a new installation. Throws sqlite::Error.
  void discard();

 private:
  // Writes the meta rows of a new installation.
  void initialize();
  void put(const leases::StoredGrant& stored);
  void put(const Note& note);

  sqlite::Database database_;
  const Owner owner_;
  bool fresh_ = false;
};

}  // namespace client_proxy::storage
