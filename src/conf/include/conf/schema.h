// The one table of all that may be written in a configuration. The checker, `explain`, `dump`, `diff` and the
// reference page (docs/configuration-reference.md) are made from it: a key that is not here does not exist,
// and one that is here has a line in model.cpp that acts on it.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace client_proxy::conf {

enum class Kind : std::uint8_t {
  Duration,  // microseconds
  Size,      // bytes
  Percent,   // as a part of one
  Number,
  Count,
  Choice,
  Name,  // of one word
  Text,
  Address,  // "10.0.0.7:80", "[::1]:80"
  Block,
};

// Which files a key belongs to: those that stand alone (they hold a pool), or any.
enum class Use : std::uint8_t { Any, Alone };

constexpr double kMostNumber = 9e15;

struct Block;

struct Key {
  std::string_view name;
  Kind kind;
  std::string_view about;
  std::string_view fallback = {};   // what holds if it is left out, as it would be written
  std::string_view otherwise = {};  // the same in words, where it follows from something else
  double least = 0, most = kMostNumber;
  std::string_view choices = {};  // of a Choice, apart by a space, in rising order of what they permit
  Use use = Use::Any;
  bool required = false;
  bool live = true;    // a reload takes it; else a restart
  bool bound = false;  // left out, nothing bounds it: as if it were larger than any value
  // What may go wrong when the value is made larger or smaller (a block: is added or taken out); empty:
  // nothing particular.
  std::string_view risk_up = {}, risk_down = {};
  const Block* block = nullptr;
};

struct Block {
  std::span<const Key> keys;
  bool named = false;    // takes a name, and may be there more than once
  bool address = false;  // takes an address behind its name; then its braces may be left out
  const Key* find(std::string_view name) const;
  bool includes_file = false;  // names a file that is read in its place
  bool lacksNothing() const;   // where it is empty: no key is required
};

// Everything that a file may hold at its top.
extern const Block kRoot;
// What a hosts file may hold: `host` alone.
extern const Block kHostsFile;
// What a members file may hold: `member` alone.
extern const Block kMembersFile;

}  // namespace client_proxy::conf
