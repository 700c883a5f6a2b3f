// The memory's file: SQLite (sqlite.org), every change on disk before write() returns. Blocks.
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

namespace quinceline::storage {

// What is written.
struct Note {  // under a name, in place of what was there
  std::string name, bytes;
};
using Change = std::variant<leases::StoredGrant, Note>;

struct Memory {
  std::uint32_t installation = 0;  // drawn when the memory was begun; never 0
  bool fresh = false;              // it was begun just now
  std::vector<leases::StoredGrant> grants;
  std::vector<Note> notes;
};

// Why a memory is not used, or not written any more.
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
  // Whose memory it is.
  struct Owner {
    std::string fleet;
    std::uint16_t member = 0;
  };
  // Opens the file, or begins one. Throws StoreFault; a file that is broken stays where it is.
  Store(const std::string& file, const Owner& owner);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // All that is remembered; each row is held against its own checksum.
  Memory load();
  // All of these or none. A grant of a lower term than what is there changes nothing.
  void write(std::span<const Change> changes);
  // For tests: the file may have so many pages at most, as where a disk is full.
  void limitPages(int most);
  // Forgets everything and begins anew, as another installation.
  void renounce();

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

}  // namespace quinceline::storage
