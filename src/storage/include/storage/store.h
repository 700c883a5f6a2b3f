// The storage file: SQLite (sqlite.org); every change is on disk before write() returns. All calls block.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "leases/types.h"

struct sqlite3;

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

// Why storage is not used, or not written any more.
enum class Fault : std::uint8_t {
  Broken,    // not as it was written
  Foreign,   // another member's, or of another fleet
  ReadOnly,  // it can't be written
  Full,      // the disk is
  Other,
};
constexpr std::string_view nameOf(Fault f) {
  constexpr std::string_view kNames[] = {"broken", "another's", "read-only", "full", "failing"};
  return kNames[static_cast<std::size_t>(f)];
}

struct StoreFault : std::runtime_error {
  StoreFault(Fault why, const std::string& what) : std::runtime_error(what), fault(why) {}
  Fault fault;
};

class Store {
 public:
  // Whose storage it is.
  struct Owner {
    std::string fleet;
    std::uint16_t member = 0;
  };
  // Opens the file, or creates it. Throws StoreFault; a broken file is left as it is.
  Store(const std::string& file, const Owner& owner);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Everything stored; each row is verified by its checksum. Throws StoreFault.
  Contents load();
  // All of these or none. A grant of a lower term than the stored one changes nothing. Throws StoreFault.
  void write(std::span<const Change> changes);
  // For tests: limits the size of the file, in pages, as a full disk would.
  void limitPages(int most);
  // Removes everything and begins anew as another installation. Throws StoreFault.
  void discard();

 private:
  class Statement;
  void run(const char* sql);
  void begin();
  void put(const leases::StoredGrant& kept);
  void put(const Note& note);
  [[noreturn]] void fail(int code, const std::string& at) const;

  const std::string file_;
  const Owner owner_;
  sqlite3* db_ = nullptr;
  bool fresh_ = false;
};

}  // namespace client_proxy::storage
